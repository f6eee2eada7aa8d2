//! Placement of steps that need the advice of an external service.

use cuminbarrow_taskgraph::advice_request::AdviceRequest;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::WorkerTicket;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;

fn step_of(job: JobId) -> StepKey {
    StepKey { job, occurrence: 0, step: 0 }
}

/// Applies the service's answer to a request: tickets for the `allowed` workers and refusals for
/// the others.
fn advise(graph: &mut GraphBuilder, request: &AdviceRequest, allowed: &[WorkerKey]) {
    let tickets = allowed
        .iter()
        .map(|worker| WorkerTicket { worker: *worker, text: format!("t{worker}").into() })
        .collect();
    let record = GraphRecord::StepAdvised {
        epoch: 1,
        step: request.step,
        asked: request.workers.clone(),
        tickets,
        until_ms: graph.now_ms + 3_000,
    };
    graph.apply(record).unwrap();
}

fn workers_of(graph: &GraphBuilder, job: JobId) -> Vec<WorkerKey> {
    let mut workers: Vec<WorkerKey> =
        graph.runs_of(job).into_iter().map(|(_, worker)| worker).collect();
    workers.sort_unstable();
    workers.dedup();
    workers
}

#[test]
fn advised_step_runs_only_on_allowed_workers() {
    let mut graph = GraphBuilder::new(2, 2);
    let job = graph.submit_advised(1, 1, vec![tasks(12, 1)]);
    let plan = graph.plan();
    assert_eq!(plan.records, []);
    let workers: Vec<WorkerKey> = (0..4).map(WorkerKey).collect();
    assert_eq!(plan.advice_requests, [AdviceRequest { step: step_of(job), workers }]);
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(1), WorkerKey(3)]);
    let plan = graph.plan();
    assert_eq!(graph.runs_of(job).len(), 12);
    assert_eq!(workers_of(&graph, job), [WorkerKey(1), WorkerKey(3)]);
    assert_eq!(plan.advice_requests, []);
    let ticket = graph.state.advice_for(step_of(job)).unwrap().ticket(WorkerKey(3));
    assert_eq!(ticket, "tw3");
}

#[test]
fn refused_workers_are_not_asked_about_again() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit_advised(1, 1, vec![gang(2, 4)]);
    let plan = graph.plan();
    advise(&mut graph, &plan.advice_requests[0], &[]);
    let plan = graph.plan();
    assert_eq!(plan.advice_requests, []);
    assert_eq!(graph.runs_of(job), []);
}

#[test]
fn advice_request_names_at_most_thirty_workers() {
    let mut graph = GraphBuilder::new(10, 4);
    graph.submit_advised(1, 1, vec![tasks(4, 8)]);
    let plan = graph.plan();
    assert_eq!(plan.advice_requests[0].workers.len(), 30);
    advise(&mut graph, &plan.advice_requests[0], &[]);
    assert_eq!(graph.plan().advice_requests[0].workers.len(), 10, "the remaining workers follow");
}

#[test]
fn expired_ticket_is_requested_again() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit_advised(1, 1, vec![tasks(1, 8)]);
    let plan = graph.plan();
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(0)]);
    graph.now_ms += 2_900;
    let plan = graph.plan();
    assert_eq!(graph.runs_of(job), [], "the ticket would expire before the order arrives");
    assert_eq!(
        plan.advice_requests,
        [AdviceRequest { step: step_of(job), workers: vec![WorkerKey(0)] }]
    );
}

#[test]
fn refused_start_makes_the_planner_request_advice_again() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit_advised(1, 1, vec![tasks(1, 8)]);
    let plan = graph.plan();
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(0)]);
    graph.plan();
    graph.end_all(job, EndKind::Refused);
    let plan = graph.plan();
    assert_eq!(graph.runs_of(job), []);
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(0)]);
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 1);
}

/// Guards against a guaranteed step that preempts runs on a worker on which it must not run. Such a
/// step requests advice on full workers, too, and preempts only on those that the service allows.
#[test]
fn guaranteed_step_preempts_only_on_allowed_workers() {
    let mut graph = GraphBuilder::new(1, 2);
    graph.guarantees.insert("team".into(), 8);
    let sweep = graph.submit(1, 2, vec![tasks(16, 1)]);
    graph.plan();
    let urgent = graph.submit_advised(2, 0, vec![gang(2, 4)]);
    let plan = graph.plan();
    assert_eq!(plan.records, []);
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(1)]);
    graph.plan_across_stops();
    assert_eq!(workers_of(&graph, urgent), [WorkerKey(1)]);
    assert_eq!(workers_of(&graph, sweep), [WorkerKey(0)]);
}

#[test]
fn advice_is_removed_when_its_job_ends() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit_advised(1, 1, vec![tasks(1, 8)]);
    let plan = graph.plan();
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(0)]);
    graph.plan();
    graph.end_all(job, EndKind::Done);
    assert_eq!(graph.state.advice_for(step_of(job)), None);
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(0)]);
    assert_eq!(graph.state.advice_for(step_of(job)), None, "a late answer is dropped");
}
