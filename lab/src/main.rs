//! Command line of the laboratory.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use pebbleturn_lab::cluster::measure::{self, Spread};
use pebbleturn_lab::fleet::{Fleet, SCENARIOS};
use pebbleturn_lab::herd::{CAUSES, Herd};
use pebbleturn_lab::restart::{AGES, ARMS, RestartResult, Scenario};
use pebbleturn_lab::{demo, operation, plot, routing, sockets};
use std::path::PathBuf;
use std::process::ExitCode;

/// Measurements of pebbleturn against stand-in servers and simulated fleets.
#[derive(Debug, Parser)]
#[command(name = "pebbleturn-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// Options of every measurement.
#[derive(Clone, Copy, Debug, Args)]
struct CommonArgs {
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print JSON lines instead of text.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start stand-in nodes and a broker, search once over SRU and once over Z39.50, print both answers and
    /// end.
    Demo,
    /// Compare shares of the work with weights, and fail a set over to its spare and back; in simulated time.
    Routing {
        #[command(flatten)]
        common: CommonArgs,
        /// Plot the shares during the failover.
        #[arg(long, value_name = "FILE.svg")]
        plot: Option<PathBuf>,
    },
    /// Simulate faults of a large fleet and the combined reaction of all brokers; in simulated time.
    Fleet {
        #[command(flatten)]
        common: CommonArgs,
        /// Brokers.
        #[arg(long, default_value_t = Fleet::default().brokers)]
        brokers: usize,
        /// Nodes.
        #[arg(long, default_value_t = Fleet::default().nodes)]
        nodes: u32,
        /// Queries a second, all brokers together.
        #[arg(long, default_value_t = Fleet::default().rate)]
        rate: f64,
        /// Parts of a query.
        #[arg(long, default_value_t = Fleet::default().parts)]
        parts: u32,
        /// How long clients send queries, seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// Measure operation on processes of the real program: the admin address, upgrades, and their cost.
    Operation {
        /// The program.
        #[arg(long, default_value = "target/release/pebbleturn")]
        program: PathBuf,
        /// Upgrades under load.
        #[arg(long, default_value_t = 50)]
        upgrades: usize,
        /// Write one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Measure how the calls of many brokers to one slow discovery are spread; in simulated time.
    Herd {
        #[command(flatten)]
        common: CommonArgs,
        /// Brokers.
        #[arg(long, default_value_t = 300)]
        brokers: usize,
        /// Calls that discovery answers in a second.
        #[arg(long, default_value_t = 60.0)]
        capacity: f64,
    },
    /// Measure a cluster of brokers: spread of a command, its cost, false failure detections, catching up; in
    /// simulated time.
    Cluster {
        #[command(flatten)]
        common: CommonArgs,
        /// Runs of each measurement.
        #[arg(long, default_value_t = 3)]
        plays: u64,
        /// Plot the spread of a command over time, and bytes against brokers, into this directory.
        #[arg(long, value_name = "DIR")]
        plot: Option<PathBuf>,
        /// Measure the cost of peers to the service on processes of this program instead.
        #[arg(long, value_name = "PROGRAM")]
        program: Option<PathBuf>,
    },
    /// Restart all brokers without discovery, with lists of several ages; in simulated time.
    Restart {
        #[command(flatten)]
        common: CommonArgs,
        /// Plot the service by age and arm.
        #[arg(long, value_name = "FILE.svg")]
        plot: Option<PathBuf>,
        /// Random worlds simulated for each age.
        #[arg(long, default_value_t = Scenario::default().worlds)]
        worlds: u64,
        /// Nodes.
        #[arg(long, default_value_t = Scenario::default().nodes)]
        nodes: u32,
        /// Queries a second, all brokers together.
        #[arg(long, default_value_t = Scenario::default().rate)]
        rate: f64,
        /// Mean time between two changes of a node, hours.
        #[arg(long, default_value_t = 24.0)]
        changes_every: f64,
        /// Share of the changes that are restarts in place.
        #[arg(long, default_value_t = Scenario::default().restarts)]
        restarts: f64,
        /// Of those, the share that happen together with the brokers' restart.
        #[arg(long, default_value_t = Scenario::default().together)]
        together: f64,
        /// Run once for a few seconds on real sockets instead, with brokers, stand-in nodes and files.
        #[arg(long)]
        sockets: bool,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Demo => demo::run(),
        Command::Routing { common, plot } => run_routing(common, plot),
        Command::Fleet { common, brokers, nodes, rate, parts, seconds } => {
            let time = seconds * 1_000_000_000;
            fleet(&Fleet { brokers, nodes, rate, parts, time, ..Fleet::default() }, common)
        }
        Command::Operation { program, upgrades, json } => {
            let measured = operation::measure(&program, upgrades);
            if json {
                println!("{}", serde_json::to_string(&measured).unwrap_or_default());
            } else {
                println!("{measured}");
            }
            Ok(())
        }
        Command::Cluster { common, program: Some(program), .. } => {
            for cost in measure::cost(&program, 8) {
                if common.json { println!("{}", serde_json::json!(cost)) } else { println!("{cost}") }
            }
            Ok(())
        }
        Command::Cluster { common, plays, plot, program: None } => cluster(plays, common, plot),
        Command::Herd { common, brokers, capacity } => herd(Herd { brokers, capacity }, common),
        Command::Restart {
            common,
            plot,
            worlds,
            nodes,
            rate,
            changes_every,
            restarts,
            together,
            sockets,
        } => {
            let changes_every = (changes_every * 3_600e9) as u64;
            let scenario =
                Scenario { worlds, nodes, rate, changes_every, restarts, together, ..Scenario::default() };
            if sockets { sockets::restart(common.json) } else { restart(&scenario, common, plot) }
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn restart(
    scenario: &Scenario,
    CommonArgs { seed, json }: CommonArgs,
    plot: Option<PathBuf>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let mut lines: Vec<RestartResult> = Vec::new();
    if !json {
        println!("{}", RestartResult::TABLE_HEADER);
    }
    for (age, _) in AGES {
        for arm in ARMS {
            let line = scenario.measure(age, arm, seed);
            if json {
                println!("{}", serde_json::to_string(&line)?);
            } else {
                println!("{line}");
            }
            lines.push(line);
        }
    }
    match plot {
        Some(file) => plot::restart(&lines, &file),
        None => Ok(()),
    }
}

fn fleet(
    fleet: &Fleet,
    CommonArgs { seed, json }: CommonArgs,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    for scenario in SCENARIOS {
        let played = fleet.run(scenario, seed);
        if json { println!("{}", serde_json::to_string(&played)?) } else { println!("{played}") }
    }
    Ok(())
}

fn cluster(
    plays: u64,
    CommonArgs { seed, json }: CommonArgs,
    plot: Option<PathBuf>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let mut lines = Vec::new();
    if !json {
        println!("{}", Spread::HEAD);
    }
    for loss in measure::LOSSES {
        for brokers in measure::SIZES {
            let line = measure::spread(brokers, loss, plays, seed);
            if json {
                println!("{}", serde_json::to_string(&line)?)
            } else {
                println!("{line}")
            }
            lines.push(line);
        }
    }
    for (brokers, loss, pause_ms) in [(30, 0.05, 0), (30, 0.05, 5_000), (30, 0.0, 20_000), (5, 0.05, 5_000)] {
        let line = measure::false_positives(brokers, 60, loss, pause_ms, seed);
        if json { println!("{}", serde_json::to_string(&line)?) } else { println!("{line}") }
    }
    for facts in [100, 1_000, 10_000] {
        let line = measure::catch_up(facts, seed);
        if json { println!("{}", serde_json::to_string(&line)?) } else { println!("{line}") }
    }
    match plot {
        Some(dir) => {
            plot::spread(&lines, &dir.join("spread.svg"))?;
            plot::spread_bytes(&lines, &dir.join("spread-bytes.svg"))
        }
        None => Ok(()),
    }
}

fn herd(
    herd: Herd,
    CommonArgs { seed, json }: CommonArgs,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    for cause in CAUSES {
        let asked = herd.run(cause, seed);
        if json { println!("{}", serde_json::to_string(&asked)?) } else { println!("{asked}") }
    }
    Ok(())
}

fn run_routing(
    CommonArgs { seed, json }: CommonArgs,
    plot: Option<PathBuf>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    for parts in [1_000, 10_000, 100_000] {
        let line = routing::shares(&[1.0, 2.0, 5.0, 12.0], parts, seed);
        if json { println!("{}", serde_json::to_string(&line)?) } else { println!("{line}") }
    }
    let played = routing::failover(seed);
    if json {
        println!("{}", serde_json::to_string(&played)?)
    } else {
        println!("{played}")
    }
    match plot {
        Some(file) => plot::failover(&played, &file),
        None => Ok(()),
    }
}
