//! The broker as a program.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    pebbleturn::log::start();
    pebbleturn::cli::main(std::env::args().skip(1))
}
