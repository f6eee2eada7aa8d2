//! Evacuated data centres: what is recorded, what is placed, and what waits.

use std::collections::BTreeSet;

use cuminbarrow_ledger::codec;
use cuminbarrow_taskgraph::evacuations::MAX_DATA_CENTRE_BYTES;
use cuminbarrow_taskgraph::evacuations::MAX_EVACUATED_DATA_CENTRES;
use cuminbarrow_taskgraph::graph_state::GraphEffect;
use cuminbarrow_taskgraph::graph_state::GraphOutcome;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::TaskPlacement;
use cuminbarrow_taskgraph::refusal::GraphRefusal;
use cuminbarrow_taskgraph::run_table::Order;
use cuminbarrow_taskgraph::run_table::RunTable;
use cuminbarrow_taskgraph::run_table::StartAnswer;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::worker::WorkerKey;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::graph_builder::worker_spec;

/// One rack of two workers in each of the data centres `dc-0`, `dc-1` and so on.
fn data_centres(count: u32) -> GraphBuilder {
    let mut graph = GraphBuilder::new(0, 0);
    for number in 0..count {
        for worker in 0..2 {
            let mut spec = worker_spec(&format!("d{number}w{worker}"), &format!("r{number}"));
            spec.data_centre = format_smolstr!("dc-{number}");
            graph.apply(GraphRecord::WorkerRegistered { agent: 7, spec }).unwrap();
        }
    }
    graph
}

fn evacuate(graph: &mut GraphBuilder, as_of: u64, names: &[&str]) -> GraphOutcome {
    let data_centres = names.iter().map(SmolStr::new).collect();
    graph.apply(GraphRecord::EvacuationsRead { as_of, data_centres })
}

/// Data centres in which a job has runs.
fn data_centres_of(graph: &GraphBuilder, job: JobId) -> BTreeSet<SmolStr> {
    let runs = graph.runs_of(job);
    runs.iter().map(|(_, on)| graph.state.workers[on].spec.data_centre.clone()).collect()
}

fn only(name: &str) -> BTreeSet<SmolStr> {
    BTreeSet::from([SmolStr::new(name)])
}

/// Places a single task of a job on a worker, as a planner does that does not know of the evacuation.
fn place(graph: &mut GraphBuilder, job: JobId, worker: u32) -> GraphOutcome {
    let step = StepKey { job, occurrence: 0, step: 0 };
    let tasks = vec![TaskPlacement { index: 0, run: 1, worker: WorkerKey(worker) }];
    graph.apply(GraphRecord::RunsPlaced { epoch: 1, step, tasks })
}

fn reasons(graph: &mut GraphBuilder) -> Vec<&'static str> {
    graph.plan().unplaced.iter().map(|step| step.reason).collect()
}

/// Guards against a planner that has not heard of the evacuation and goes on placing tasks there.
#[test]
fn placement_in_an_evacuated_data_centre_is_refused() {
    let mut graph = data_centres(2);
    evacuate(&mut graph, 3, &["dc-0"]).unwrap();
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    let worker = WorkerKey(1);
    assert_eq!(place(&mut graph, job, 1), Err(GraphRefusal::DataCentreEvacuated { worker }));
    assert_eq!(graph.runs(), []);
    assert_eq!(place(&mut graph, job, 2), Ok(GraphEffect::Done));
}

/// Guards against a gang that waits with some of its members, since one was placed there.
#[test]
fn gang_with_one_member_in_an_evacuated_data_centre_is_refused_as_a_whole() {
    let mut graph = data_centres(2);
    evacuate(&mut graph, 3, &["dc-0"]).unwrap();
    let job = graph.submit(1, 0, vec![gang(2, 1)]);
    let step = StepKey { job, occurrence: 0, step: 0 };
    let member = |index, worker| TaskPlacement { index, run: 1, worker: WorkerKey(worker) };
    let tasks = vec![member(0, 2), member(1, 0)];
    let placed = graph.apply(GraphRecord::RunsPlaced { epoch: 1, step, tasks });
    assert_eq!(placed, Err(GraphRefusal::DataCentreEvacuated { worker: WorkerKey(0) }));
    assert_eq!(graph.runs(), []);
    graph.plan();
    assert_eq!(data_centres_of(&graph, job), only("dc-1"));
}

/// Guards against members that wait alone for one that is held back, and against a gang that is placed
/// again with the rest of its members only.
#[test]
fn gang_whose_member_is_held_back_is_placed_elsewhere_as_a_whole() {
    let mut graph = data_centres(3);
    // The gang needs three of the workers.
    let job = graph.submit(1, 0, vec![gang(3, 8)]);
    graph.plan();
    evacuate(&mut graph, 3, &["dc-0"]).unwrap();
    let held_back: Vec<_> =
        graph.runs_of(job).into_iter().filter(|(_, on)| *on == WorkerKey(0)).collect();
    assert_eq!(held_back.len(), 1);
    for (run, worker) in held_back {
        graph.end(run, worker, EndKind::Stopped).unwrap();
    }
    let causes =
        graph.runs().into_iter().map(|(run, on)| graph.state.workers[&on].runs[&run].stop_cause);
    assert!(causes.into_iter().all(|cause| cause.is_some()), "a member waits alone");
    graph.obey_stops();
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 3);
    assert!(!data_centres_of(&graph, job).contains("dc-0"));
}

