//! The `pebbleturn` program.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    pebbleturn::cli::main(std::env::args())
}
