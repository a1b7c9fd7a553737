//! Tests of the broker's operation: admin endpoint, suspended servers, pause and hot restart. They run
//! processes of the real program on loopback, and wait for conditions instead of fixed times.

mod catalogue;
#[path = "../common/mod.rs"]
mod common;
mod hot_restart;
mod processes;
mod rules;
mod state_directory;
mod upgrades;

/// Path of the compiled program.
const PROGRAM: &str = env!("CARGO_BIN_EXE_pebbleturn");
