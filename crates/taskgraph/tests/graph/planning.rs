//! Decisions of planning rounds.

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::codec;
use cuminbarrow_ledger::replicated_state::ReplicatedState;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::MAX_STEP_TASKS;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;
use cuminbarrow_taskgraph::worker::StopCause;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;

#[test]
fn small_tasks_are_packed_so_that_whole_workers_stay_free() {
    let mut graph = GraphBuilder::new(2, 2);
    for id in 1..=3 {
        graph.submit(id, 2, vec![tasks(2, 1)]);
    }
    graph.plan();
    let mut workers: Vec<WorkerKey> = graph.runs().into_iter().map(|(_, worker)| worker).collect();
    workers.dedup();
    assert_eq!(workers.len(), 1);
    let whole = graph.submit(9, 1, vec![tasks(3, 8)]);
    graph.plan();
    assert_eq!(graph.runs_of(whole).len(), 3);
}

#[test]
fn same_rack_gang_gets_the_tightest_rack() {
    let mut graph = GraphBuilder::new(2, 2);
    graph.submit(1, 1, vec![tasks(1, 8)]);
    graph.plan();
    let mut step = gang(2, 4);
    step.same_rack = true;
    let job = graph.submit(2, 1, vec![step]);
    graph.plan();
    let racks: Vec<_> = graph.runs_of(job).iter().map(|(_, on)| graph.rack_of(*on)).collect();
    assert_eq!(racks, ["r0", "r0"], "the half-full rack is filled first");
}

#[test]
fn same_rack_gang_does_not_wait_if_no_rack_could_hold_it() {
    let mut graph = GraphBuilder::new(2, 2);
    let mut step = gang(3, 8);
    step.same_rack = true;
    let too_wide = graph.submit(1, 1, vec![step]);
    graph.plan();
    assert_eq!(graph.runs_of(too_wide).len(), 3, "no rack holds three whole workers");
}

#[test]
fn required_label_and_per_worker_limit_are_respected() {
    let mut graph = GraphBuilder::new(2, 2);
    let mut step = tasks(4, 1);
    step.required_label = Some("r1".into());
    step.max_per_worker = 1;
    let job = graph.submit(1, 1, vec![step]);
    graph.plan();
    let runs = graph.runs_of(job);
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|(_, on)| graph.rack_of(*on) == "r1"));
    assert_ne!(runs[0].1, runs[1].1);
}

#[test]
fn guarantee_is_reclaimed_from_the_run_that_loses_least_work() {
    let mut graph = GraphBuilder::new(1, 2);
    graph.guarantees.insert("team".into(), 8);
    let long = graph.submit(1, 2, vec![tasks(1, 8)]);
    graph.plan();
    graph.now_ms += 5_000;
    let fresh = graph.submit(2, 2, vec![tasks(1, 8)]);
    graph.plan();
    let urgent = graph.submit(3, 0, vec![gang(2, 4)]);
    let plan = graph.plan();
    let victims = graph.runs_of(fresh).into_iter().map(|(run, _)| run).collect();
    let cause = StopCause::Reclaimed;
    assert_eq!(plan.records, [GraphRecord::RunsStopped { epoch: 1, cause, runs: victims }]);
    graph.submit(4, 1, vec![tasks(1, 8)]);
    graph.obey_stops();
    graph.plan();
    assert_eq!(graph.runs_of(urgent).len(), 2, "the capacity was kept for the guarantee");
    assert_eq!(graph.runs_of(long).len(), 1);
}

#[test]
fn guaranteed_runs_are_never_preempted() {
    let mut graph = GraphBuilder::new(1, 1);
    graph.guarantees.insert("team".into(), 8);
    let first = graph.submit(1, 0, vec![tasks(1, 8)]);
    graph.plan();
    graph.submit(2, 0, vec![tasks(1, 8)]);
    assert_eq!(graph.plan().records, []);
    assert_eq!(graph.runs_of(first).len(), 1);
}

#[test]
fn worker_with_consecutive_failures_is_quarantined() {
    let mut graph = GraphBuilder::new(1, 4);
    for id in 1..=2 {
        let job = graph.submit(id, 1, vec![tasks(1, 8)]);
        graph.plan();
        let (run, worker) = graph.runs_of(job)[0];
        assert_eq!(worker, WorkerKey(0));
        graph.end(run, worker, EndKind::Failed).unwrap();
        graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    }
    let job = graph.submit(3, 1, vec![tasks(1, 8)]);
    graph.plan();
    assert_ne!(graph.runs_of(job)[0].1, WorkerKey(0));
    graph.now_ms += 8_000;
    let job = graph.submit(4, 1, vec![tasks(1, 8)]);
    graph.plan();
    assert_eq!(graph.runs_of(job)[0].1, WorkerKey(0), "one task tests the worker");
}

#[test]
fn failing_jobs_quarantine_at_most_a_third_of_the_fleet() {
    let mut graph = GraphBuilder::new(1, 3);
    let step = tasks(24, 1);
    let bad = graph.submit(1, 1, vec![step]);
    graph.plan();
    for (run, worker) in graph.runs_of(bad) {
        graph.end(run, worker, EndKind::Failed).unwrap();
    }
    graph.apply(GraphRecord::JobCancelled { job: bad }).unwrap();
    let job = graph.submit(2, 1, vec![tasks(2, 8)]);
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 2, "at most a third is quarantined");
}

#[test]
fn retry_is_placed_on_another_worker() {
    let mut graph = GraphBuilder::new(1, 4);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    let (run, worker) = graph.runs_of(job)[0];
    graph.end(run, worker, EndKind::Failed).unwrap();
    graph.plan();
    assert_ne!(graph.runs_of(job)[0].1, worker);
}

