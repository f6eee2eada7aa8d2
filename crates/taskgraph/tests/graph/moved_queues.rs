//! Queues whose service changes while they have jobs.

use cuminbarrow_ledger::codec;
use cuminbarrow_taskgraph::graph_state::GraphOutcome;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::queue_table::QueueVersion;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::TaskPlacement;
use cuminbarrow_taskgraph::refusal::GraphRefusal;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::tasks;
use crate::graph_builder::terms;
use crate::graph_builder::worker_spec;

const ADDRESS: &str = "host/queue/";
const OLD: &str = "service";
const NEW: &str = "service-2";

/// One worker of the old service and one of the new one.
fn two_services() -> (GraphBuilder, WorkerKey, WorkerKey) {
    let mut graph = GraphBuilder::new(1, 1);
    let mut spec = worker_spec("new", "r1");
    spec.service = NEW.into();
    graph.apply(GraphRecord::WorkerRegistered { agent: 7, spec }).unwrap();
    let of = |service: &str| {
        let mut workers = graph.state.workers.iter();
        workers.find(|(_, worker)| worker.spec.service == service).map(|(key, _)| *key).unwrap()
    };
    let (old, new) = (of(OLD), of(NEW));
    (graph, old, new)
}

fn terms_of(service: &str) -> JobTerms {
    JobTerms { service: service.into(), ..terms(1) }
}

fn change(graph: &mut GraphBuilder, version: u64, service: &str) -> GraphOutcome {
    let latest = QueueVersion { version, name: "queue".into(), service: service.into() };
    graph.apply(GraphRecord::QueueChanged { address: ADDRESS.into(), latest })
}

fn workers_of(graph: &GraphBuilder, job: JobId) -> Vec<WorkerKey> {
    graph.runs_of(job).into_iter().map(|(_, worker)| worker).collect()
}

/// Guards against a job that waits for a worker of the service that its queue had before.
#[test]
fn waiting_job_is_placed_on_the_new_service_and_a_running_one_stays() {
    let (mut graph, old, new) = two_services();
    let running = graph.submit_at(ADDRESS, 1, 1, terms_of(OLD));
    let waiting = graph.submit_at(ADDRESS, 1, 2, terms_of(OLD));
    graph.plan();
    assert_eq!((workers_of(&graph, running), workers_of(&graph, waiting)), (vec![old], vec![]));
    change(&mut graph, 4, NEW).unwrap();
    graph.plan();
    assert_eq!((workers_of(&graph, running), workers_of(&graph, waiting)), (vec![old], vec![new]));
    graph.end_all(running, EndKind::Done);
    graph.end_all(waiting, EndKind::Done);
    assert!(graph.state.active.is_empty());
}

/// Guards against a step that becomes due after the move and is placed on the old service.
#[test]
fn later_step_is_placed_on_the_new_service() {
    let (mut graph, old, new) = two_services();
    let second = StepSpec { depends_on: vec![0], ..tasks(1, 1) };
    let spec = JobSpec { steps: vec![tasks(1, 1), second], ..JobSpec::default() };
    let job = JobId(1);
    graph.submit_spec_at(ADDRESS, 1, job.0, spec, terms_of(OLD)).unwrap();
    graph.plan();
    assert_eq!(workers_of(&graph, job), [old]);
    change(&mut graph, 2, NEW).unwrap();
    graph.end_all(job, EndKind::Done);
    graph.plan();
    assert_eq!(workers_of(&graph, job), [new]);
}

/// Guards against a placement on the old service that reaches the log after the move.
#[test]
fn placement_on_the_old_service_is_refused_after_the_move() {
    let (mut graph, worker, _) = two_services();
    let job = graph.submit_at(ADDRESS, 1, 1, terms_of(OLD));
    change(&mut graph, 2, NEW).unwrap();
    let step = StepKey { job, occurrence: 0, step: 0 };
    let tasks = vec![TaskPlacement { index: 0, run: 1, worker }];
    let outcome = graph.apply(GraphRecord::RunsPlaced { epoch: 1, step, tasks });
    assert_eq!(outcome, Err(GraphRefusal::WorkerUnfit { worker, step }));
}

/// Guards against an entry with an older configuration that moves a queue back, and against versions that
/// were skipped.
#[test]
fn latest_version_decides_in_whatever_order_versions_are_recorded() {
    let (mut graph, old, new) = two_services();
    let job = graph.submit_at(ADDRESS, 1, 1, terms_of(OLD));
    change(&mut graph, 9, NEW).unwrap();
    for version in [1, 5, 9] {
        let refusal = GraphRefusal::StaleQueue { address: ADDRESS.into(), version, current: 9 };
        assert_eq!(change(&mut graph, version, OLD), Err(refusal));
    }
    let late = graph.submit_at(ADDRESS, 5, 2, terms_of(OLD));
    graph.plan();
    assert_eq!(workers_of(&graph, job), [new]);
    assert_eq!(graph.state.jobs[&late].terms.service, NEW, "its entry had an older version");
    graph.submit_at(ADDRESS, 12, 3, terms_of(OLD));
    assert_eq!(graph.state.jobs[&late].terms.service, OLD, "a submission shows a later version");
    graph.plan();
    assert_eq!(workers_of(&graph, late), [old]);
}

/// Guards against a change of one queue that moves the jobs of another one with the same name.
#[test]
fn other_queues_are_not_moved() {
    let (mut graph, ..) = two_services();
    graph.submit_at(ADDRESS, 1, 1, terms_of(OLD));
    let other = graph.submit_at("host/other/", 1, 2, terms_of(OLD));
    change(&mut graph, 2, NEW).unwrap();
    assert_eq!(graph.state.jobs[&other].terms.service, OLD);
    let unknown = GraphRecord::QueueChanged {
        address: "host/none/".into(),
        latest: QueueVersion { version: 3, name: "queue".into(), service: NEW.into() },
    };
    let refusal = GraphRefusal::UnknownQueue { address: "host/none/".into() };
    assert_eq!(graph.apply(unknown), Err(refusal));
}

/// Guards against a replica that forgets the move when it is restored, and against queues that are kept
/// for ever.
#[test]
fn moved_queue_is_restored_and_removed_with_its_last_job() {
    let (mut graph, ..) = two_services();
    let job = graph.submit_at(ADDRESS, 1, 1, terms_of(OLD));
    change(&mut graph, 2, NEW).unwrap();
    let restored: GraphState = codec::decode(&codec::encode(&graph.state).unwrap()).unwrap();
    assert_eq!(restored, graph.state);
    graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    assert!(graph.state.queues.get(ADDRESS).is_some(), "callers may still ask for the job");
    graph.renew_for(200_000);
    assert!(graph.state.jobs.is_empty() && graph.state.queues.is_empty());
}

/// Guards against a repeated submission at another address that changes the queue of the job.
#[test]
fn job_keeps_the_address_of_its_first_submission() {
    let (mut graph, ..) = two_services();
    let job = graph.submit_at(ADDRESS, 1, 1, terms_of(OLD));
    graph.submit_at("host/other/", 2, 1, terms_of(NEW));
    let (address, _) = graph.state.queues.of_job(job).unwrap();
    assert_eq!(address, ADDRESS);
    assert_eq!(graph.state.jobs[&job].terms.service, OLD);
}
