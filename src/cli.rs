//! The command line.

use crate::admin::client;
use crate::config::{OperatorConfig, PlatformConfig};
use crate::frontends::{catalogue, platform};
use crate::net::Signals;
use crate::server::BrokerError;
use crate::storage::snapshot_store;
use crate::{cluster, import, log, membership};
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A broker for sharded, replicated services, and a translator between their protocols.
///
/// Without a command it serves the platform, as `serve platform` does.
#[derive(Debug, Parser)]
#[command(name = "pebbleturn", version, arg_required_else_help = false)]
struct Cli {
    /// The least level of log lines that are written; else PEBBLETURN_LOG tells, else info.
    #[arg(long, value_enum, global = true, value_name = "LEVEL")]
    log: Option<log::Level>,
    /// The form of log lines; else PEBBLETURN_LOG_FORMAT tells, else text.
    #[arg(long, value_enum, global = true, value_name = "FORM")]
    log_format: Option<log::Form>,
    /// Seconds by which the clock is off, for tests of clusters.
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
    /// Serve clients until the word to end comes (SIGTERM), and finish what was taken.
    #[command(subcommand)]
    Serve(Serve),
    /// Say all that is wrong with a configuration; exits with 1 if anything is.
    Check {
        /// An operator's file, or the platform's configuration if its name ends in .json.
        file: PathBuf,
    },
    /// Look at lists of nodes.
    #[command(subcommand)]
    Roster(RosterCommand),
    /// Look at what brokers of a cluster have on disk.
    #[command(subcommand)]
    State(StateCommand),
    /// Call a broker's second address.
    Operate(client::Operate),
    /// Write an operator's file from another balancer's; what has no counterpart goes to standard error.
    #[command(subcommand)]
    Import(Import),
}

