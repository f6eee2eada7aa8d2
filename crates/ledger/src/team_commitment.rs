//! Resources committed to one team on one worker: by reservations and by non-preemptible jobs.

use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::resources::Resources;
use serde::Deserialize;
use serde::Serialize;

/// Resources committed to one team on one worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCommitment {
    /// The team.
    pub team: TeamKey,
    /// Sum over the members of its reservations on the worker.
    pub reserved: Resources,
    /// Accelerators of those members.
    pub reserved_accelerators: AcceleratorSet,
    /// Sum over the members of its non-preemptible jobs on the worker.
    pub non_preemptible: Resources,
    /// Accelerators of those members.
    pub non_preemptible_accelerators: AcceleratorSet,
}

impl TeamCommitment {
    /// Amounts that other teams may not commit: the larger of those reserved and those used by
    /// non-preemptible jobs.
    pub fn committed(&self) -> Resources {
        self.reserved.max(&self.non_preemptible)
    }

    /// Whether nothing is committed.
    pub fn is_empty(&self) -> bool {
        self.reserved == Resources::default() && self.non_preemptible == Resources::default()
    }
}
