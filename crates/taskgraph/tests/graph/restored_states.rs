//! A state restored from a snapshot equals the one built from the log, and late copies of batches
//! change neither.

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::codec;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::ProcessRole;
use cuminbarrow_taskgraph::record::WorkerTicket;
use cuminbarrow_taskgraph::refusal::GraphRefusal;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::worker::StopCause;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker::WorkerStatus;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::graph_builder::terms;
use crate::graph_builder::worker_spec;

fn restored(state: &GraphState) -> GraphState {
    codec::decode(&codec::encode(state).unwrap()).unwrap()
}

/// A history that leaves data in each part of the state.
fn history_with_all_data() -> GraphBuilder {
    let mut graph = GraphBuilder::new(2, 3);
    graph.guarantees.insert("team".into(), 16);
    let announced = GraphRecord::ProcessUp {
        incarnation: 1,
        role: ProcessRole::Entry,
        instance: "entry".into(),
        region: "region".into(),
        data_centre: "dc".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
    };
    graph.apply(announced).unwrap();
    let ended = graph.submit(1, 1, vec![tasks(4, 1)]);
    let running = graph.submit(2, 1, vec![gang(3, 4), tasks(2, 1)]);
    let advised = graph.submit_advised(3, 1, vec![tasks(2, 1)]);
    graph.plan();
    graph.end_all(ended, EndKind::Done);
    let step = StepKey { job: advised, occurrence: 0, step: 0 };
    let worker = WorkerKey(0);
    let tickets = vec![WorkerTicket { worker, text: "ticket".into() }];
    let until_ms = graph.now_ms + 5_000;
    let advice =
        GraphRecord::StepAdvised { epoch: 1, step, asked: vec![worker], tickets, until_ms };
    graph.apply(advice).unwrap();
    graph.plan();
    let runs = graph.runs_of(running);
    let (run, held_by) = runs[0];
    let saved = vec![(run, "checkpoint".into())];
    graph.apply(GraphRecord::CheckpointsSaved { worker: held_by, saved }).unwrap();
    let slow = GraphRecord::WorkerSpeedReported {
        worker: held_by,
        is_slow: true,
        progress: vec![(run, 3)],
    };
    graph.apply(slow).unwrap();
    let runs = vec![run];
    graph.apply(GraphRecord::RunsStopped { epoch: 1, cause: StopCause::Slow, runs }).unwrap();
    let until_ms = graph.now_ms + 9_000;
    let drained = WorkerKey(4);
    graph.apply(GraphRecord::WorkerDraining { worker: drained, until_ms }).unwrap();
    graph.apply(GraphRecord::WorkerSuspected { epoch: 1, worker: held_by, agent: 7 }).unwrap();
    graph.apply(GraphRecord::SnapshotTaken { offset: 3 }).unwrap();
    let unhealthy = GraphRecord::HealthChanged { worker: drained, is_healthy: false };
    graph.apply(unhealthy).unwrap();
    graph.submit_at("host/queue/", 3, 5, terms(1));
    graph
}

/// Guards against a snapshot that omits a run, its resources, its worker, its stop cause or a
/// suspicion.
#[test]
fn restored_state_equals_the_state_built_from_the_log() {
    let graph = history_with_all_data();
    let state = &graph.state;
    let held: Vec<_> = state.workers.values().flat_map(|worker| worker.runs.values()).collect();
    assert!(
        held.iter().any(|run| run.stop_cause.is_some())
            && held.iter().any(|run| run.stop_cause.is_none())
    );
    let is_suspected = |status: &WorkerStatus| matches!(status, WorkerStatus::Suspected { since_offset } if *since_offset > 0);
    assert!(state.workers.values().any(|worker| is_suspected(&worker.status)));
    assert_eq!(&restored(state), state);
}

/// Guards against a restored replica that decides differently from one that applied the whole log.
#[test]
fn restored_state_decides_like_the_state_built_from_the_log() {
    let mut whole = history_with_all_data();
    let mut resumed = history_with_all_data();
    resumed.state = restored(&resumed.state);
    for graph in [&mut whole, &mut resumed] {
        graph.obey_stops();
        graph.now_ms += 700;
        let spec = worker_spec("r0w0", "r0");
        graph.apply(GraphRecord::WorkerRegistered { agent: 9, spec }).unwrap();
        graph.submit(4, 0, vec![gang(2, 8)]);
        graph.plan_across_stops();
    }
    assert_eq!(resumed.state, whole.state);
    assert_eq!(resumed.runs(), whole.runs());
}

/// Guards against a copy of a batch that arrives after newer batches and reverts what they decided.
#[test]
fn late_copy_of_a_batch_changes_nothing_with_or_without_a_restore() {
    let mut graph = history_with_all_data();
    let worker = WorkerKey(0);
    let spec = graph.state.workers[&worker].spec.clone();
    let records = vec![GraphRecord::WorkerRegistered { agent: 7, spec }];
    let early = Batch { writer: 2, sequence: 1, at_ms: graph.now_ms, records };
    assert!(graph.state.apply(graph.state.offset, &early).remove(0).is_ok());
    graph.apply(GraphRecord::WorkerSuspected { epoch: 1, worker, agent: 7 }).unwrap();
    let newer = Batch { writer: 2, sequence: 2, at_ms: graph.now_ms, records: Vec::new() };
    graph.state.apply(graph.state.offset, &newer);
    for mut state in [graph.state.clone(), restored(&graph.state)] {
        let report = state.apply(state.offset, &early);
        assert_eq!(report, [Err(GraphRefusal::Duplicate)]);
        state.offset -= 1;
        assert_eq!(state, graph.state, "the copy changed the state");
    }
}

/// Guards against an update that loses the state, since snapshots of the previous release end before the
/// fields that were added since.
#[test]
fn snapshot_of_the_previous_release_is_read() {
    let mut state = history_with_all_data().state;
    let bytes = codec::encode(&state).unwrap();
    let added = [
        codec::encode(&state.evacuations).unwrap(),
        codec::encode(&state.estimate_errors).unwrap(),
        codec::encode(&state.preemptions).unwrap(),
        codec::encode(&state.speed_profiles).unwrap(),
        codec::encode(&state.worker_health).unwrap(),
        codec::encode(&state.queues).unwrap(),
        codec::encode(&state.spec_budget).unwrap(),
    ];
    // Each encoding begins with a byte for the format version.
    let added_bytes: usize = added.iter().map(|field| field.len() - 1).sum();
    let earlier = &bytes[..bytes.len() - added_bytes];
    let added_last = added[5..].iter().map(|field| field.len() - 1).sum::<usize>();
    let without_queues = &bytes[..bytes.len() - added_last];
    state.queues = Default::default();
    state.spec_budget = Default::default();
    assert_eq!(codec::decode::<GraphState>(without_queues).unwrap(), state);
    state.worker_health = Default::default();
    let unchecked = &without_queues[..without_queues.len() - (added[4].len() - 1)];
    assert_eq!(codec::decode::<GraphState>(unchecked).unwrap(), state);
    state.evacuations = Default::default();
    state.estimate_errors = Default::default();
    state.preemptions = Default::default();
    state.speed_profiles = Default::default();
    assert_eq!(codec::decode::<GraphState>(earlier).unwrap(), state);
    let cut = &earlier[..earlier.len() - 1];
    assert!(codec::decode::<GraphState>(cut).is_err(), "no other part of the state may be missing");
}
