//! The simulator's wire: a recorded session, and one that breaks off at a malformed line.

use super::fixture;
use super::run::describe;
use std::fs::File;
use std::process::Command;

/// The program that speaks the simulator's wire.
const ADAPTER: &str = env!("CARGO_BIN_EXE_pebbleturn-benchlink");

/// The adapter's run on an input: its exit code, and all that it wrote.
fn session(input: &str) -> String {
    let messages = File::open(fixture::path(&format!("inputs/{input}"))).unwrap();
    let output = Command::new(ADAPTER).stdin(messages).output().unwrap();
    describe(&format!("$ pebbleturn-benchlink < {input}"), &output)
}

/// Every kind of message comes in, and every kind goes out; the seed stands in the first batch.
#[test]
fn a_session_is_answered_with_the_same_bytes() {
    fixture::assert_matches("simulator_session.txt", &session("simulator_session.jsonl"));
}

#[test]
fn a_malformed_line_ends_the_session_with_the_same_complaint() {
    fixture::assert_matches("simulator_malformed.txt", &session("simulator_malformed.jsonl"));
}
