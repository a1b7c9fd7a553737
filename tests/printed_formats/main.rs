//! Records of what the programs print and send, compared byte for byte with fixtures.
//!
//! The fixtures in `tests/fixtures/printed/` were written by the program before its code was renamed and reshaped.
//! They hold for scripts of the staff, the simulator, shard servers, discovery and clients: none may see a change.
//! To add a record, run the test with `PEBBLETURN_WRITE_FIXTURES=1`; a fixture that exists is never overwritten.

mod admin_endpoint;
mod commands;
mod fixture;
mod network;
mod placeholder;
mod run;
mod simulator;

/// The broker's program.
const PROGRAM: &str = env!("CARGO_BIN_EXE_pebbleturn");
