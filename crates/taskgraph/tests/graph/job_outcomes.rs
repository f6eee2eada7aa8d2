//! Outcomes of jobs as callers see them.

use cuminbarrow_taskgraph::job_outcomes::JobOutcome;
use cuminbarrow_taskgraph::job_outcomes::OutcomeTracker;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::tasks;

/// Guards against jobs that are counted twice, as on time when they were not, or without a result.
#[test]
fn each_completed_job_is_counted_once_by_its_end() {
    let mut graph = GraphBuilder::new(1, 1);
    let mut tracker = OutcomeTracker::default();
    let jobs = [1, 2, 3, 4].map(|id| graph.submit(id, 1, vec![tasks(1, 1)]));
    graph.plan();
    assert_eq!(tracker.observe(&graph.state), []);
    graph.apply(GraphRecord::JobCancelled { job: jobs[3] }).unwrap();
    let mut outcomes = Vec::new();
    for (job, passed_ms) in jobs.into_iter().zip([13_000, 26_000, 1]) {
        graph.now_ms += passed_ms;
        graph.end_all(job, EndKind::Done);
        outcomes.extend(tracker.observe(&graph.state).into_iter().map(|job| job.outcome));
    }
    assert_eq!(outcomes, [JobOutcome::OnTime, JobOutcome::Late, JobOutcome::TooLate]);
}
