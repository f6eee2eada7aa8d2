//! Weights that set the goal of the guaranteed policy.

/// Weights of the guaranteed policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyWeights {
    /// Exponent of a job's size in its queue score: 0 ignores the size, larger values prefer larger
    /// jobs.
    pub job_size_exponent: f64,
    /// Maximum work lost by preemption for a starving job, as a share of the work of that job.
    pub max_preemption_loss: f64,
    /// Time after which a pending large job counts as starving, in ms.
    pub starvation_threshold_ms: u64,
}

impl PolicyWeights {
    /// Prefers short completion times.
    pub const COMPLETION: Self = Self {
        job_size_exponent: 0.0,
        max_preemption_loss: 0.10,
        starvation_threshold_ms: 10 * 60_000,
    };
    /// Prefers low fragmentation.
    pub const FRAGMENTATION: Self = Self {
        job_size_exponent: 0.5,
        max_preemption_loss: 0.30,
        starvation_threshold_ms: 2 * 60_000,
    };
}
