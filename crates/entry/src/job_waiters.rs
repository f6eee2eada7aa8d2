//! Requests that wait for a job to end, sharded by job to reduce lock contention.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use cuminbarrow_model::keys::JobKey;
use slab::Slab;
use tokio::sync::oneshot;

/// Number of shards, each with its own lock.
const SHARD_COUNT: usize = 16;

#[derive(Default)]
struct WaiterShard {
    waiters: Slab<oneshot::Sender<()>>,
    by_job: BTreeMap<JobKey, Vec<usize>>,
}

/// Requests that wait for a job to end.
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

    /// Registers a waiter for the end of the job. Check the job's state after this call, not
    /// before, or an end in between is missed.
    pub(crate) fn subscribe(&self, job: JobKey) -> JobWaiter<'_> {
        let (sender, receiver) = oneshot::channel();
        let waiter_id = self.with_shard(job, |shard| {
            let waiter_id = shard.waiters.insert(sender);
            shard.by_job.entry(job).or_default().push(waiter_id);
            waiter_id
        });
        JobWaiter { registry: self, job, waiter_id, receiver }
    }

    /// Wakes all waiters of the job.
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

/// Registration of one waiter; removed on drop.
pub(crate) struct JobWaiter<'a> {
    registry: &'a JobWaiters,
    job: JobKey,
    waiter_id: usize,
    receiver: oneshot::Receiver<()>,
}

impl JobWaiter<'_> {
    /// Waits until the job has ended.
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
