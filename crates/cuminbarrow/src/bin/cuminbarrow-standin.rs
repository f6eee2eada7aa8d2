//! In-memory stand-in for the platform, for tests and trials.

use std::process::ExitCode;

fn main() -> ExitCode {
    cuminbarrow::standin_main::main()
}
