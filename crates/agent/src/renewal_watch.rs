//! Watches whether the worker still takes renewals, so that a gang whose member stands on a worker
//! that does not answer ends everywhere.
//!
//! The worker stops a task whose lease lapses. An agent that can't reach its worker for a whole
//! lease therefore knows that the task is over, and tells so as if the worker had reported it.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

/// When each task's lease was last renewed.
#[derive(Debug, Default)]
pub(crate) struct RenewalWatch {
    renewed: Mutex<BTreeMap<SmolStr, Instant>>,
}

impl RenewalWatch {
    /// Notes tasks that run; a new one counts as renewed.
    pub(crate) fn begin(&self, tasks: &[SmolStr]) {
        let now = Instant::now();
        let mut renewed = self.lock();
        for task in tasks {
            renewed.entry(task.clone()).or_insert(now);
        }
    }

    /// Notes that the worker took a renewal that was sent at some time.
    pub(crate) fn succeeded(&self, tasks: &[SmolStr], sent: Instant) {
        let mut renewed = self.lock();
        for task in tasks {
            if let Some(known) = renewed.get_mut(task) {
                *known = sent.max(*known);
            }
        }
    }

    /// Notes that a task is over.
    pub(crate) fn forget(&self, task: &SmolStr) {
        self.lock().remove(task);
    }

    /// Takes the tasks whose lease has surely lapsed at the worker.
    pub(crate) fn take_lapsed(&self, lease: Duration) -> Vec<SmolStr> {
        let mut renewed = self.lock();
        let lapsed: Vec<SmolStr> = renewed
            .iter()
            .filter(|(_, since)| since.elapsed() >= lease)
            .map(|(task, _)| task.clone())
            .collect();
        renewed.retain(|task, _| !lapsed.contains(task));
        lapsed
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Instant>> {
        self.renewed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
