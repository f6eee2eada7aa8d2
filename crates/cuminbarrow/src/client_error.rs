//! Why a command failed, and its exit code.

use std::process::ExitCode;

use cuminbarrow_entry::api_error::ApiError;
use cuminbarrow_entry::api_error::ErrorOutcome;
use cuminbarrow_resources::http_client::CallError;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No entry could be reached.
    #[snafu(display("no entry could be reached: {source}"))]
    Call {
        /// Cause, from the last entry tried.
        source: CallError,
    },
    /// The demo failed.
    #[snafu(display("the demo failed: {reason}"))]
    Demo {
        /// What happened.
        reason: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The job ended and did not complete.
    #[snafu(display("the job did not complete: {reason}"))]
    JobFailed {
        /// Why.
        reason: String,
    },
    /// An answer was not what was expected.
    #[snafu(display("the entry's answer can't be read: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// No token was given.
    #[snafu(display("a token is needed: set CUMINBARROW_TOKEN"))]
    NoToken,
    /// The entry refused.
    #[snafu(display("{} ({}, outcome: {:?})", error.detail, error.kind, error.outcome))]
    Refused {
        /// What it said.
        error: ApiError,
    },
    /// The runtime could not be started.
    #[snafu(display("cannot start threads: {source}"))]
    Runtime {
        /// Cause.
        source: std::io::Error,
    },
    /// A sheet is not valid.
    #[snafu(display("the sheet has {count} faults"))]
    SheetInvalid {
        /// Number of faults, which were printed.
        count: usize,
    },
}

impl ClientError {
    /// Exit code: 1 other, 3 not run, 4 may have run, 5 not known, 6 the job did not complete,
    /// 7 the sheet is not valid.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Call { source } if source.is_unsent() => 3,
            Self::Call { .. } => 5,
            Self::Demo { .. }
            | Self::File { .. }
            | Self::Malformed { .. }
            | Self::NoToken
            | Self::Runtime { .. } => 1,
            Self::JobFailed { .. } => 6,
            Self::Refused { error } => match error.outcome {
                ErrorOutcome::MayHaveRun => 4,
                ErrorOutcome::NotRun => 3,
                ErrorOutcome::Unknown => 5,
            },
            Self::SheetInvalid { .. } => 7,
        };
        ExitCode::from(code)
    }
}
