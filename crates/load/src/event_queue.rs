//! Queue of events in virtual time. Events at the same time are returned in the order of their
//! insertion.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cuminbarrow_model::keys::AttemptKey;

/// A simulated event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// The job with this index in the workload is submitted.
    Arrival(usize),
    /// The job with this index in the workload is cancelled.
    Cancel(usize),
    /// A gang completes or fails.
    End(AttemptKey),
    /// The planner is due for its periodic round.
    PlanningCheck,
    /// The worker of the fault with this index joins again.
    Recovery(usize),
    /// A placed gang starts.
    Start(AttemptKey),
    /// A gang that was asked to stop has stopped.
    Stopped(AttemptKey),
    /// The worker of the fault with this index is declared lost.
    Loss(usize),
}

/// Queue of events, ordered by time and insertion.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at_ms: u64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse((at_ms, self.count, event)));
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap.pop().map(|Reverse((at_ms, _, event))| (at_ms, event))
    }

    /// Time of the next event.
    pub(crate) fn next_ms(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at_ms, _, _))| *at_ms)
    }
}
