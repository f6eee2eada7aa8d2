//! Errors of the client's commands and their exit codes.

use std::process::ExitCode;

use cuminbarrow_entry::api_error::ApiError;
use cuminbarrow_entry::api_error::ErrorOutcome;
use cuminbarrow_resources::http_client::CallError;
use snafu::Snafu;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No entry could be reached.
    #[snafu(display("no entry could be reached: {source}"))]
    Call {
        /// Underlying error: the first one that leaves the outcome unknown, or else the last one.
        source: CallError,
    },
    /// The demo failed.
    #[snafu(display("the demo failed: {reason}"))]
    Demo {
        /// Step that failed and how.
        reason: String,
    },
    /// A file could not be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path of the file.
        path: String,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The job ended without completing.
    #[snafu(display("the job did not complete: {reason}"))]
    JobFailed {
        /// Reason given by the entry.
        reason: String,
    },
    /// A response or a value could not be decoded or encoded.
    #[snafu(display("the entry's answer can't be read: {reason}"))]
    Malformed {
        /// What is wrong with the response or value.
        reason: String,
    },
    /// The environment variable with the token is not set.
    #[snafu(display("a token is needed: set CUMINBARROW_TOKEN"))]
    NoToken,
    /// The entry refused the request.
    #[snafu(display("{} ({}, outcome: {:?})", error.detail, error.kind, error.outcome))]
    Refused {
        /// Error body of the response.
        error: ApiError,
    },
    /// The runtime's threads could not be started.
    #[snafu(display("cannot start threads: {source}"))]
    Runtime {
        /// Underlying error.
        source: std::io::Error,
    },
    /// A sheet is not valid.
    #[snafu(display("the sheet has {count} faults"))]
    SheetInvalid {
        /// Number of faults, which were printed before.
        count: usize,
    },
}

impl ClientError {
    /// Exit code: 3 if the request certainly had no effect, 4 if the work may have run, 5 if the
    /// outcome is unknown, 6 if the job did not complete, 7 if the sheet is not valid, 1 otherwise.
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
