//! Entry point of the `nutmegfold` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    nutmegfold::cli::main(std::env::args())
}
