//! Job specifications, outcomes and answers.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::digest::Digest;
use crate::shape::Shape;

/// Job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Members, resources and span that the job needs.
    pub shape: Shape,
    /// Whether the job may safely be run more than once; only such jobs are preempted.
    pub repeatable: bool,
    /// Whether a stopped job can resume from its last checkpoint.
    pub checkpointable: bool,
    /// Whether the job has priority over all jobs that are not urgent.
    pub urgent: bool,
    /// Time by which the answer is due, in ms since the Unix epoch.
    pub deadline_ms: Option<u64>,
    /// Run time that the caller expects, in ms.
    pub declared_run_ms: u64,
    /// Reference passed to every task; the scheduler does not interpret it.
    pub payload: SmolStr,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All members completed.
    Completed {
        /// Combined answer of all members.
        answer: Answer,
    },
    /// The job failed on the maximum number of workers or in the maximum number of attempts.
    Failed {
        /// Reason of the last failure.
        reason: SmolStr,
    },
    /// The job was started but did not complete, so it may have had effects.
    MayHaveRun {
        /// Why the job ended.
        reason: SmolStr,
    },
    /// The job ended before it was started and had no effects.
    NotRun {
        /// Why the job ended.
        reason: SmolStr,
    },
}

impl JobOutcome {
    /// Why the job did not complete, or `None` if it did.
    pub fn reason(&self) -> Option<&SmolStr> {
        match self {
            Self::Completed { .. } => None,
            Self::Failed { reason } | Self::MayHaveRun { reason } | Self::NotRun { reason } => {
                Some(reason)
            }
        }
    }
}

/// Result bytes of a job, with their digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// Bytes of the answer, at most [`Answer::MAX_BYTES`].
    pub body: Vec<u8>,
    /// Digest of the complete answer, which detects corruption. It is retained when the bytes in
    /// `body` are dropped.
    pub digest: Digest,
}

impl Answer {
    /// Maximum size of an answer, in bytes.
    pub const MAX_BYTES: usize = 16 * 1024;

    /// Creates an answer and computes its digest.
    pub fn new(body: Vec<u8>) -> Self {
        let digest = Digest::of(&body);
        Self { body, digest }
    }

    /// Whether the digest matches the bytes; false if the bytes were corrupted or dropped.
    pub fn matches_digest(&self) -> bool {
        Digest::of(&self.body) == self.digest
    }
}
