//! Callers that wait for a job to end, in shards.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use cuminbarrow_model::keys::JobKey;
use slab::Slab;
use tokio::sync::oneshot;

/// Shards, each under its own lock.
const SHARD_COUNT: usize = 16;

#[derive(Default)]
struct WaiterShard {
    waiters: Slab<oneshot::Sender<()>>,
    by_job: BTreeMap<JobKey, Vec<usize>>,
}

/// Callers that wait for a job to end.
#[derive(Default)]
pub(crate) struct JobWaiters {
    shards: [Mutex<WaiterShard>; SHARD_COUNT],
}

impl JobWaiters {
    fn with_shard<T, F>(&self, job: JobKey, action: F) -> T
    where
        F: FnOnce(&mut WaiterShard) -> T,
    {
        let shard = &self.shards[job.0 as usize % SHARD_COUNT];
        action(&mut shard.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Is told when the job ends. Look at the state after this call, not before.
    pub(crate) fn subscribe(&self, job: JobKey) -> JobWaiter<'_> {
        let (sender, receiver) = oneshot::channel();
        let waiter_id = self.with_shard(job, |shard| {
            let waiter_id = shard.waiters.insert(sender);
            shard.by_job.entry(job).or_default().push(waiter_id);
            waiter_id
        });
        JobWaiter { registry: self, job, waiter_id, receiver }
    }

    /// Tells everyone who waits for the job.
    pub(crate) fn notify(&self, job: JobKey) {
        self.with_shard(job, |shard| {
            for waiter_id in shard.by_job.remove(&job).unwrap_or_default() {
                if let Some(sender) = shard.waiters.try_remove(waiter_id) {
                    let _ = sender.send(());
                }
            }
        });
    }
}

/// One caller's wait; it ends when dropped.
pub(crate) struct JobWaiter<'a> {
    registry: &'a JobWaiters,
    job: JobKey,
    waiter_id: usize,
    receiver: oneshot::Receiver<()>,
}

impl JobWaiter<'_> {
    /// Returns once the job ended.
    pub(crate) async fn ended(&mut self) {
        let _ = (&mut self.receiver).await;
    }
}

impl Drop for JobWaiter<'_> {
    fn drop(&mut self) {
        let (job, waiter_id) = (self.job, self.waiter_id);
        self.registry.with_shard(job, |shard| {
            let Some(waiter_ids) = shard.by_job.get_mut(&job) else { return };
            let count_before = waiter_ids.len();
            waiter_ids.retain(|id| *id != waiter_id);
            if waiter_ids.len() < count_before {
                shard.waiters.try_remove(waiter_id);
            }
            if waiter_ids.is_empty() {
                shard.by_job.remove(&job);
            }
        });
    }
}
