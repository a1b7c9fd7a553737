//! Runs of the program that end by themselves, as they stand in a fixture.

use super::PROGRAM;
use super::fixture;
use std::process::{Command, Output};

/// Runs the program in the directory of the inputs; gives its arguments, exit code, output and complaints.
pub fn record(arguments: &[&str]) -> String {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).current_dir(fixture::path("inputs"));
    command.env_remove("GW_CONFIG").env_remove("PEBBLETURN_LOG").env_remove("PEBBLETURN_LOG_FORMAT");
    let shown = format!("$ pebbleturn {}", arguments.join(" "));
    describe(&shown, &command.output().unwrap())
}

/// One run as a fixture shows it.
pub fn describe(command: &str, output: &Output) -> String {
    let standard_output = std::str::from_utf8(&output.stdout).unwrap();
    let standard_error = std::str::from_utf8(&output.stderr).unwrap();
    let code = output.status.code().unwrap();
    format!(
        "{command}\n--- exit code {code}\n--- standard output\n{standard_output}--- standard error\n{standard_error}\n"
    )
}