/// Guards against work that is stopped although it was only asked that nothing more is sent.
#[test]
fn runs_in_progress_continue_and_their_ends_count() {
    let mut graph = data_centres(1);
    let job = graph.submit(1, 1, vec![tasks(2, 1)]);
    let mut serving = tasks(1, 1);
    serving.long_running = true;
    let long_running = graph.submit(2, 1, vec![serving]);
    graph.plan();
    evacuate(&mut graph, 3, &["dc-0"]).unwrap();
    graph.now_ms += 5_000;
    graph.plan();
    let states = graph.state.workers.values().flat_map(|worker| worker.runs.values());
    assert!(states.into_iter().all(|held| held.stop_cause.is_none()));
    graph.end_all(job, EndKind::Done);
    assert!(!graph.state.jobs[&job].is_active());
    assert_eq!(graph.runs_of(long_running).len(), 1);
}

/// Guards against an older view that is recorded late and withdraws or restores an evacuation.
#[test]
fn older_view_changes_nothing() {
    let mut graph = data_centres(2);
    evacuate(&mut graph, 5, &["dc-0"]).unwrap();
    let stale = |as_of| Err(GraphRefusal::StaleEvacuations { as_of, current: 5 });
    assert_eq!(evacuate(&mut graph, 4, &[]), stale(4));
    assert_eq!(evacuate(&mut graph, 5, &["dc-1"]), stale(5));
    assert_eq!(graph.state.evacuations.data_centres, only("dc-0"));
    evacuate(&mut graph, 6, &[]).unwrap();
    assert!(evacuate(&mut graph, 5, &["dc-0"]).is_err());
    assert!(graph.state.evacuations.data_centres.is_empty());
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    assert_eq!(place(&mut graph, job, 0), Ok(GraphEffect::Done));
}

/// Guards against a state that grows without bound by what another writer puts into the topic.
#[test]
fn names_and_number_of_evacuated_data_centres_are_bounded() {
    let mut graph = data_centres(1);
    let many: BTreeSet<SmolStr> =
        (0..=MAX_EVACUATED_DATA_CENTRES).map(|number| format_smolstr!("dc-{number}")).collect();
    let long = "x".repeat(MAX_DATA_CENTRE_BYTES + 1);
    let invalid = [many, only(&long), only(""), only("a\nb")];
    for data_centres in invalid {
        let outcome = graph.apply(GraphRecord::EvacuationsRead { as_of: 2, data_centres });
        assert_eq!(outcome, Err(GraphRefusal::InvalidEvacuations));
    }
    assert_eq!(graph.state.evacuations, Default::default());
    evacuate(&mut graph, 1, &[&long[1..]]).unwrap();
}

#[test]
fn two_evacuated_data_centres_leave_the_third_one_to_all_jobs() {
    let mut graph = data_centres(3);
    evacuate(&mut graph, 3, &["dc-0", "dc-2"]).unwrap();
    let jobs =
        [(1, tasks(4, 2)), (2, gang(2, 4))].map(|(id, step)| graph.submit(id, 1, vec![step]));
    graph.plan();
    for job in jobs {
        assert_eq!(data_centres_of(&graph, job), only("dc-1"));
    }
    evacuate(&mut graph, 4, &["dc-0"]).unwrap();
    let job = graph.submit(3, 1, vec![gang(2, 8)]);
    graph.plan();
    assert_eq!(data_centres_of(&graph, job), only("dc-2"), "one of them is in use again");
}

#[test]
fn jobs_wait_while_all_data_centres_are_evacuated_and_begin_after_the_withdrawal() {
    let mut graph = data_centres(2);
    evacuate(&mut graph, 3, &["dc-0", "dc-1"]).unwrap();
    let job = graph.submit(1, 0, vec![gang(2, 1)]);
    let advised = graph.submit_advised(2, 0, vec![tasks(1, 1)]);
    let reason = "all data centres are evacuated";
    assert_eq!(reasons(&mut graph), [reason, reason]);
    assert_eq!(graph.runs(), []);
    evacuate(&mut graph, 4, &["dc-1"]).unwrap();
    let plan = graph.plan();
    assert_eq!(data_centres_of(&graph, job), only("dc-0"));
    assert_eq!(plan.advice_requests.len(), 1, "advice is asked for job {advised}");
    assert_eq!(plan.advice_requests[0].workers, [WorkerKey(0), WorkerKey(1)]);
}

