//! Callers that wait for a job to end, in shards.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use cuminbarrow_model::keys::JobKey;
use slab::Slab;
use tokio::sync::oneshot;

/// Shards, each under its own lock.
const SHARDS: usize = 16;

#[derive(Default)]
struct WaitShard {
    waiters: Slab<oneshot::Sender<()>>,
    by_job: BTreeMap<JobKey, Vec<usize>>,
}

/// Callers that wait for a job to end.
#[derive(Default)]
pub(crate) struct WaitTable {
    shards: [Mutex<WaitShard>; SHARDS],
}

impl WaitTable {
    fn with_shard<T, F>(&self, job: JobKey, act: F) -> T
    where
        F: FnOnce(&mut WaitShard) -> T,
    {
        let shard = &self.shards[job.0 as usize % SHARDS];
        act(&mut shard.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Is told when the job ends. Look at the state after this call, not before.
    pub(crate) fn wait(&self, job: JobKey) -> WaitTicket<'_> {
        let (sender, receiver) = oneshot::channel();
        let slot = self.with_shard(job, |shard| {
            let slot = shard.waiters.insert(sender);
            shard.by_job.entry(job).or_default().push(slot);
            slot
        });
        WaitTicket { table: self, job, slot, receiver }
    }

    /// Tells everyone who waits for the job.
    pub(crate) fn wake(&self, job: JobKey) {
        self.with_shard(job, |shard| {
            for slot in shard.by_job.remove(&job).unwrap_or_default() {
                if let Some(sender) = shard.waiters.try_remove(slot) {
                    let _ = sender.send(());
                }
            }
        });
    }
}

/// One caller's wait; it ends when dropped.
pub(crate) struct WaitTicket<'a> {
    table: &'a WaitTable,
    job: JobKey,
    slot: usize,
    receiver: oneshot::Receiver<()>,
}

impl WaitTicket<'_> {
    /// Returns once the job ended.
    pub(crate) async fn ended(&mut self) {
        let _ = (&mut self.receiver).await;
    }
}

impl Drop for WaitTicket<'_> {
    fn drop(&mut self) {
        let (job, slot) = (self.job, self.slot);
        self.table.with_shard(job, |shard| {
            let Some(slots) = shard.by_job.get_mut(&job) else { return };
            let before = slots.len();
            slots.retain(|other| *other != slot);
            if slots.len() < before {
                shard.waiters.try_remove(slot);
            }
            if slots.is_empty() {
                shard.by_job.remove(&job);
            }
        });
    }
}
