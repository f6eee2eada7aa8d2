//! Terms under which a job was accepted.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Priority of urgent work, which guarantees cover.
pub const URGENT_PRIORITY: u8 = 0;
/// Lowest priority number that counts as background work. Background work leaves capacity to urgent
/// work that has recently reclaimed some.
pub const BACKGROUND_PRIORITY: u8 = 2;

/// Settings of the queue at the time when it accepted a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobTerms {
    /// Queue that accepted the job.
    pub queue: SmolStr,
    /// Service whose workers run the tasks.
    pub service: SmolStr,
    /// Team that owns the job.
    pub team: SmolStr,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of failed runs after which a task fails, and its job with it.
    pub max_attempts: u16,
    /// Part of the latency objective that is proportional to the job's critical path, in
    /// thousandths of it.
    pub stretch_permille: u32,
    /// Constant part of the latency objective, in ms.
    pub target_latency_ms: u32,
    /// Whether an external service decides which workers may run a step.
    pub is_advised: bool,
}

impl JobTerms {
    /// Latency objective of a job with this critical path, in ms.
    pub fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        let stretched = critical_path_ms.saturating_mul(u64::from(self.stretch_permille)) / 1_000;
        stretched.saturating_add(u64::from(self.target_latency_ms))
    }
}
