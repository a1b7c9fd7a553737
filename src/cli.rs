//! The command line.

use crate::broker::BrokerError;
use crate::config::{Operator, Platform};
use crate::front::{catalogue, platform};
use crate::import;
use crate::net::Signals;
use std::path::Path;
use std::process::ExitCode;

/// Does what the arguments say; without any, serves the platform.
pub fn main(args: impl Iterator<Item = String>) -> ExitCode {
    let args: Vec<String> = args.collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let ran = match words[..] {
        [] => serve_platform(),
        ["--catalogue", file] => serve_catalogue(file),
        ["--import", kind @ ("apache" | "jk"), file] => return import(kind, file, None),
        ["--import", kind @ ("apache" | "jk"), file, name] => return import(kind, file, Some(name)),
        _ => {
            eprintln!("usage: pebbleturn [--catalogue FILE | --import apache|jk FILE [BALANCER]]");
            return ExitCode::from(2);
        }
    };
    if let Err(e) = ran {
        log::error!("{e}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn serve_platform() -> Result<(), BrokerError> {
    // Caught first: a signal that comes as soon as it listens must not kill it.
    let signals = Signals::catch().map_err(BrokerError::io("signals"))?;
    let (mut broker, _) = platform::broker(Platform::from_env()?)?;
    broker.obey(signals)?;
    broker.run()
}

fn serve_catalogue(file: &str) -> Result<(), BrokerError> {
    let signals = Signals::catch().map_err(BrokerError::io("signals"))?;
    let (mut broker, _) = catalogue::broker(Operator::from_file(Path::new(file))?)?;
    broker.obey(signals)?;
    broker.run()
}

/// Writes the operator's file to standard output, and what has no counterpart to standard error.
fn import(kind: &str, file: &str, name: Option<&str>) -> ExitCode {
    let read = if kind == "apache" { import::read_apache } else { import::read_jk };
    let text = std::fs::read_to_string(file).map_err(|e| e.to_string());
    match text.and_then(|t| read(&t, name).map_err(|e| e.to_string())) {
        Ok(imported) => {
            imported.notes.iter().for_each(|n| eprintln!("{n}"));
            print!("{}", imported.file);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{file}: {e}");
            ExitCode::FAILURE
        }
    }
}
