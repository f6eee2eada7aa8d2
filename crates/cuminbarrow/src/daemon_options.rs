//! Options that all daemons share, and the way they end.

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

/// A runtime with several threads.
///
/// # Errors
/// [`DaemonError::Os`] when threads can't be had.
pub(crate) fn runtime(threads: usize) -> Result<Runtime, DaemonError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .context(OsSnafu { action: "cannot start threads" })
}

/// Prints why a daemon ends.
pub(crate) fn exit_code(result: Result<(), DaemonError>) -> ExitCode {
    match result {
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
        Ok(()) => ExitCode::SUCCESS,
    }
}
