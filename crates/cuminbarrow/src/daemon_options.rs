//! Command-line options, runtime and exit code that all daemons share.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use snafu::ResultExt;
use tokio::runtime::Runtime;

use crate::daemon_error::DaemonError;
use crate::daemon_error::OsSnafu;

/// Options of a daemon
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct DaemonOptions {
    /// Settings file in YAML
    #[bpaf(argument("FILE"))]
    pub config: PathBuf,
    /// Check the settings and exit
    #[bpaf(switch)]
    pub check: bool,
}

/// Creates a runtime with `threads` worker threads.
///
/// # Errors
/// [`DaemonError::Os`] if the threads cannot be started.
pub(crate) fn runtime(threads: usize) -> Result<Runtime, DaemonError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .context(OsSnafu { action: "cannot start threads" })
}

/// Exit code of a daemon; an error is printed to standard error.
pub(crate) fn exit_code(result: Result<(), DaemonError>) -> ExitCode {
    match result {
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
        Ok(()) => ExitCode::SUCCESS,
    }
}
