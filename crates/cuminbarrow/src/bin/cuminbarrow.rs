//! Command-line client.

use std::process::ExitCode;

fn main() -> ExitCode {
    cuminbarrow::command::main()
}