#[derive(Debug, Subcommand)]
enum Serve {
    /// The platform's port, as the file that GW_CONFIG names tells.
    Platform,
    /// The catalogue's port: SRU and Z39.50.
    Catalogue {
        /// The operator's file.
        file: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
enum RosterCommand {
    /// Show what a kept list says: entries, age, trust, learnt drains; exits with 1 if it is unsound.
    Show {
        /// The directory in which a list is kept, or one file of it.
        path: PathBuf,
        /// Write one JSON object instead of a table.
        #[arg(long)]
        json: bool,
        /// Mean time between two changes of one node, hours, as the broker is told.
        #[arg(long, default_value_t = 24.0, value_name = "HOURS")]
        changes_every: f64,
    },
}

#[derive(Debug, Subcommand)]
enum StateCommand {
    /// Show the words by hand that a broker has on disk; exits with 1 if anything there is unsound.
    Show {
        /// The directory that `[cluster] keep` names.
        dir: PathBuf,
        /// Write one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Show on what two brokers' copies on disk differ, or one's with nothing; exits with 1 if they do.
    Diff {
        /// A directory that `[cluster] keep` names.
        dir: PathBuf,
        /// Another one; without it, what stands in the first one.
        other: Option<PathBuf>,
        /// Write one JSON object.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Debug, Args)]
struct From {
    /// The file to read.
    file: PathBuf,
    /// The balancer to take, where the file has several.
    name: Option<String>,
}

#[derive(Debug, Subcommand)]
enum Import {
    /// An Apache httpd configuration with balancers.
    Apache(From),
    /// A mod_jk workers.properties.
    Jk(From),
}

/// The arguments as they were before there were commands, in today's words.
fn modern(mut args: Vec<String>) -> Vec<String> {
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let instead: &[&str] = match words[..] {
        [_, "--catalogue", ..] => &["serve", "catalogue"],
        [_, "--import", ..] => &["import"],
        _ => return args,
    };
    args.splice(1..2, instead.iter().map(|w| (*w).to_owned()));
    args
}

/// Does what the arguments say; without any, serves the platform. Exits with 0, with 1 where it could not do it,
/// or with 2 where it could not make out what to do.
pub fn main(args: impl Iterator<Item = String>) -> ExitCode {
    let cli = match Cli::try_parse_from(modern(args.collect())) {
        Ok(cli) => cli,
        // Help and the version are printed as asked for, anything else is a mistake.
        Err(e) => {
            let _ = e.print();
            return ExitCode::from(e.exit_code() as u8);
        }
    };
    log::start(cli.log, cli.log_format);
    if cli.clock_off != 0 {
        crate::net::clock::set_off(cli.clock_off);
    }
    match cli.command.unwrap_or(Command::Serve(Serve::Platform)) {
        Command::Serve(Serve::Platform) => said(serve_platform()),
        Command::Serve(Serve::Catalogue { file }) => said(serve_catalogue(&file)),
        Command::Check { file } => check(&file),
        Command::Roster(RosterCommand::Show { path, json, changes_every }) => {
            show(&path, json, changes_every)
        }
        Command::State(StateCommand::Show { dir, json }) => state(&dir, None, json),
        Command::State(StateCommand::Diff { dir, other, json }) => state(&dir, Some(other.as_deref()), json),
        Command::Operate(operate) => operate.run(),
        Command::Import(Import::Apache(from)) => import(import::read_apache, &from),
        Command::Import(Import::Jk(from)) => import(import::read_jk, &from),
    }
}

/// The program's own description, for whoever checks its pages.
pub fn command() -> clap::Command {
    Cli::command()
}

fn said(ran: Result<(), BrokerError>) -> ExitCode {
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn serve_platform() -> Result<(), BrokerError> {
    // Caught first: a signal that comes as soon as it listens must not kill it.
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

/// Names everything that is wrong, a line each, on standard error.
fn check(file: &Path) -> ExitCode {
    let wrong = if file.extension().is_some_and(|e| e == "json") {
        PlatformConfig::from_file(file).err().into_iter().map(|e| e.0).collect()
    } else {
        OperatorConfig::faults(file)
    };
    wrong.iter().for_each(|w| eprintln!("{w}"));
    if wrong.is_empty() {
        println!("{}: sound", file.display());
        return ExitCode::SUCCESS;
    }
    eprintln!("{}: {} in all", file.display(), wrong.len());
    ExitCode::FAILURE
}

fn show(path: &Path, json: bool, changes_every: f64) -> ExitCode {
    if !(changes_every > 0.0 && changes_every.is_finite()) {
        eprintln!("--changes-every {changes_every}: must be over 0");
        return ExitCode::from(2);
    }
    let (lists, wrong) = snapshot_store::look(path);
    wrong.iter().for_each(|w| eprintln!("{w}"));
    let now = crate::net::Clock::start().now();
    if !lists.is_empty() {
        let report =
            membership::status_report::StatusReport::new(&lists, now, (changes_every * 3_600e9) as u64);
        if json {
            println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
        } else {
            print!("{report}");
        }
    } else if wrong.is_empty() {
        eprintln!("{}: no list is kept there", path.display());
    }
    if wrong.is_empty() && !lists.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// What a directory holds, or (`other`) on what it differs from another one.
fn state(dir: &Path, other: Option<Option<&Path>>, json: bool) -> ExitCode {
    let mut sound = true;
    let mut read = |dir: &Path| {
        let (copy, wrong) = cluster::read_directory(dir);
        wrong.iter().for_each(|w| eprintln!("{w}"));
        sound &= wrong.is_empty();
        copy
    };
    let (first, second) = (read(dir), other.flatten().map(read));
    let now = crate::net::Clock::start().now();
    let (told, differs) = match other {
        None => (cluster::store_report(&first, now), false),
        Some(_) => cluster::difference_report(&first, second.as_ref(), now),
    };
    if json {
        println!("{told}");
    } else {
        print!("{}", client::facts(&told.to_string()).unwrap_or_default());
    }
    if differs || !sound { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Writes the operator's file to standard output, and what has no counterpart to standard error.
fn import(
    read: impl Fn(&str, Option<&str>) -> Result<import::Imported, import::ImportError>,
    from: &From,
) -> ExitCode {
    let text = std::fs::read_to_string(&from.file).map_err(|e| e.to_string());
    match text.and_then(|t| read(&t, from.name.as_deref()).map_err(|e| e.to_string())) {
        Ok(imported) => {
            imported.notes.iter().for_each(|n| eprintln!("{n}"));
            print!("{}", imported.file);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{}: {e}", from.file.display());
            ExitCode::FAILURE
        }
    }
}
