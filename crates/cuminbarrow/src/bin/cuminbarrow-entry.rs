//! Entry daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    cuminbarrow::entry_main::main()
}
