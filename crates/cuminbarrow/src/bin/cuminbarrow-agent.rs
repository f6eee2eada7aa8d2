//! Agent daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    cuminbarrow::agent_main::main()
}
