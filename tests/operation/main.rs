//! The broker as staff run it: its second address, servers out by hand, a pause, and a new process beside the old one.
//! Several processes of the real program on loopback; what waits waits for a condition.

mod catalogue;
#[path = "../common/mod.rs"]
mod common;
mod hot_restart;
mod processes;
mod rules;
mod upgrades;

/// The real program.
const PROGRAM: &str = env!("CARGO_BIN_EXE_pebbleturn");
