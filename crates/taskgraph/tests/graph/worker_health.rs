//! Workers that report their health, rightly or wrongly.

use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::refusal::GraphRefusal;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker_health::HealthWatch;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::worker_probation::FAILING;
use crate::worker_probation::gang_runs_lost;

const WORKER_HEALTH: PlanningOptions = PlanningOptions {
    preemption_history: false,
    cost_order: false,
    team_shares: false,
    speed_profiles: false,
    admission: false,
    probation: false,
    worker_health: true,
};

fn report(graph: &mut GraphBuilder, worker: WorkerKey, is_healthy: bool) {
    graph.apply(GraphRecord::HealthChanged { worker, is_healthy }).unwrap();
}

/// A fleet whose first worker has failed `failures` runs and reports itself as unhealthy.
fn fleet(workers: u32, failures: u32) -> GraphBuilder {
    let mut graph = GraphBuilder::new(1, workers);
    graph.options = WORKER_HEALTH;
    if failures > 0 {
        let job = graph.submit(900, 2, vec![tasks(failures, 1)]);
        graph.plan();
        graph.end_all(job, EndKind::Failed);
        graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    }
    report(&mut graph, FAILING, false);
    graph
}

/// Whether the first worker takes a task that fills a worker, when every worker is needed.
fn is_used(graph: &mut GraphBuilder, id: u64) -> bool {
    let job = graph.submit(id, 1, vec![tasks(3, 8)]);
    graph.plan();
    let is_used = graph.runs_of(job).iter().any(|(_, worker)| *worker == FAILING);
    graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    graph.obey_stops();
    is_used
}

/// Guards against gangs that test a worker every 8 s although it says all the time that it can't work.
#[test]
fn worker_that_reports_its_failure_costs_gangs_less() {
    let before = gang_runs_lost(PlanningOptions::default(), true);
    let after = gang_runs_lost(WORKER_HEALTH, true);
    let unreported = gang_runs_lost(WORKER_HEALTH, false);
    println!(
        "runs of gangs lost in 60 s: {before}, {after} with health, {unreported} if it is silent"
    );
    assert!(after * 2 <= before && unreported == before, "{before}, {after}, {unreported}");
}

/// Guards against workers that are excluded by a false report, and against an unhealthy one that needs a
/// second failure, or stays in quarantine for good.
#[test]
fn failure_and_report_together_quarantine() {
    assert!(is_used(&mut fleet(3, 0), 1), "a report alone excludes no worker");
    let mut graph = fleet(3, 1);
    assert!(!is_used(&mut graph, 1));
    for seconds in (4..=32).step_by(4) {
        graph.renew_for(4_000);
        report(&mut graph, FAILING, false);
        assert_eq!(is_used(&mut graph, seconds), seconds == 32, "after {seconds} s");
    }
    let mut graph = fleet(3, 1);
    report(&mut graph, FAILING, true);
    assert!(is_used(&mut graph, 1), "it has recovered");
    let mut graph = fleet(3, 0);
    let job = graph.submit(901, 2, vec![tasks(2, 1)]);
    graph.plan();
    for ((run, worker), kind) in
        graph.runs_of(job).into_iter().zip([EndKind::Failed, EndKind::Done])
    {
        assert_eq!(worker, FAILING);
        graph.end(run, worker, kind).unwrap();
    }
    graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    assert!(is_used(&mut graph, 1), "a run has completed since the failure");
}

/// Guards against a response that counts for good after the agent was cut off, and against the response of
/// an earlier agent.
#[test]
fn report_expires_and_only_the_agent_makes_it() {
    let mut graph = fleet(3, 1);
    graph.renew_for(7_500);
    assert!(!is_used(&mut graph, 1));
    graph.renew_for(500);
    assert!(is_used(&mut graph, 2));
    let record = GraphRecord::HealthChanged { worker: FAILING, is_healthy: false };
    let outcome = graph.apply_from(8, record);
    assert!(matches!(outcome, Err(GraphRefusal::Superseded { .. })), "{outcome:?}");
}

/// Guards against reports and poisoned jobs that together take more than a third of a service out of use.
#[test]
fn at_most_a_third_is_quarantined() {
    let mut graph = fleet(6, 48);
    (0..6).for_each(|worker| report(&mut graph, WorkerKey(worker), false));
    graph.renew_for(8_000);
    (0..6).for_each(|worker| report(&mut graph, WorkerKey(worker), false));
    let job = graph.submit(1, 1, vec![tasks(6, 8)]);
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 4);
}

/// Guards against gangs on a worker that reports itself as unhealthy while an equal one is free, and against
/// a report that changes anything else.
#[test]
fn gang_prefers_a_healthy_worker_among_equal_ones() {
    let mut graph = fleet(3, 0);
    let first = graph.submit(1, 1, vec![gang(2, 8)]);
    graph.plan();
    assert!(graph.runs_of(first).iter().all(|(_, worker)| *worker != FAILING));
    let mut graph = fleet(3, 0);
    let background = graph.submit(1, 2, vec![tasks(1, 1)]);
    graph.plan();
    assert_eq!(graph.runs_of(background)[0].1, FAILING, "as without the report");
}

/// Guards against a log that is flooded by a response that flaps, against responses that are lost with a
/// write or a restart of the agent, and against a silent worker that counts as unhealthy.
#[test]
fn agent_records_changes_at_a_bounded_rate() {
    let graph = fleet(3, 0);
    let unhealthy = graph.state.worker_health.report(FAILING);
    let state_ms = graph.state.clock_ms;
    let mut watch = HealthWatch::default();
    assert_eq!(watch.observe(None, unhealthy, state_ms, 0), None);
    assert_eq!(watch.observe(Some(true), None, state_ms, 0), None, "healthy is no news");
    assert_eq!(watch.observe(Some(false), None, state_ms, 0), Some(false));
    assert_eq!(watch.observe(Some(true), unhealthy, state_ms, 1_999), None, "too early");
    assert_eq!(watch.observe(Some(false), None, state_ms, 2_000), Some(false), "it was lost");
    let mut restarted = HealthWatch::default();
    assert_eq!(restarted.observe(Some(false), unhealthy, state_ms + 3_999, 0), None);
    assert_eq!(restarted.observe(Some(false), unhealthy, state_ms + 4_000, 0), Some(false));
    assert_eq!(restarted.observe(Some(true), unhealthy, state_ms, 2_000), Some(true));
}
