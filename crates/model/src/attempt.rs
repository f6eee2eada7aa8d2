//! Members of a placed gang and the ways in which an attempt ends.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::accelerator_set::AcceleratorSet;
use crate::job::Answer;
use crate::keys::WorkerKey;

/// One member of a placed gang. The agent of the first member's worker is the gang's lead, which
/// coordinates start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Worker that runs the member.
    pub worker: WorkerKey,
    /// Accelerators of that worker that the member uses.
    pub accelerators: AcceleratorSet,
}

/// How an attempt ended, as its lead reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// Every member completed its task.
    Completed {
        /// Combined answer of all members, in member order.
        answer: Answer,
    },
    /// A member's task failed.
    Failed {
        /// Worker of the failed member.
        worker: WorkerKey,
        /// Reason that the worker reported.
        reason: SmolStr,
    },
    /// The gang's lease expired.
    Lapsed {
        /// Worker of the member that did not respond or whose lease expired.
        worker: WorkerKey,
    },
    /// Every member was stopped on request.
    Stopped {
        /// Share of the work saved by the last checkpoint, in thousandths.
        progress_permille: u16,
    },
}
