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
use crate::worker_probation::count_on_failing;
use crate::worker_probation::fleet;
use crate::worker_probation::gang_runs_lost;

fn options() -> PlanningOptions {
    PlanningOptions { worker_health: true, ..PlanningOptions::default() }
}

fn report(graph: &mut GraphBuilder, worker: WorkerKey, is_healthy: bool) {
    graph.apply(GraphRecord::HealthChanged { worker, is_healthy }).unwrap();
}

/// Three workers, the first of which has failed `failures` runs and reports itself as unhealthy.
fn unhealthy_fleet(failures: u32) -> GraphBuilder {
    let mut graph = fleet(3, failures, options());
    report(&mut graph, FAILING, false);
    graph
}

/// Whether the first worker is used by work that needs every worker.
fn is_used(graph: &mut GraphBuilder, id: u64) -> bool {
    let job = graph.submit(id, 1, vec![tasks(3, 8)]);
    graph.plan();
    let is_used = count_on_failing(graph, job) > 0;
    graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    graph.obey_stops();
    is_used
}

/// Guards against gangs that test a worker every 8 s although it says all the time that it can't work.
#[test]
fn worker_that_reports_its_failure_costs_gangs_less() {
    let before = gang_runs_lost(PlanningOptions::default(), true);
    let (after, unreported) = (gang_runs_lost(options(), true), gang_runs_lost(options(), false));
    println!(
        "runs of gangs lost in 60 s: {before}, {after} with health, {unreported} if it is silent"
    );
    assert!(after * 2 <= before && unreported == before, "{before}, {after}, {unreported}");
}

/// Guards against workers that are excluded by a false report, and against an unhealthy one that needs a
/// second failure, or stays in quarantine for good.
#[test]
fn failure_and_report_together_quarantine() {
    let mut graph = unhealthy_fleet(0);
    assert!(is_used(&mut graph, 1), "a report alone excludes no worker");
    let mixed = graph.submit(2, 2, vec![tasks(2, 1)]);
    graph.plan();
    for ((run, worker), kind) in
        graph.runs_of(mixed).into_iter().zip([EndKind::Failed, EndKind::Done])
    {
        graph.end(run, worker, kind).unwrap();
    }
    assert!(is_used(&mut graph, 3), "a run has completed since the failure");
    let mut graph = unhealthy_fleet(1);
    for seconds in (4..=32).step_by(4) {
        assert!(!is_used(&mut graph, seconds), "before {seconds} s");
        graph.renew_for(4_000);
        report(&mut graph, FAILING, false);
    }
    assert!(is_used(&mut graph, 1), "it must be tested at some time");
}

/// Guards against a response that outlasts a recovery or counts for good after the agent was cut off, and
/// against the response of an earlier agent.
#[test]
fn report_ends_and_only_the_agent_makes_it() {
    let mut graph = unhealthy_fleet(1);
    graph.renew_for(7_500);
    assert!(!is_used(&mut graph, 1));
    let mut recovered = unhealthy_fleet(1);
    report(&mut recovered, FAILING, true);
    assert!(is_used(&mut recovered, 1));
    graph.renew_for(500);
    assert!(is_used(&mut graph, 2));
    let record = GraphRecord::HealthChanged { worker: FAILING, is_healthy: false };
    assert!(matches!(graph.apply_from(8, record), Err(GraphRefusal::Superseded { .. })));
}

/// Guards against reports and poisoned jobs that together take more than a third of a service out of use.
#[test]
fn at_most_a_third_is_quarantined_or_on_probation() {
    let mut graph = fleet(6, 48, PlanningOptions { probation: true, ..options() });
    graph.renew_for(8_000);
    (0..3).for_each(|worker| report(&mut graph, WorkerKey(worker), false));
    let job = graph.submit(1, 1, vec![gang(4, 8)]);
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 4);
}

/// Guards against gangs on a worker that reports itself as unhealthy while an equal one is free, and against
/// a report that changes anything else.
#[test]
fn gang_prefers_a_healthy_worker_among_equal_ones() {
    let mut graph = unhealthy_fleet(0);
    let first = graph.submit(1, 1, vec![gang(2, 8)]);
    let background = graph.submit(2, 2, vec![tasks(1, 1)]);
    graph.plan();
    assert_eq!((count_on_failing(&graph, first), count_on_failing(&graph, background)), (0, 1));
}

/// Guards against a log that is flooded by a response that flaps, against responses that are lost with a
/// write or a restart of the agent, and against a silent worker that counts as unhealthy.
#[test]
fn agent_records_changes_at_a_bounded_rate() {
    let graph = unhealthy_fleet(0);
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
