//! The `pointhook` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    pointhook::cli::main()
}