/// Guards against a step that waits for a rack on which nothing is started.
#[test]
fn step_does_not_wait_for_a_preferred_rack_there() {
    let mut graph = data_centres(2);
    evacuate(&mut graph, 3, &["dc-0"]).unwrap();
    let step = StepSpec { preferred_rack: Some("r0".into()), ..tasks(2, 1) };
    let job = graph.submit(1, 1, vec![step]);
    let same_rack = StepSpec { same_rack: true, ..gang(2, 8) };
    graph.plan();
    assert_eq!(data_centres_of(&graph, job), only("dc-1"));
    // The other rack has no capacity for it at present, and it would fit on the evacuated one.
    let waiting = graph.submit(2, 1, vec![same_rack]);
    graph.plan();
    assert_eq!(graph.runs_of(waiting), []);
}

#[test]
fn step_whose_label_exists_only_there_waits_and_says_why() {
    let mut graph = data_centres(2);
    evacuate(&mut graph, 3, &["dc-0"]).unwrap();
    let step = |label: &str| StepSpec { required_label: Some(label.into()), ..tasks(1, 1) };
    let job = graph.submit(1, 1, vec![step("r0")]);
    assert_eq!(reasons(&mut graph), ["the fitting workers are in an evacuated data centre"]);
    evacuate(&mut graph, 4, &[]).unwrap();
    graph.submit(2, 1, vec![step("nowhere")]);
    assert_eq!(reasons(&mut graph), ["no fitting worker"]);
    assert_eq!(data_centres_of(&graph, job), only("dc-0"));
}

/// Guards against urgent work that waits on a full data centre because what it may preempt runs on the
/// evacuated one, and against a preemption there that is of no use.
#[test]
fn guarantee_is_held_on_the_remaining_workers() {
    let mut graph = data_centres(2);
    graph.guarantees.insert("team".into(), 16);
    let background = graph.submit(1, 2, vec![tasks(32, 1)]);
    graph.plan();
    assert_eq!(graph.runs_of(background).len(), 32);
    evacuate(&mut graph, 3, &["dc-0"]).unwrap();
    graph.now_ms += 100;
    let urgent = graph.submit(2, 0, vec![gang(2, 8)]);
    graph.plan();
    for (run, worker) in graph.runs_of(background) {
        let known = &graph.state.workers[&worker];
        let is_stopped = known.runs[&run].stop_cause.is_some();
        assert_eq!(is_stopped, known.spec.data_centre == "dc-1");
    }
    graph.obey_stops();
    graph.plan();
    assert_eq!(data_centres_of(&graph, urgent), only("dc-1"));
}

/// Guards against failing workers of an evacuated data centre that use up the number of workers which may
/// be quarantined.
#[test]
fn evacuated_workers_do_not_count_for_the_quarantine() {
    let mut graph = data_centres(3);
    for worker in [0, 1, 4] {
        for id in 0..2 {
            let job = graph.submit(u64::from(worker) * 10 + id + 1, 1, vec![tasks(1, 1)]);
            place(&mut graph, job, worker).unwrap();
            graph.end_all(job, EndKind::Failed);
            graph.apply(GraphRecord::JobCancelled { job }).unwrap();
        }
    }
    evacuate(&mut graph, 3, &["dc-0"]).unwrap();
    let job = graph.submit(100, 1, vec![tasks(24, 1)]);
    graph.plan();
    let used: BTreeSet<WorkerKey> = graph.runs_of(job).into_iter().map(|(_, on)| on).collect();
    assert_eq!(used, BTreeSet::from([2, 3, 5].map(WorkerKey)));
}

/// Guards against evacuations that a restored state lacks.
#[test]
fn snapshot_restores_evacuations() {
    let mut graph = data_centres(2);
    evacuate(&mut graph, 300, &["dc-0", "dc-1"]).unwrap();
    let bytes = codec::encode(&graph.state).unwrap();
    assert_eq!(codec::decode::<GraphState>(&bytes).unwrap(), graph.state);
}

/// Guards against a start that is repeated, since its first order was not answered.
#[test]
fn unanswered_start_is_stopped_and_not_repeated_while_starts_are_held_back() {
    let mut graph = data_centres(1);
    let job = graph.submit(1, 1, vec![tasks(1, 8)]);
    graph.plan();
    let (run, worker) = graph.runs_of(job)[0];
    let mut table = RunTable::default();
    table.sync(&graph.state.workers[&worker].runs);
    let poll = table.begin_poll();
    table.polled(poll, &[], &[]);
    // Whether the previous agent has started the run is unknown.
    assert_eq!(table.next_orders(), [Order::Start(run)]);
    table.start_answered(run, StartAnswer::Unknown);
    table.set_draining(true);
    assert_eq!(table.next_orders(), [Order::Stop(run)]);
    table.stop_answered(run, true);
    table.set_draining(false);
    assert_eq!(table.next_orders(), [], "it is started elsewhere once its end is in the log");
    let poll = table.begin_poll();
    let ends = table.polled(poll, &[], &[]);
    assert_eq!(ends.iter().map(|end| end.kind).collect::<Vec<_>>(), [EndKind::Stopped]);
}
