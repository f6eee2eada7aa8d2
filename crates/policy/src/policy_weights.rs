//! What a deployment weighs more.

/// Weights of the guaranteed policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyWeights {
    /// Weight of a job's size in its place in the queue: 0 leaves size out, more puts larger
    /// jobs first.
    pub size_weight: f64,
    /// Largest share of the work that a move may lose to open room for a job, against the work
    /// of the job itself.
    pub move_loss: f64,
    /// Wait after which a large job gets a shield, in ms.
    pub shield_after_ms: u64,
}

impl PolicyWeights {
    /// Completion time goes first.
    pub const COMPLETION: Self =
        Self { size_weight: 0.0, move_loss: 0.10, shield_after_ms: 10 * 60_000 };
    /// Low fragmentation goes first.
    pub const FRAGMENTATION: Self =
        Self { size_weight: 0.5, move_loss: 0.30, shield_after_ms: 2 * 60_000 };
}
