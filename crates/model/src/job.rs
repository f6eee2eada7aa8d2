//! Jobs: what was asked for and how it ended.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::digest::Digest;
use crate::shape::Shape;

/// What a caller asks to have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Shape of the gang.
    pub shape: Shape,
    /// Whether a second run does no harm.
    pub repeatable: bool,
    /// Whether a stopped run can go on from where it was.
    pub checkpointable: bool,
    /// Whether the job goes before work that is not urgent.
    pub urgent: bool,
    /// When the answer is due, in ms since the Unix epoch.
    pub deadline_ms: Option<u64>,
    /// Run time that the caller expects, in ms.
    pub declared_run_ms: u64,
    /// Reference that the tasks are given.
    pub payload: SmolStr,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All members finished; the answer is whole.
    Completed {
        /// The answer.
        answer: Answer,
    },
    /// The job failed on as many workers as it may.
    Failed {
        /// Last reason given.
        reason: SmolStr,
    },
    /// The job ended after its start and may have had effects.
    MayHaveRun {
        /// What happened.
        reason: SmolStr,
    },
    /// The job ended before its start and had no effects.
    NotRun {
        /// What happened.
        reason: SmolStr,
    },
}

impl JobOutcome {
    /// Why the job did not complete; nothing where it did.
    pub fn reason(&self) -> Option<&SmolStr> {
        match self {
            Self::Completed { .. } => None,
            Self::Failed { reason } | Self::MayHaveRun { reason } | Self::NotRun { reason } => {
                Some(reason)
            }
        }
    }
}

/// A job's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// The answer's bytes, at most [`Answer::MAX_BYTES`].
    pub body: Vec<u8>,
    /// Digest of the bytes.
    pub digest: Digest,
}

impl Answer {
    /// Largest answer, in bytes.
    pub const MAX_BYTES: usize = 16 * 1024;

    /// An answer with the digest of its bytes.
    pub fn new(body: Vec<u8>) -> Self {
        let digest = Digest::of(&body);
        Self { body, digest }
    }

    /// Whether the bytes are the ones that the digest was made from.
    pub fn matches_digest(&self) -> bool {
        Digest::of(&self.body) == self.digest
    }
}
