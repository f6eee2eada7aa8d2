//! A worker whose agent is missing is given up only after every lease that it may hold.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeSet;

use cuminbarrow_dispatch::worker_watch::WorkerWatch;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::codec;
use cuminbarrow_taskgraph::graph_state::GraphOutcome;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::lease_terms::LEASE_EXPIRY_MARGIN_MS;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker::WorkerSpec;

const TERMS: LeaseTerms = LeaseTerms { duration_ms: 6_000 };
/// Time from when a planner sees a suspicion to the loss, in ms.
const WAIT_MS: u64 = TERMS.duration_ms + LEASE_EXPIRY_MARGIN_MS;
const AGENT: u64 = 7;
const WORKER: WorkerKey = WorkerKey(0);

/// A log with one worker, and a planner in epoch 1.
struct History {
    state: GraphState,
    batches: u64,
}

impl History {
    fn new() -> Self {
        let mut history = Self { state: GraphState::default(), batches: 0 };
        history.apply(GraphRecord::PlannerClaimed { epoch: 1, instance: 1 }).unwrap();
        history.register();
        history
    }

    fn apply(&mut self, record: GraphRecord) -> GraphOutcome {
        self.batches += 1;
        let batch = Batch { writer: 1, sequence: self.batches, at_ms: 1, records: vec![record] };
        self.state.apply(self.state.offset, &batch).remove(0)
    }

    fn register(&mut self) {
        let spec = WorkerSpec { name: "worker".into(), ..WorkerSpec::default() };
        self.apply(GraphRecord::WorkerRegistered { agent: AGENT, spec }).unwrap();
    }

    /// Suspects the worker and gives the suspicion's offset.
    fn suspect(&mut self) -> u64 {
        let offset = self.state.offset;
        let record = GraphRecord::WorkerSuspected { epoch: 1, worker: WORKER, agent: AGENT };
        self.apply(record).unwrap();
        offset
    }

    /// What a planner that misses the agent writes at `now_ms`.
    fn look(&self, watch: &mut WorkerWatch, now_ms: u64) -> Vec<GraphRecord> {
        watch.look(&self.state, &BTreeSet::new(), TERMS, now_ms)
    }
}

fn gone(suspicion_offset: u64) -> Vec<GraphRecord> {
    vec![GraphRecord::WorkerRemoved {
        worker: WORKER,
        cause: RemovalCause::Lapsed,
        suspicion_offset,
    }]
}

#[test]
fn a_suspected_worker_is_given_up_after_a_whole_lease_and_not_before() {
    let mut history = History::new();
    let since = history.suspect();
    let mut watch = WorkerWatch::default();
    for now_ms in [50_000, 50_500, 50_000 + WAIT_MS - 1] {
        assert_eq!(history.look(&mut watch, now_ms), [], "at {now_ms}");
    }
    assert_eq!(history.look(&mut watch, 50_000 + WAIT_MS), gone(since));
}

/// Guards against a loss that counts from a suspicion which the agent took back.
#[test]
fn a_suspicion_that_was_taken_back_and_written_again_begins_a_new_wait() {
    let mut history = History::new();
    let mut watch = WorkerWatch::default();
    let first = history.suspect();
    assert_eq!(history.look(&mut watch, 50_000), []);
    history.register();
    let second = history.suspect();
    assert_eq!(history.look(&mut watch, 50_000 + WAIT_MS), [], "no look saw the time between");
    assert_eq!(history.look(&mut watch, 50_000 + 2 * WAIT_MS - 1), []);
    assert_eq!(history.look(&mut watch, 50_000 + 2 * WAIT_MS), gone(second));
    // The loss that follows from the first suspicion may be on its way all the time.
    let late = gone(first).remove(0);
    assert!(history.apply(late).is_err(), "a loss of another suspicion counts");
    assert!(history.state.workers.contains_key(&WORKER));
}

/// Guards against a planner that takes the time before it for time that it waited.
#[test]
fn a_planner_that_takes_over_or_begins_with_a_snapshot_waits_anew() {
    let mut history = History::new();
    let since = history.suspect();
    let mut before = WorkerWatch::default();
    assert_eq!(history.look(&mut before, 50_000), []);
    let snapshot = codec::encode(&history.state).unwrap();
    history.state = codec::decode(&snapshot).unwrap();
    // Its machine has been up for longer.
    let mut next = WorkerWatch::default();
    assert_eq!(history.look(&mut next, 900_000), []);
    assert_eq!(history.look(&mut next, 900_000 + WAIT_MS - 1), []);
    assert_eq!(history.look(&mut next, 900_000 + WAIT_MS), gone(since));
}

/// Guards against a loss from before a suspension that ends the worker of an agent that is back.
#[test]
fn a_loss_that_a_suspended_planner_writes_late_harms_no_agent_that_is_back() {
    let mut history = History::new();
    let since = history.suspect();
    let mut watch = WorkerWatch::default();
    assert_eq!(history.look(&mut watch, 50_000), []);
    let late = history.look(&mut watch, 50_000 + WAIT_MS).remove(0);
    assert_eq!(vec![late.clone()], gone(since));
    history.register();
    assert!(history.apply(late.clone()).is_err());
    let second = history.suspect();
    assert_ne!(second, since);
    assert!(history.apply(late).is_err());
    assert!(history.state.workers.contains_key(&WORKER));
}

/// Guards against times of missing that outlast a pause in which the list could not be trusted.
#[test]
fn what_was_missed_before_a_pause_does_not_count_after_it() {
    let history = History::new();
    let mut watch = WorkerWatch::default();
    assert_eq!(history.look(&mut watch, 50_000), []);
    watch.forget_missing();
    assert_eq!(history.look(&mut watch, 60_000), []);
    let suspected = history.look(&mut watch, 61_500);
    let record = GraphRecord::WorkerSuspected { epoch: 1, worker: WORKER, agent: AGENT };
    assert_eq!(suspected, [record]);
}
