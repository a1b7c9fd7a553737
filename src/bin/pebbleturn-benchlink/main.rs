//! The adapter of the benchmark platform: it reads messages from standard input, runs one `Balancer` per
//! instance, and writes their actions to standard output.
//!
//! It makes no decisions. An invalid line ends the process, with the line's number on standard error.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
#![deny(clippy::too_many_lines, clippy::type_complexity, clippy::cognitive_complexity)]

mod adapter;
mod error;
mod translation;
mod wire;

use adapter::Adapter;
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = std::io::stdin().lock();
    let mut stdout = std::io::stdout().lock();
    match Adapter::default().run(stdin, &mut stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pebbleturn-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
