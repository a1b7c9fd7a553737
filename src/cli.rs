//! The command line: its arguments, and the commands that they run.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use crate::admin::client;
use crate::api::Nanos;
use crate::config::{OperatorConfig, PlatformConfig};
use crate::frontends::{catalogue, platform};
use crate::membership::status_report::StatusReport;
use crate::net::{Clock, Signals};
use crate::replication::StateStore;
use crate::server::BrokerError;
use crate::storage::snapshot_store::{self, StoredSnapshots};
use crate::{cluster, import, log, net};
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const NANOS_PER_HOUR: f64 = 3_600e9;

/// Exit code for invalid arguments, the same as clap's.
const EXIT_USAGE: u8 = 2;

/// A broker for sharded, replicated services, and a translator between their protocols.
///
/// Without a command it serves the platform, as `serve platform` does.
#[derive(Debug, Parser)]
#[command(name = "pebbleturn", version, arg_required_else_help = false)]
struct Cli {
    /// Lowest level of the log lines to write; defaults to the value of PEBBLETURN_LOG, else to info.
    #[arg(long, value_enum, global = true, value_name = "LEVEL")]
    log: Option<log::LogLevel>,
    /// Format of log lines; defaults to the value of PEBBLETURN_LOG_FORMAT, else to text.
    #[arg(long, value_enum, global = true, value_name = "FORM")]
    log_format: Option<log::LogFormat>,
    /// Offset of the clock, seconds; for tests of clusters.
    #[arg(
        long,
        global = true,
        hide = true,
        default_value_t = 0,
        allow_hyphen_values = true,
        value_name = "SECONDS"
    )]
    clock_off: i64,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve clients until SIGTERM, then complete the queries already accepted and exit.
    #[command(subcommand)]
    Serve(Serve),
    /// Report all errors of a configuration; exits with 1 if there are any.
    Check {
        /// An operator's file, or the platform's configuration if its name ends in .json.
        file: PathBuf,
    },
    /// Inspect cached lists of nodes.
    #[command(subcommand)]
    Roster(RosterCommand),
    /// Inspect the cluster state that brokers have on disk.
    #[command(subcommand)]
    State(StateCommand),
    /// Send a request to a broker's admin endpoint.
    Operate(client::OperateArgs),
    /// Convert another balancer's configuration to an operator's file; settings without a counterpart are
    /// reported on standard error.
    #[command(subcommand)]
    Import(Import),
}

