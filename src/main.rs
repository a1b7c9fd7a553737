//! The broker as a program.
#![forbid(unsafe_code)]

use pebbleturn::config::Platform;
use pebbleturn::front::platform::{Broker, BrokerError};
use std::process::ExitCode;

fn main() -> ExitCode {
    pebbleturn::log::start();
    let ran = Platform::from_env().map_err(BrokerError::from).and_then(Broker::new).and_then(Broker::run);
    if let Err(e) = ran {
        log::error!("{e}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
