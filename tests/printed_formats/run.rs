//! Runs of the program that end by themselves, formatted as in a fixture.

use super::PROGRAM;
use super::fixture;
use std::process::{Command, Output};

/// Runs the program in the directory of the inputs; returns its arguments, exit code, standard output and
/// standard error.
pub fn record(arguments: &[&str]) -> String {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).current_dir(fixture::path("inputs"));
    command.env_remove("GW_CONFIG").env_remove("PEBBLETURN_LOG").env_remove("PEBBLETURN_LOG_FORMAT");
    let command_line = format!("$ pebbleturn {}", arguments.join(" "));
    describe(&command_line, &command.output().unwrap())
}

/// Formats one run as in a fixture.
pub fn describe(command: &str, output: &Output) -> String {
    let standard_output = std::str::from_utf8(&output.stdout).unwrap();
    let standard_error = std::str::from_utf8(&output.stderr).unwrap();
    let code = output.status.code().unwrap();
    format!(
        "{command}\n--- exit code {code}\n--- standard output\n{standard_output}--- standard error\n{standard_error}\n"
    )
}