#[derive(Debug, Subcommand)]
enum Serve {
    /// Serve the platform, as configured in the file that GW_CONFIG names.
    Platform,
    /// Serve the catalogue, over SRU and Z39.50.
    Catalogue {
        /// The operator's file.
        file: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
enum RosterCommand {
    /// Show a cached list of nodes: entries, ages, trust and reported drains; exits with 1 if the list is
    /// missing or invalid.
    Show {
        /// The directory of the cached list, or one of its files.
        path: PathBuf,
        /// Write one JSON object instead of a table.
        #[arg(long)]
        json: bool,
        /// Expected mean time between two changes of one node, hours, as configured for the broker.
        #[arg(long, default_value_t = 24.0, value_name = "HOURS")]
        changes_every: f64,
    },
}

#[derive(Debug, Subcommand)]
enum StateCommand {
    /// Show the operator commands in a broker's cluster state on disk; exits with 1 if the state is invalid.
    Show {
        /// The directory that `[cluster] keep` names.
        dir: PathBuf,
        /// Write one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Show the differences between two brokers' cluster states on disk; exits with 1 if they differ or are
    /// invalid.
    Diff {
        /// The directory that `[cluster] keep` names for one broker.
        dir: PathBuf,
        /// The same for another broker; without it, the state is compared with an empty one.
        other: Option<PathBuf>,
        /// Write one JSON object.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Debug, Args)]
struct ImportSource {
    /// The file to read.
    file: PathBuf,
    /// The balancer to import, if the file defines several.
    name: Option<String>,
}

#[derive(Debug, Subcommand)]
enum Import {
    /// An Apache httpd configuration with balancers.
    Apache(ImportSource),
    /// A mod_jk workers.properties file.
    Jk(ImportSource),
}

/// Translates the legacy options `--catalogue` and `--import` to the subcommands that replaced them.
fn translate_legacy_arguments(mut args: Vec<String>) -> Vec<String> {
    let given: Vec<&str> = args.iter().map(String::as_str).collect();
    let replacement: &[&str] = match given[..] {
        [_, "--catalogue", ..] => &["serve", "catalogue"],
        [_, "--import", ..] => &["import"],
        _ => return args,
    };
    args.splice(1..2, replacement.iter().map(|argument| (*argument).to_owned()));
    args
}

/// Runs the command that the arguments (with the program's name first) select, by default `serve platform`.
///
/// The exit code is 0 for success, 1 for a failure, and 2 for invalid arguments.
pub fn main(args: impl Iterator<Item = String>) -> ExitCode {
    let cli = match Cli::try_parse_from(translate_legacy_arguments(args.collect())) {
        Ok(cli) => cli,
        // Requests for help or the version come as errors too; their exit code is 0.
        Err(e) => {
            let _ = e.print();
            return ExitCode::from(e.exit_code() as u8);
        }
    };
    log::start(cli.log, cli.log_format);
    if cli.clock_off != 0 {
        net::clock::set_offset(cli.clock_off);
    }
    match cli.command.unwrap_or(Command::Serve(Serve::Platform)) {
        Command::Serve(Serve::Platform) => exit_code(serve_platform()),
        Command::Serve(Serve::Catalogue { file }) => exit_code(serve_catalogue(&file)),
        Command::Check { file } => check(&file),
        Command::Roster(RosterCommand::Show { path, json, changes_every }) => {
            show_roster(&path, json, changes_every)
        }
        Command::State(StateCommand::Show { dir, json }) => show_state(&dir, json),
        Command::State(StateCommand::Diff { dir, other, json }) => diff_state(&dir, other.as_deref(), json),
        Command::Operate(operate) => operate.run(),
        Command::Import(Import::Apache(source)) => run_import(import::read_apache, &source),
        Command::Import(Import::Jk(source)) => run_import(import::read_jk, &source),
    }
}

/// The clap definition of the command line, against which the documentation is checked.
pub fn command() -> clap::Command {
    Cli::command()
}

fn exit_code(result: Result<(), BrokerError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!(error = %e, "broker failed");
            ExitCode::FAILURE
        }
    }
}

fn success_if(success: bool) -> ExitCode {
    if success { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn serve_platform() -> Result<(), BrokerError> {
    // Handlers are installed before the broker listens: a signal right after that must not kill the process.
    let signals = Signals::catch().map_err(BrokerError::io("signals"))?;
    let (mut broker, _) = platform::broker(PlatformConfig::from_env()?)?;
    broker.handle_signals(signals)?;
    broker.run()
}

fn serve_catalogue(file: &Path) -> Result<(), BrokerError> {
    let signals = Signals::catch().map_err(BrokerError::io("signals"))?;
    let (mut broker, _) = catalogue::broker(OperatorConfig::from_file(file)?)?;
    broker.handle_signals(signals)?;
    broker.run()
}

/// Prints all errors of a configuration to standard error, one per line.
fn check(file: &Path) -> ExitCode {
    let errors = if file.extension().is_some_and(|e| e == "json") {
        PlatformConfig::from_file(file).err().into_iter().map(|e| e.message()).collect()
    } else {
        OperatorConfig::faults(file)
    };
    errors.iter().for_each(|error| eprintln!("{error}"));
    if errors.is_empty() {
        println!("{}: sound", file.display());
        return ExitCode::SUCCESS;
    }
    eprintln!("{}: {} in all", file.display(), errors.len());
    ExitCode::FAILURE
}

fn show_roster(path: &Path, json: bool, changes_every: f64) -> ExitCode {
    if !(changes_every > 0.0 && changes_every.is_finite()) {
        eprintln!("--changes-every {changes_every}: must be over 0");
        return ExitCode::from(EXIT_USAGE);
    }
    let StoredSnapshots { snapshots, problems } = snapshot_store::read_path(path);
    problems.iter().for_each(|problem| eprintln!("{problem}"));
    let now = Clock::start().now();
    if !snapshots.is_empty() {
        let report = StatusReport::new(&snapshots, now, (changes_every * NANOS_PER_HOUR) as Nanos);
        if json {
            println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
        } else {
            print!("{report}");
        }
    } else if problems.is_empty() {
        eprintln!("{}: no list is kept there", path.display());
    }
    success_if(problems.is_empty() && !snapshots.is_empty())
}

/// Reads a broker's cluster state from a directory and prints its errors; returns it and whether it is valid.
fn read_cluster_state(dir: &Path) -> (StateStore, bool) {
    let (store, errors) = cluster::read_directory(dir);
    errors.iter().for_each(|error| eprintln!("{error}"));
    (store, errors.is_empty())
}

fn print_cluster_state(report: &serde_json::Value, json: bool) {
    let line = report.to_string();
    if json {
        println!("{line}");
    } else {
        print!("{}", client::cluster_state_text(&line).unwrap_or_default());
    }
}

fn show_state(dir: &Path, json: bool) -> ExitCode {
    let (store, valid) = read_cluster_state(dir);
    print_cluster_state(&cluster::store_report(&store, Clock::start().now()), json);
    success_if(valid)
}

fn diff_state(dir: &Path, other: Option<&Path>, json: bool) -> ExitCode {
    let (first, first_valid) = read_cluster_state(dir);
    let (second, second_valid) = other.map(read_cluster_state).unzip();
    let (report, differs) = cluster::difference_report(&first, second.as_ref(), Clock::start().now());
    print_cluster_state(&report, json);
    success_if(first_valid && second_valid.unwrap_or(true) && !differs)
}

/// Writes the operator's file to standard output, and settings without a counterpart to standard error.
fn run_import(
    read: impl Fn(&str, Option<&str>) -> Result<import::Imported, import::ImportError>,
    source: &ImportSource,
) -> ExitCode {
    let text = std::fs::read_to_string(&source.file).map_err(|e| e.to_string());
    match text.and_then(|t| read(&t, source.name.as_deref()).map_err(|e| e.to_string())) {
        Ok(imported) => {
            imported.notes.iter().for_each(|n| eprintln!("{n}"));
            print!("{}", imported.file);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{}: {e}", source.file.display());
            ExitCode::FAILURE
        }
    }
}