#[test]
fn run_that_outlives_its_draining_worker_is_moved() {
    let mut graph = GraphBuilder::new(1, 2);
    let done = graph.submit(1, 1, vec![tasks(1, 8)]);
    graph.plan();
    graph.now_ms += 4_000;
    graph.end_all(done, EndKind::Done);
    let job = graph.submit(2, 1, vec![tasks(1, 8)]);
    graph.plan();
    let (run, worker) = graph.runs_of(job)[0];
    let until_ms = graph.now_ms + 2_000;
    graph.apply(GraphRecord::WorkerDraining { worker, until_ms }).unwrap();
    let plan = graph.plan();
    let cause = StopCause::Draining;
    assert_eq!(plan.records, [GraphRecord::RunsStopped { epoch: 1, cause, runs: vec![run] }]);
    graph.obey_stops();
    graph.plan();
    assert_ne!(graph.runs_of(job)[0].1, worker, "runs take 4 s, but only 2 s are left");
}

/// Four long-running tasks that fill two workers, with a disruption budget of one task.
fn long_running_tasks(is_gang: bool) -> (GraphBuilder, JobId) {
    let mut graph = GraphBuilder::new(1, 2);
    let long_running =
        StepSpec { long_running: true, max_unavailable: Some(1), gang: is_gang, ..tasks(4, 4) };
    let long_running = graph.submit(1, 2, vec![long_running]);
    graph.plan();
    graph.now_ms += 10_000;
    graph.guarantees.insert("team".into(), 16);
    (graph, long_running)
}

#[test]
fn disruption_budget_limits_stops_of_long_running_tasks() {
    let (mut graph, long_running) = long_running_tasks(false);
    graph.submit(2, 0, vec![tasks(2, 4)]);
    graph.plan();
    graph.obey_stops();
    assert_eq!(graph.runs_of(long_running).len(), 3, "one may be unavailable");
    graph.plan();
    graph.plan();
    graph.obey_stops();
    assert_eq!(graph.runs_of(long_running).len(), 3, "it is still unavailable");
}

#[test]
fn restarted_task_counts_as_unavailable_until_it_settles() {
    let (mut graph, long_running) = long_running_tasks(false);
    let (run, worker) = graph.runs_of(long_running)[0];
    graph.end(run, worker, EndKind::Lapsed).unwrap();
    graph.plan();
    assert_eq!(graph.runs_of(long_running).len(), 4);
    graph.submit(2, 0, vec![tasks(1, 4)]);
    graph.now_ms += 5_000;
    assert_eq!(graph.plan().records, []);
    graph.now_ms += 1_000;
    graph.plan();
    graph.obey_stops();
    assert_eq!(graph.runs_of(long_running).len(), 3);
}

#[test]
fn gang_larger_than_its_disruption_budget_is_not_stopped() {
    let (mut graph, long_running) = long_running_tasks(true);
    graph.submit(2, 0, vec![tasks(1, 4)]);
    assert_eq!(graph.plan().records, []);
    assert_eq!(graph.runs_of(long_running).len(), 4);
}

/// Guards against placements that no log takes: those of one wide job exceeded a record, and nothing of
/// any job was placed any more.
#[test]
fn placements_of_wide_jobs_fit_into_batches() {
    let mut graph = GraphBuilder::new(1, 4);
    let mut step = tasks(MAX_STEP_TASKS, 0);
    step.resources = ResourceAmounts { cpu_millis: 1, ..ResourceAmounts::default() };
    let wide = graph.submit(1, 1, vec![step; 8]);
    let other = graph.submit(2, 1, vec![tasks(1, 1)]);
    let plan = graph.plan();
    for record in &plan.records {
        let batch =
            Batch { writer: u64::MAX, sequence: u64::MAX, at_ms: u64::MAX, records: vec![record] };
        let bytes = codec::encode(&batch).unwrap().len();
        assert!(bytes <= GraphState::MAX_BATCH_BYTES, "a record of {bytes} bytes");
    }
    assert_eq!(graph.runs_of(other).len(), 1, "the other job is placed in the first round");
    let placed = graph.runs_of(wide);
    for (run, worker) in &placed[..placed.len() / 2] {
        graph.end(*run, *worker, EndKind::Done).unwrap();
    }
    graph.plan();
    assert!(graph.runs_of(wide).len() > placed.len() / 2, "the next round goes on");
}

/// Guards against agents that are flooded with orders, and against jobs that wait for their end: beside
/// the tasks of a wide job, another job begins.
#[test]
fn workers_are_not_flooded_with_small_tasks() {
    let mut graph = GraphBuilder::new(1, 2);
    let small = |count| {
        let resources = ResourceAmounts { cpu_millis: 1, ..ResourceAmounts::default() };
        StepSpec { resources, ..tasks(count, 0) }
    };
    let wide = graph.submit(1, 1, vec![small(MAX_STEP_TASKS)]);
    (0..4).for_each(|_| _ = graph.plan());
    let runs = graph.runs_of(wide).len();
    assert!((100..=1_000).contains(&runs), "{runs} runs on two workers");
    let other = graph.submit(2, 1, vec![small(100)]);
    graph.plan();
    assert!(!graph.runs_of(other).is_empty(), "the other job begins");
    let accelerated = graph.submit(3, 1, vec![tasks(4, 1)]);
    graph.plan();
    assert_eq!(graph.runs_of(accelerated).len(), 4, "accelerators bound the number of tasks");
}
