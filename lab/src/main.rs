//! The laboratory as a program.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use pebbleturn_lab::cluster::measure::{self, Spread};
use pebbleturn_lab::fleet::{Fleet, TROUBLES};
use pebbleturn_lab::herd::{CAUSES, Herd};
use pebbleturn_lab::restart::{AGES, ARMS, Line, Scene};
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

/// What every measurement is told.
#[derive(Clone, Copy, Debug, Args)]
struct Told {
    /// For all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// JSON lines instead of text.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start stand-in nodes and a broker, search once over SRU and once over Z39.50, print both answers and end.
    Demo,
    /// Shares of the work against weights, and a set that fails over to its spare and back; in simulated time.
    Routing {
        #[command(flatten)]
        told: Told,
        /// Draw the shares over the failover.
        #[arg(long, value_name = "FILE.svg")]
        plot: Option<PathBuf>,
    },
    /// Troubles of a large fleet: what all brokers do together; in simulated time.
    Fleet {
        #[command(flatten)]
        told: Told,
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
        /// How long clients ask, seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// Measure operation on processes of the real program: the second address, upgrades, and what they cost.
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
    /// Many brokers before one slow discovery: how their calls are spread; in simulated time.
    Herd {
        #[command(flatten)]
        told: Told,
        /// Brokers.
        #[arg(long, default_value_t = 300)]
        brokers: usize,
        /// Calls that discovery answers in a second.
        #[arg(long, default_value_t = 60.0)]
        capacity: f64,
    },
    /// Brokers that know each other: how a word spreads, what it costs, false deaths, catching up; in simulated time.
    Cluster {
        #[command(flatten)]
        told: Told,
        /// Plays of each.
        #[arg(long, default_value_t = 3)]
        plays: u64,
        /// Draw how a word spreads over time, and bytes against brokers, into this directory.
        #[arg(long, value_name = "DIR")]
        plot: Option<PathBuf>,
        /// Processes of this program instead: what peers cost the service.
        #[arg(long, value_name = "PROGRAM")]
        program: Option<PathBuf>,
    },
    /// Restart all brokers without discovery, with lists of several ages; in simulated time.
    Restart {
        #[command(flatten)]
        told: Told,
        /// Draw the service by age and arm.
        #[arg(long, value_name = "FILE.svg")]
        plot: Option<PathBuf>,
        /// Worlds that are drawn for each age.
        #[arg(long, default_value_t = Scene::default().worlds)]
        worlds: u64,
        /// Nodes.
        #[arg(long, default_value_t = Scene::default().nodes)]
        nodes: u32,
        /// Queries a second, all brokers together.
        #[arg(long, default_value_t = Scene::default().rate)]
        rate: f64,
        /// Mean time between two changes of a node, hours.
        #[arg(long, default_value_t = 24.0)]
        changes_every: f64,
        /// Share of the changes that are restarts in place.
        #[arg(long, default_value_t = Scene::default().restarts)]
        restarts: f64,
        /// Of those, the share that come with the brokers' own restart.
        #[arg(long, default_value_t = Scene::default().together)]
        together: f64,
        /// One short run on real sockets instead: brokers, stand-in nodes and files, for some seconds.
        #[arg(long)]
        sockets: bool,
    },
}

fn main() -> ExitCode {
    let ran = match Cli::parse().command {
        Command::Demo => demo::run(),
        Command::Routing { told, plot } => routed(told, plot),
        Command::Fleet { told, brokers, nodes, rate, parts, seconds } => {
            let time = seconds * 1_000_000_000;
            fleet(&Fleet { brokers, nodes, rate, parts, time, ..Fleet::default() }, told)
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
        Command::Cluster { told, program: Some(program), .. } => {
            for cost in measure::cost(&program, 8) {
                if told.json { println!("{}", serde_json::json!(cost)) } else { println!("{cost}") }
            }
            Ok(())
        }
        Command::Cluster { told, plays, plot, program: None } => cluster(plays, told, plot),
        Command::Herd { told, brokers, capacity } => herd(Herd { brokers, capacity }, told),
        Command::Restart { told, plot, worlds, nodes, rate, changes_every, restarts, together, sockets } => {
            let changes_every = (changes_every * 3_600e9) as u64;
            let scene = Scene { worlds, nodes, rate, changes_every, restarts, together, ..Scene::default() };
            if sockets { sockets::restart(told.json) } else { restart(&scene, told, plot) }
        }
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn restart(
    scene: &Scene,
    Told { seed, json }: Told,
    plot: Option<PathBuf>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let mut lines: Vec<Line> = Vec::new();
    if !json {
        println!("{}", Line::HEAD);
    }
    for (age, _) in AGES {
        for arm in ARMS {
            let line = scene.measure(age, arm, seed);
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

fn fleet(fleet: &Fleet, Told { seed, json }: Told) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    for trouble in TROUBLES {
        let played = fleet.play(trouble, seed);
        if json { println!("{}", serde_json::to_string(&played)?) } else { println!("{played}") }
    }
    Ok(())
}

fn cluster(
    plays: u64,
    Told { seed, json }: Told,
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

fn herd(herd: Herd, Told { seed, json }: Told) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    for cause in CAUSES {
        let asked = herd.play(cause, seed);
        if json { println!("{}", serde_json::to_string(&asked)?) } else { println!("{asked}") }
    }
    Ok(())
}

fn routed(
    Told { seed, json }: Told,
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
