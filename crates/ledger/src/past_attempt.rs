//! Attempts of a job that are over, kept to explain it.

use cuminbarrow_model::keys::WorkerKey;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Most past attempts kept of one job, the latest ones.
pub(crate) const MAX_PAST_ATTEMPTS: usize = 8;

/// An attempt that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastAttempt {
    /// Number of the attempt.
    pub attempt: u16,
    /// Worker whose agent led the gang.
    pub lead: WorkerKey,
    /// Whether its start was in the log.
    pub was_started: bool,
    /// How it ended.
    pub reason: SmolStr,
    /// When it ended, in ms since the Unix epoch.
    pub at_ms: u64,
}
