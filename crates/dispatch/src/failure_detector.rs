//! Detects workers whose agents send no heartbeats, and removes them once it is safe.
//!
//! First a suspicion is written to the log, which ends the agent's authority to extend leases. After a
//! whole lease duration every lease has expired, and the worker is removed. An agent that is alive sees
//! the suspicion and registers its worker again, which cancels the suspicion.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::lease_terms::LEASE_EXPIRY_MARGIN_MS;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker::WorkerStatus;

/// Time for which an agent must be missing from the group of live processes before its worker is
/// suspected, in ms. A restarted agent rejoins within a second or two.
const AGENT_MISSING_TIMEOUT_MS: u64 = 1_500;
/// Time for which an entry must be missing before other processes stop reading through it, in ms.
const ENTRY_MISSING_TIMEOUT_MS: u64 = 2_000;

/// The group of live processes as it was at some time after the request for it.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    /// Incarnations of the members.
    pub members: BTreeSet<u64>,
    /// Offset of the state when the list was requested. The list says nothing about processes that were
    /// registered at this offset or later.
    pub requested_offset: u64,
}

impl MemberList {
    /// Whether the list shows that a process registered at `offset` is not a member.
    fn lacks(&self, incarnation: u64, offset: u64) -> bool {
        offset < self.requested_offset && !self.members.contains(&incarnation)
    }
}

/// Failure detector of the planner. Times are on the boot-time clock in ms.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    /// Workers whose agents are missing, by worker and fencing token, with the time since when. A
    /// registration is a sign of life and gets a new token, so the time starts anew with it.
    missing: BTreeMap<(WorkerKey, u64), u64>,
    /// Missing entries by incarnation, with the time since when.
    missing_entries: BTreeMap<u64, u64>,
    /// When each suspicion was first seen, by worker and offset of the suspicion.
    suspected: BTreeMap<(WorkerKey, u64), u64>,
}

impl FailureDetector {
    /// Returns the records to write, given the group of live processes as known at `now_ms`.
    pub fn check(
        &mut self,
        state: &GraphState,
        members: &MemberList,
        lease: LeaseTerms,
        now_ms: u64,
    ) -> Vec<GraphRecord> {
        let mut records = Vec::new();
        let mut still_missing = BTreeMap::new();
        for (worker, known) in &state.workers {
            // The fencing token is the offset after the registration.
            let registered_offset = known.fencing_token.saturating_sub(1);
            if known.is_suspected() || !members.lacks(known.agent, registered_offset) {
                continue;
            }
            let key = (*worker, known.fencing_token);
            let since_ms = self.missing.get(&key).copied().unwrap_or(now_ms);
            still_missing.insert(key, since_ms);
            if now_ms >= since_ms + AGENT_MISSING_TIMEOUT_MS {
                records.push(GraphRecord::WorkerSuspected {
                    epoch: state.planner.epoch,
                    worker: *worker,
                    agent: known.agent,
                });
            }
        }
        self.missing = still_missing;
        records.extend(self.expired_suspicions(state, lease, now_ms));
        records.extend(self.lost_entries(state, members, now_ms));
        records
    }

    /// Returns records that stop the use of entries which have been missing for too long.
    fn lost_entries(
        &mut self,
        state: &GraphState,
        members: &MemberList,
        now_ms: u64,
    ) -> Vec<GraphRecord> {
        self.missing_entries.retain(|incarnation, _| state.processes.contains_key(incarnation));
        let mut records = Vec::new();
        for (incarnation, process) in &state.processes {
            if !members.lacks(*incarnation, process.since_offset) {
                self.missing_entries.remove(incarnation);
                continue;
            }
            let since_ms = *self.missing_entries.entry(*incarnation).or_insert(now_ms);
            if now_ms >= since_ms + ENTRY_MISSING_TIMEOUT_MS {
                records.push(GraphRecord::ProcessDown { incarnation: *incarnation });
            }
        }
        records
    }

    /// Returns records that remove workers which have been suspected for long enough that every lease
    /// has expired. The time counts from when this process saw the suspicion, which is after the log
    /// had it.
    fn expired_suspicions(
        &mut self,
        state: &GraphState,
        lease: LeaseTerms,
        now_ms: u64,
    ) -> Vec<GraphRecord> {
        let mut records = Vec::new();
        let mut still_suspected = BTreeMap::new();
        for (worker, known) in &state.workers {
            let WorkerStatus::Suspected { since_offset } = known.status else { continue };
            let key = (*worker, since_offset);
            let seen_ms = self.suspected.get(&key).copied().unwrap_or(now_ms);
            still_suspected.insert(key, seen_ms);
            if lease.has_lapsed(seen_ms + LEASE_EXPIRY_MARGIN_MS, now_ms) {
                records.push(GraphRecord::WorkerRemoved {
                    worker: *worker,
                    cause: RemovalCause::Lapsed,
                    suspicion_offset: since_offset,
                });
            }
        }
        self.suspected = still_suspected;
        records
    }

    /// Clears the times since when members have been missing, after a period in which the group was
    /// unreliable.
    pub fn forget_missing(&mut self) {
        self.missing.clear();
        self.missing_entries.clear();
    }
}
