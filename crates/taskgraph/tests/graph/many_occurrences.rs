//! Jobs with more due occurrences than one round can plan.

use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::step_queue::next_due_ms;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::START_MS;
use crate::graph_builder::tasks;

fn spec(occurrence_count: u32, start_at_ms: u64, interval_ms: u64) -> JobSpec {
    JobSpec {
        steps: vec![tasks(1, 1)],
        occurrence_count,
        start_at_ms,
        interval_ms,
        ..JobSpec::default()
    }
}

/// Guards against planning all occurrences at once of a job that is due billions of times. Such a
/// job brought down each process that planned, one after the other.
#[test]
fn job_due_billions_of_times_is_planned_in_parts() {
    let mut builder = GraphBuilder::new(1, 2);
    let job = builder.submit_spec(1, 1, spec(u32::MAX, 0, 0));
    let other = builder.submit(2, 0, vec![tasks(1, 1)]);
    builder.plan();
    assert_eq!(builder.runs_of(job).len(), 15);
    assert_eq!(builder.runs_of(other).len(), 1);
    builder.end_all(job, EndKind::Done);
    builder.plan();
    assert_eq!(builder.runs_of(job).len(), 15);
    let occurrences = builder.runs_of(job).into_iter().map(|(run, _)| run.task.step.occurrence);
    assert_eq!(occurrences.collect::<Vec<u32>>(), (15..30).collect::<Vec<u32>>());
}

/// Guards against sums with a due time at the end of time, which overflow.
#[test]
fn background_job_due_at_the_end_of_time_waits() {
    let mut builder = GraphBuilder::new(1, 2);
    let job = builder.submit_spec(1, 2, spec(1, u64::MAX, 0));
    builder.plan();
    assert_eq!(builder.runs_of(job), []);
}

/// Guards against sums of sizes that no worker has, which overflow.
#[test]
fn late_background_job_of_the_largest_size_waits() {
    let mut builder = GraphBuilder::new(1, 2);
    let largest = StepSpec { estimate_ms: u32::MAX, ..tasks(10_000, u32::MAX) };
    let job = builder.submit(1, 2, vec![largest.clone(), largest]);
    builder.now_ms += 60 * u64::from(u32::MAX) / 10;
    builder.plan();
    assert_eq!(builder.runs_of(job), []);
}

/// Guards against trying each due occurrence of a step that no worker can run, in each round, before the
/// jobs of others.
#[test]
fn step_that_no_worker_can_run_is_tried_once_a_round() {
    let mut builder = GraphBuilder::new(1, 2);
    let step = StepSpec { required_label: Some("none".into()), ..tasks(500, 1) };
    let hopeless = JobSpec { steps: vec![step], ..spec(8_640, 0, 0) };
    let hopeless = builder.submit_spec(1, 0, hopeless);
    let other = builder.submit(2, 1, vec![tasks(1, 1)]);
    let plan = builder.plan();
    let tries = plan.unplaced.iter().filter(|unplaced| unplaced.job == hopeless);
    let reasons: Vec<&str> = tries.map(|unplaced| unplaced.reason).collect();
    assert_eq!(reasons, ["no fitting worker"]);
    assert_eq!(builder.runs_of(other).len(), 1);
}

/// Guards against a step that no worker can run, which keeps the other steps of its job from being placed
/// in later occurrences.
#[test]
fn step_beside_one_that_no_worker_can_run_is_placed_in_all_occurrences() {
    let mut builder = GraphBuilder::new(1, 4);
    let step = StepSpec { required_label: Some("none".into()), ..tasks(500, 1) };
    let job = JobSpec { steps: vec![step, tasks(1, 1)], ..spec(30, 0, 0) };
    let job = builder.submit_spec(1, 1, job);
    builder.plan();
    assert_eq!(builder.runs_of(job).len(), 30);
}

#[test]
fn next_due_time_is_the_first_after_now() {
    let next = |occurrence_count, start_ms, interval_ms, now_ms| {
        let mut builder = GraphBuilder::new(1, 1);
        builder.submit_spec(1, 1, spec(occurrence_count, start_ms, interval_ms));
        next_due_ms(&builder.state, now_ms)
    };
    let at = START_MS;
    assert_eq!(next(0, at, 10, at - 1), None, "a job without a schedule is due at once");
    assert_eq!(next(3, at, 10, at - 1), Some(at));
    assert_eq!(next(3, at, 10, at), Some(at + 10));
    assert_eq!(next(3, at, 10, at + 9), Some(at + 10));
    assert_eq!(next(3, at, 10, at + 10), Some(at + 20));
    assert_eq!(next(3, at, 10, at + 20), None);
    assert_eq!(next(u32::MAX, at, 0, at - 1), Some(at));
    assert_eq!(next(u32::MAX, at, 0, at), None);
    assert_eq!(next(u32::MAX, 0, 1, at), Some(at + 1));
    assert_eq!(next(u32::MAX, u64::MAX, u64::MAX, at), Some(u64::MAX));
    assert_eq!(next(u32::MAX, 0, u64::MAX, at), Some(u64::MAX));
    assert_eq!(next(u32::MAX, 0, u64::MAX, u64::MAX), None);
}
