//! The planner's watch over the other entries and over workers whose entry is gone.

use std::collections::BTreeMap;

use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::worker_state::WorkerStatus;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::PeerRequest;
use tokio::time::Instant;

use crate::entry_core::SharedCore;
use crate::peer_server;

/// Entries that do not answer, and workers whose entry is gone.
pub(crate) struct MemberWatch {
    pub(crate) looked: Instant,
    silent: BTreeMap<u64, Instant>,
    orphans: BTreeMap<WorkerKey, (u32, Instant)>,
}

impl Default for MemberWatch {
    fn default() -> Self {
        Self { looked: Instant::now(), silent: BTreeMap::new(), orphans: BTreeMap::new() }
    }
}

impl MemberWatch {
    /// Records of what is lost by now.
    pub(crate) async fn look(&mut self, core: &SharedCore) -> Vec<Record> {
        let mut records = self.look_at_entries(core).await;
        records.extend(self.look_at_workers(core));
        records
    }

    async fn look_at_entries(&mut self, core: &SharedCore) -> Vec<Record> {
        let others: Vec<_> = {
            let state = core.tail.state();
            let others = state.entries.iter().filter(|(instance, _)| **instance != core.instance);
            others.map(|(instance, entry)| (*instance, entry.address)).collect()
        };
        self.silent.retain(|instance, _| others.iter().any(|(other, _)| other == instance));
        let mut records = Vec::new();
        for (instance, address) in others {
            if peer_server::ask(&core.dialer, address, PeerRequest::Ping).await.is_ok() {
                self.silent.remove(&instance);
                continue;
            }
            let since = *self.silent.entry(instance).or_insert_with(Instant::now);
            if since.elapsed() >= core.session_timeout() {
                log::warn!("entry {instance} at {address} is lost: no answer to pings");
                records.push(Record::EntryLeft { instance });
            }
        }
        records
    }

    /// Workers whose entry is gone. An outage of the log does not count against them, since
    /// nobody can join another entry in it.
    fn look_at_workers(&mut self, core: &SharedCore) -> Vec<Record> {
        if !core.tail.is_current() {
            self.orphans.clear();
            return Vec::new();
        }
        let state = core.tail.state();
        let mut orphans = BTreeMap::new();
        let mut records = Vec::new();
        for (key, worker) in state.workers() {
            let is_orphan = worker.is_registered()
                && worker.status != WorkerStatus::Lost
                && !state.entries.contains_key(&worker.entry);
            if !is_orphan {
                continue;
            }
            let known = self.orphans.get(&key).filter(|(session, _)| *session == worker.session);
            let since = known.map(|(_, since)| *since).unwrap_or_else(Instant::now);
            orphans.insert(key, (worker.session, since));
            if since.elapsed() >= core.session_timeout() {
                records.push(Record::WorkerLost {
                    worker: key,
                    incarnation: worker.incarnation,
                    session: worker.session,
                });
            }
        }
        self.orphans = orphans;
        records
    }
}
