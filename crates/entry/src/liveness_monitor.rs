//! Failure detection by the planner: finds entries that don't answer pings, and workers whose entry
//! is no longer registered.

use std::collections::BTreeMap;

use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::worker_state::WorkerStatus;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::PeerRequest;
use tokio::time::Instant;

use crate::entry_core::SharedCore;
use crate::peer_server;

/// Tracks since when entries have been silent and workers orphaned.
pub(crate) struct LivenessMonitor {
    pub(crate) last_checked: Instant,
    /// By instance, when a ping first failed.
    silent_entries: BTreeMap<u64, Instant>,
    /// By worker, its session and since when its entry has not been registered.
    orphaned_workers: BTreeMap<WorkerKey, (u32, Instant)>,
}

impl Default for LivenessMonitor {
    fn default() -> Self {
        Self {
            last_checked: Instant::now(),
            silent_entries: BTreeMap::new(),
            orphaned_workers: BTreeMap::new(),
        }
    }
}

impl LivenessMonitor {
    /// Returns records for the entries that have been silent, and the workers that have been
    /// orphaned, for the session timeout.
    pub(crate) async fn check(&mut self, core: &SharedCore) -> Vec<Record> {
        let mut records = self.check_entries(core).await;
        records.extend(self.check_workers(core));
        records
    }

    /// Pings the other entries; returns records that remove those silent for the session timeout.
    async fn check_entries(&mut self, core: &SharedCore) -> Vec<Record> {
        let others: Vec<_> = {
            let state = core.tail.state();
            let others = state.entries.iter().filter(|(instance, _)| **instance != core.instance);
            others.map(|(instance, entry)| (*instance, entry.address)).collect()
        };
        self.silent_entries.retain(|instance, _| others.iter().any(|(other, _)| other == instance));
        let mut records = Vec::new();
        for (instance, address) in others {
            if peer_server::call_peer(&core.dialer, address, PeerRequest::Ping).await.is_ok() {
                self.silent_entries.remove(&instance);
                continue;
            }
            let since = *self.silent_entries.entry(instance).or_insert_with(Instant::now);
            if since.elapsed() >= core.session_timeout() {
                log::warn!("entry {instance} at {address} is lost: no answer to pings");
                records.push(Record::EntryLeft { instance });
            }
        }
        records
    }

    /// Returns records for workers whose entry has not been registered for the session timeout.
    /// Time while the log is unavailable does not count, because agents can't register at another
    /// entry then.
    fn check_workers(&mut self, core: &SharedCore) -> Vec<Record> {
        if !core.tail.is_current() {
            self.orphaned_workers.clear();
            return Vec::new();
        }
        let state = core.tail.state();
        let mut orphaned_workers = BTreeMap::new();
        let mut records = Vec::new();
        for (key, worker) in state.workers() {
            let is_orphaned = worker.is_registered()
                && worker.status != WorkerStatus::Lost
                && !state.entries.contains_key(&worker.entry);
            if !is_orphaned {
                continue;
            }
            let known =
                self.orphaned_workers.get(&key).filter(|(session, _)| *session == worker.session);
            let since = known.map(|(_, since)| *since).unwrap_or_else(Instant::now);
            orphaned_workers.insert(key, (worker.session, since));
            if since.elapsed() >= core.session_timeout() {
                records.push(Record::WorkerLost {
                    worker: key,
                    incarnation: worker.incarnation,
                    session: worker.session,
                });
            }
        }
        self.orphaned_workers = orphaned_workers;
        records
    }
}
