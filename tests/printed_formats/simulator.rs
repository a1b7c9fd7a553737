//! The simulator's protocol: a recorded session, and one that ends at a malformed line.

use super::fixture;
use super::run::describe;
use std::fs::File;
use std::process::Command;

/// The path of the adapter's executable, which implements the simulator's protocol.
const ADAPTER: &str = env!("CARGO_BIN_EXE_pebbleturn-benchlink");

/// Runs the adapter on an input; returns its exit code and everything that it wrote.
fn session(input: &str) -> String {
    let messages = File::open(fixture::path(&format!("inputs/{input}"))).unwrap();
    let output = Command::new(ADAPTER).stdin(messages).output().unwrap();
    describe(&format!("$ pebbleturn-benchlink < {input}"), &output)
}

/// The session has every kind of message in both directions; the first batch sets the seed.
#[test]
fn a_session_is_answered_with_the_same_bytes() {
    fixture::assert_matches("simulator_session.txt", &session("simulator_session.jsonl"));
}

#[test]
fn a_malformed_line_ends_the_session_with_the_same_error() {
    fixture::assert_matches("simulator_malformed.txt", &session("simulator_malformed.jsonl"));
}
