//! Finds workers whose agents are not heard from, and gives up their runs once it is safe.
//!
//! First the suspicion goes to the log, which ends the agent's authority to extend leases; after a
//! whole lease length no lease can be left, and the worker is taken away. An agent that lives sees the
//! suspicion and registers anew, which takes it back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::lease_terms::LEASE_EXPIRY_MARGIN_MS;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker::WorkerStatus;

/// Time for which an agent must be missing from the list before its worker is suspected, in ms. An
/// agent that restarts is back within a second or two.
const MISSING_MS: u64 = 1_500;
/// Time for which an entry must be missing before nobody reads through it any more, in ms.
const MISSING_ENTRY_MS: u64 = 2_000;

/// What the planner remembers of agents that it misses.
#[derive(Clone, Debug, Default)]
pub struct WorkerWatch {
    missing: BTreeMap<WorkerKey, u64>,
    missing_entries: BTreeMap<u64, u64>,
    suspected: BTreeMap<(WorkerKey, u64), u64>,
}

impl WorkerWatch {
    /// Records that follow from the list of live agents at `now_ms` on the boot-time clock.
    pub fn look(
        &mut self,
        state: &GraphState,
        members: &BTreeSet<u64>,
        lease: LeaseTerms,
        now_ms: u64,
    ) -> Vec<GraphRecord> {
        let mut records = Vec::new();
        self.missing.retain(|worker, _| state.workers.contains_key(worker));
        for (worker, known) in &state.workers {
            if known.is_suspected() || members.contains(&known.agent) {
                self.missing.remove(worker);
                continue;
            }
            let since_ms = *self.missing.entry(*worker).or_insert(now_ms);
            if now_ms >= since_ms + MISSING_MS {
                records.push(GraphRecord::WorkerSuspected {
                    epoch: state.planner.epoch,
                    worker: *worker,
                    agent: known.agent,
                });
            }
        }
        records.extend(self.lapsed(state, lease, now_ms));
        records.extend(self.silent_entries(state, members, now_ms));
        records
    }

    /// Entries that are missing for long are no longer read through.
    fn silent_entries(
        &mut self,
        state: &GraphState,
        members: &BTreeSet<u64>,
        now_ms: u64,
    ) -> Vec<GraphRecord> {
        self.missing_entries.retain(|incarnation, _| state.processes.contains_key(incarnation));
        let mut records = Vec::new();
        for incarnation in state.processes.keys() {
            if members.contains(incarnation) {
                self.missing_entries.remove(incarnation);
                continue;
            }
            let since_ms = *self.missing_entries.entry(*incarnation).or_insert(now_ms);
            if now_ms >= since_ms + MISSING_ENTRY_MS {
                records.push(GraphRecord::ProcessDown { incarnation: *incarnation });
            }
        }
        records
    }

    /// Workers that were suspected long enough for every lease to be over. The time counts from
    /// when this process saw the suspicion, which is after the log had it.
    fn lapsed(&mut self, state: &GraphState, lease: LeaseTerms, now_ms: u64) -> Vec<GraphRecord> {
        let mut records = Vec::new();
        let mut still = BTreeMap::new();
        for (worker, known) in &state.workers {
            let WorkerStatus::Suspected { since_offset } = known.status else { continue };
            let key = (*worker, since_offset);
            let seen_ms = self.suspected.get(&key).copied().unwrap_or(now_ms);
            still.insert(key, seen_ms);
            if lease.has_lapsed(seen_ms + LEASE_EXPIRY_MARGIN_MS, now_ms) {
                records.push(GraphRecord::WorkerRemoved {
                    worker: *worker,
                    cause: RemovalCause::Lapsed,
                    suspicion_offset: since_offset,
                });
            }
        }
        self.suspected = still;
        records
    }

    /// Forgets since when agents are missing, after a time in which the list could not be trusted.
    pub fn forget_missing(&mut self) {
        self.missing.clear();
        self.missing_entries.clear();
    }
}
