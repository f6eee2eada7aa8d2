//! Tracks when the worker last accepted lease renewals, so that a gang with a member on an
//! unresponsive worker ends on all workers.
//!
//! The worker stops a task whose lease lapses. An agent that could not renew a task for a whole
//! lease therefore knows that the task has ended, and reports its end as if the worker had done so.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

/// Time of the last successful renewal of each running task.
#[derive(Debug, Default)]
pub(crate) struct RenewalTracker {
    last_renewed: Mutex<BTreeMap<SmolStr, Instant>>,
}

impl RenewalTracker {
    /// Tracks running tasks. A task that is not tracked yet counts as renewed now.
    pub(crate) fn track(&self, tasks: &[SmolStr]) {
        let now = Instant::now();
        let mut last_renewed = self.lock();
        for task in tasks {
            last_renewed.entry(task.clone()).or_insert(now);
        }
    }

    /// Records that the worker accepted a renewal that was sent at `sent`.
    pub(crate) fn record_renewal(&self, tasks: &[SmolStr], sent: Instant) {
        let mut last_renewed = self.lock();
        for task in tasks {
            if let Some(latest) = last_renewed.get_mut(task) {
                *latest = sent.max(*latest);
            }
        }
    }

    /// Stops tracking a task that has ended.
    pub(crate) fn forget(&self, task: &SmolStr) {
        self.lock().remove(task);
    }

    /// Removes and returns the tasks whose lease has certainly lapsed at the worker.
    pub(crate) fn take_lapsed(&self, lease: Duration) -> Vec<SmolStr> {
        let mut last_renewed = self.lock();
        let lapsed: Vec<SmolStr> = last_renewed
            .iter()
            .filter(|(_, renewed)| renewed.elapsed() >= lease)
            .map(|(task, _)| task.clone())
            .collect();
        last_renewed.retain(|task, _| !lapsed.contains(task));
        lapsed
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Instant>> {
        self.last_renewed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
