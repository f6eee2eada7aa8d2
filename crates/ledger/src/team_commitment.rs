//! What one team holds on one worker: reservations, and work that can't be preempted.

use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::resources::Resources;
use serde::Deserialize;
use serde::Serialize;

/// What one team holds on one worker. Firm work can't be preempted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCommitment {
    /// The team.
    pub team: TeamKey,
    /// Sum of its reservations' members here.
    pub reserved: Resources,
    /// Accelerators of those.
    pub reserved_accelerators: AcceleratorSet,
    /// Sum of its firm work here.
    pub non_preemptible: Resources,
    /// Accelerators of that.
    pub non_preemptible_accelerators: AcceleratorSet,
}

impl TeamCommitment {
    /// What must be kept for the team: the larger of what it reserves and what it firmly uses.
    pub fn committed(&self) -> Resources {
        self.reserved.max(&self.non_preemptible)
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.reserved == Resources::default() && self.non_preemptible == Resources::default()
    }
}
