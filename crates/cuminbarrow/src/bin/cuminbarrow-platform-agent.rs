//! Agent daemon for the users' platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    cuminbarrow::platform_main::agent()
}
