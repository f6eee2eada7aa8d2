//! Counters of what callers got.

use cuminbarrow_dispatch::load_report::LoadCounters;
use cuminbarrow_taskgraph::job_outcomes::JobOutcome;
use smol_str::format_smolstr;

/// Guards against a metric with ever more labels.
#[test]
fn queues_and_teams_beyond_the_limit_are_counted_together() {
    let counters = LoadCounters::default();
    for id in 0..1_000 {
        counters.count_ended(JobOutcome::Late, &"queue".into(), &format_smolstr!("team-{id}"));
    }
    let counted = counters.ended_jobs();
    assert_eq!(counted.len(), 257);
    assert_eq!(counted.iter().map(|(_, count)| count).sum::<u64>(), 1_000);
}
