//! The command line.

use crate::broker::BrokerError;
use crate::config::{Operator, Platform};
use crate::front::{catalogue, platform};
use std::path::Path;
use std::process::ExitCode;

/// Does what the arguments say; without any, serves the platform.
pub fn main(args: impl Iterator<Item = String>) -> ExitCode {
    let args: Vec<String> = args.collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let ran = match words[..] {
        [] => serve_platform(),
        ["--catalogue", file] => serve_catalogue(file),
        _ => {
            eprintln!("usage: pebbleturn [--catalogue FILE]");
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
    let (mut broker, _) = platform::broker(Platform::from_env()?)?;
    broker.end_on_signals()?;
    broker.run()
}

fn serve_catalogue(file: &str) -> Result<(), BrokerError> {
    let (mut broker, _) = catalogue::broker(Operator::from_file(Path::new(file))?)?;
    broker.end_on_signals()?;
    broker.run()
}
