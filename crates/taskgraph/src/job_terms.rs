//! The terms on which a job was accepted.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Priority from which on work leaves room for what is more urgent.
pub const BACKGROUND_PRIORITY: u8 = 2;

/// Terms of a queue, as of the acceptance of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobTerms {
    /// Queue that accepted the job.
    pub queue: SmolStr,
    /// Service whose workers run its tasks.
    pub service: SmolStr,
    /// Owner.
    pub team: SmolStr,
    /// Urgency; 0 goes first.
    pub priority: u8,
    /// Failed runs after which a task, and with it its job, has failed.
    pub max_attempts: u16,
    /// Factor of the longest chain within which the job is on time, in thousandths.
    pub stretch_permille: u32,
    /// Time beyond that, in ms.
    pub target_latency_ms: u32,
    /// Whether only an outside service knows the workers that may run a step.
    pub is_advised: bool,
}

impl JobTerms {
    /// Time within which a job with this longest chain is on time, in ms.
    pub fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        let stretched = critical_path_ms.saturating_mul(u64::from(self.stretch_permille)) / 1_000;
        stretched.saturating_add(u64::from(self.target_latency_ms))
    }
}
