//! Attempts: where a gang is placed and how an attempt ends.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::accelerator_set::AcceleratorSet;
use crate::job::Answer;
use crate::keys::WorkerKey;

/// One member of a placed gang. The first member's agent leads the gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Worker that runs the member.
    pub worker: WorkerKey,
    /// Accelerators that the member takes there.
    pub accelerators: AcceleratorSet,
}

/// How an attempt ended, as its lead reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// Every member finished.
    Completed {
        /// Answer of all members, in member order.
        answer: Answer,
    },
    /// A member's task failed.
    Failed {
        /// Worker of that member.
        worker: WorkerKey,
        /// What the worker said.
        reason: SmolStr,
    },
    /// The gang's lease lapsed.
    Lapsed {
        /// Worker that was not heard from.
        worker: WorkerKey,
    },
    /// Every member stopped on request.
    Stopped {
        /// Share of the work that the last checkpoint keeps, in thousandths.
        progress_permille: u16,
    },
}
