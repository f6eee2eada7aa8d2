//! Steps of queues whose policy only an outside service knows.

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

/// The service allows some of the workers asked about.
fn advise(graph: &mut GraphBuilder, wanted: &AdviceRequest, good: &[WorkerKey]) {
    let tickets = good
        .iter()
        .map(|worker| WorkerTicket { worker: *worker, text: format!("t{worker}").into() })
        .collect();
    let record = GraphRecord::StepAdvised {
        epoch: 1,
        step: wanted.step,
        asked: wanted.workers.clone(),
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
fn an_advised_step_runs_only_where_the_advice_allows_it() {
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
fn where_no_worker_is_allowed_nothing_is_asked_twice() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit_advised(1, 1, vec![gang(2, 4)]);
    let plan = graph.plan();
    advise(&mut graph, &plan.advice_requests[0], &[]);
    let plan = graph.plan();
    assert_eq!(plan.advice_requests, []);
    assert_eq!(graph.runs_of(job), []);
}

#[test]
fn at_most_thirty_workers_are_asked_about_at_once() {
    let mut graph = GraphBuilder::new(10, 4);
    graph.submit_advised(1, 1, vec![tasks(4, 8)]);
    let plan = graph.plan();
    assert_eq!(plan.advice_requests[0].workers.len(), 30);
    advise(&mut graph, &plan.advice_requests[0], &[]);
    assert_eq!(graph.plan().advice_requests[0].workers.len(), 10, "the others follow");
}

#[test]
fn a_ticket_that_ran_out_is_asked_for_anew() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit_advised(1, 1, vec![tasks(1, 8)]);
    let plan = graph.plan();
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(0)]);
    graph.now_ms += 2_900;
    let plan = graph.plan();
    assert_eq!(graph.runs_of(job), [], "an order would come too late");
    assert_eq!(
        plan.advice_requests,
        [AdviceRequest { step: step_of(job), workers: vec![WorkerKey(0)] }]
    );
}

#[test]
fn a_start_that_was_refused_makes_the_planner_ask_again() {
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

/// What a guarantee covers asks about full workers too, and stops others only where it may run.
#[test]
fn a_guarantee_takes_room_back_where_the_advice_allows_it() {
    let mut graph = GraphBuilder::new(1, 2);
    graph.guarantees.insert("team".into(), 8);
    let sweep = graph.submit(1, 2, vec![tasks(16, 1)]);
    graph.plan();
    let urgent = graph.submit_advised(2, 0, vec![gang(2, 4)]);
    let plan = graph.plan();
    assert_eq!(plan.records, []);
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(1)]);
    graph.plan_past_stops();
    assert_eq!(workers_of(&graph, urgent), [WorkerKey(1)]);
    assert_eq!(workers_of(&graph, sweep), [WorkerKey(0)]);
}

#[test]
fn advice_is_forgotten_when_its_job_ends() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit_advised(1, 1, vec![tasks(1, 8)]);
    let plan = graph.plan();
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(0)]);
    graph.plan();
    graph.end_all(job, EndKind::Done);
    assert_eq!(graph.state.advice_for(step_of(job)), None);
    advise(&mut graph, &plan.advice_requests[0], &[WorkerKey(0)]);
    assert_eq!(graph.state.advice_for(step_of(job)), None, "an answer that comes late is dropped");
}
