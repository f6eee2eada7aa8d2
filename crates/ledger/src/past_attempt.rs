//! Finished attempts of a job, retained to explain the job's history.

use cuminbarrow_model::keys::WorkerKey;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Maximum number of past attempts that are retained of one job; the oldest are dropped.
pub(crate) const MAX_PAST_ATTEMPTS: usize = 8;

/// A finished attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastAttempt {
    /// Number of the attempt.
    pub attempt: u16,
    /// Worker whose agent led the gang.
    pub lead: WorkerKey,
    /// Whether its start was recorded.
    pub was_started: bool,
    /// Reason of its end.
    pub reason: SmolStr,
    /// Time of its end, in ms since the Unix epoch.
    pub at_ms: u64,
}
