//! Compares what the programs print and send byte for byte with recorded fixtures.
//!
//! The fixtures in `tests/fixtures/printed/` were written by the program before its code was renamed and
//! refactored. The staff's scripts, the simulator, shard servers, discovery and clients depend on these
//! formats, so none may change. To add a fixture, run the test with `PEBBLETURN_WRITE_FIXTURES=1`; a fixture
//! that exists is never overwritten.

mod admin_endpoint;
mod commands;
mod fixture;
mod network;
mod placeholder;
mod run;
mod simulator;

/// The path of the broker's executable.
const PROGRAM: &str = env!("CARGO_BIN_EXE_pebbleturn");
