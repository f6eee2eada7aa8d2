//! Events in virtual time, first in first out among those of the same time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cuminbarrow_model::keys::AttemptKey;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A job of the load arrives.
    Arrival(usize),
    /// A job of the load is cancelled.
    Cancel(usize),
    /// A gang's tasks end by themselves.
    End(AttemptKey),
    /// The planner looks again.
    PlanningCheck,
    /// A worker comes back.
    Recovery(usize),
    /// A gang is ready and starts.
    Start(AttemptKey),
    /// A gang that was told to stop has stopped.
    Stopped(AttemptKey),
    /// A worker is lost.
    Loss(usize),
}

/// Events in virtual time.
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

    /// The next event and its time.
    pub(crate) fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap.pop().map(|Reverse((at_ms, _, event))| (at_ms, event))
    }

    pub(crate) fn next_ms(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at_ms, _, _))| *at_ms)
    }
}
