//! Sessions of the agents connected to this entry, sharded by worker to reduce lock contention.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::EntryMessage;
use tokio::sync::mpsc;

/// Number of shards, each with its own lock.
const SHARD_COUNT: usize = 16;

struct Session {
    id: u64,
    queue: mpsc::Sender<EntryMessage>,
}

/// Message queues of the agents connected to this entry.
#[derive(Default)]
pub(crate) struct SessionTable {
    shards: [Mutex<BTreeMap<WorkerKey, Session>>; SHARD_COUNT],
}

impl SessionTable {
    fn with_shard<T, F>(&self, worker: WorkerKey, action: F) -> T
    where
        F: FnOnce(&mut BTreeMap<WorkerKey, Session>) -> T,
    {
        let shard = &self.shards[usize::from(worker.0) % SHARD_COUNT];
        action(&mut shard.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a session; it replaces an earlier one of the same worker.
    pub(crate) fn open(&self, worker: WorkerKey, id: u64, queue: mpsc::Sender<EntryMessage>) {
        self.with_shard(worker, |shard| shard.insert(worker, Session { id, queue }));
    }

    /// Removes a session, unless another one has replaced it.
    pub(crate) fn close(&self, worker: WorkerKey, id: u64) {
        self.with_shard(worker, |shard| {
            if shard.get(&worker).is_some_and(|session| session.id == id) {
                shard.remove(&worker);
            }
        });
    }

    /// Whether the worker has a session here.
    pub(crate) fn contains(&self, worker: WorkerKey) -> bool {
        self.with_shard(worker, |shard| shard.contains_key(&worker))
    }

    /// Queues a message for the worker's agent. If the queue is full, the session is closed; the
    /// agent reconnects and gets all its assignments again.
    pub(crate) fn send(&self, worker: WorkerKey, message: EntryMessage) {
        self.with_shard(worker, |shard| {
            let Some(session) = shard.get(&worker) else { return };
            if session.queue.try_send(message).is_err() {
                log::warn!("closing the session of worker {worker}: its message queue is full");
                shard.remove(&worker);
            }
        });
    }

    /// Workers with a session here.
    pub(crate) fn workers(&self) -> Vec<WorkerKey> {
        let mut workers = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            workers.extend(shard.keys().copied());
        }
        workers
    }
}
