//! Steps of far more tasks than can run at once.

use std::collections::BTreeSet;

use cuminbarrow_ledger::codec;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::MAX_STEP_TASKS;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_state::JobPhase;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::step_state::RunPlacement;
use cuminbarrow_taskgraph::step_state::StepState;
use cuminbarrow_taskgraph::step_state::TaskState;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::tasks;

/// By how much the encoding of a step may grow with the number of its tasks, in bytes: numbers from 20 to
/// 10,000 take up to 4 bytes more, and a specification and a state hold one each.
const NUMBER_BYTES: usize = 8;

fn encoded_bytes(graph: &GraphBuilder) -> usize {
    codec::encode(&graph.state).unwrap().len()
}

/// Guards against replicas that hold an entry for each task of a step as soon as one is placed: one job
/// of 250 such steps exceeded the memory of every process, again after each restart.
#[test]
fn state_does_not_grow_with_tasks_that_were_never_placed() {
    const STEPS: usize = 250;
    let state_bytes = |count| {
        let mut graph = GraphBuilder::new(4, 3);
        let step = StepSpec { max_per_worker: 1, ..tasks(count, 0) };
        let job = graph.submit(1, 1, vec![step; STEPS]);
        graph.plan();
        assert!(graph.runs_of(job).len() > STEPS, "several tasks of a step are placed");
        encoded_bytes(&graph)
    };
    let bytes = state_bytes(MAX_STEP_TASKS);
    let limit = state_bytes(20) + STEPS * NUMBER_BYTES;
    assert!(bytes <= limit, "{bytes} bytes, more than {limit}");
}

/// Guards against replicas that keep an entry for each task that is done until its whole step is.
#[test]
fn state_does_not_grow_with_tasks_that_are_done() {
    let state_bytes = |count| {
        let mut graph = GraphBuilder::new(1, 2);
        let job = graph.submit(1, 1, vec![tasks(count, 1)]);
        for _ in 0..count / 16 - 1 {
            graph.plan();
            graph.end_all(job, EndKind::Done);
        }
        graph.plan();
        assert_eq!(graph.state.jobs[&job].steps[&(0, 0)].remaining_count(), 16);
        encoded_bytes(&graph)
    };
    let bytes = state_bytes(1_600);
    // Later batches, runs and workers' counters have larger numbers.
    let limit = state_bytes(32) + 16 * NUMBER_BYTES;
    assert!(bytes <= limit, "{bytes} bytes, more than {limit}");
}

/// Guards against tasks that are skipped or run again when those of a step end in any order, some of
/// them by failures.
#[test]
fn tasks_that_end_in_any_order_are_done_once_each() {
    const COUNT: u32 = 200;
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 1, vec![tasks(COUNT, 1)]);
    let mut done = BTreeSet::new();
    for round in 0.. {
        graph.plan();
        let runs = graph.runs_of(job);
        if runs.is_empty() {
            break;
        }
        for (number, (run, worker)) in runs.into_iter().enumerate() {
            match (number + round) % 3 {
                0 if run.run == 1 => {
                    graph.end(run, worker, EndKind::Stopped).unwrap();
                }
                1 => {}
                _ => {
                    assert!(done.insert(run.task.index), "task {} is done twice", run.task.index);
                    graph.end(run, worker, EndKind::Done).unwrap();
                }
            }
        }
        if let Some(state) = graph.state.jobs[&job].steps.get(&(0, 0)) {
            assert_eq!(state.remaining_count() as usize, COUNT as usize - done.len());
            let waiting: BTreeSet<u32> = state.waiting().collect();
            assert_eq!(state.waiting_count() as usize, waiting.len());
            for index in 0..COUNT {
                let is_placed = !state.runs_of(index).is_empty();
                assert_eq!(state.is_task_done(index), done.contains(&index), "task {index}");
                assert_eq!(waiting.contains(&index), !is_placed && !done.contains(&index));
            }
        }
    }
    assert_eq!(done.len(), COUNT as usize);
    assert!(matches!(graph.state.jobs[&job].phase, JobPhase::Completed { .. }));
}

/// Guards against a done task whose last run is forgotten: the end of an earlier run would be
/// acknowledged as if it were the task's.
#[test]
fn last_run_of_a_done_task_is_kept() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(20, 1)]);
    graph.plan();
    let (first, worker) = graph.runs_of(job)[2];
    graph.end(first, worker, EndKind::Stopped).unwrap();
    graph.plan();
    graph.end_all(job, EndKind::Done);
    let state = &graph.state.jobs[&job].steps[&(0, 0)];
    assert_eq!(first.task.index, 2);
    let last_runs: Vec<u32> = (0..9).map(|index| state.last_run_of(index)).collect();
    assert_eq!(last_runs, [1, 1, 2, 1, 1, 1, 1, 1, 0]);
    assert!((0..8).all(|index| state.is_task_done(index) && state.runs_of(index).is_empty()));
}

/// A step as the previous release encodes it: all tasks, the last run that was counted as failed and the
/// number of tasks that are done.
fn encode_dense(tasks: &[TaskState], last_failed_run: u32) -> Vec<u8> {
    let done_count = tasks.iter().filter(|task| task.is_done).count();
    codec::encode(&(tasks, last_failed_run, u32::try_from(done_count).unwrap())).unwrap()
}

/// Guards against an update that loses the state, since snapshots of the previous release hold an entry
/// for each task.
#[test]
fn step_of_a_snapshot_of_the_previous_release_is_read() {
    let worker = WorkerKey(4);
    let mut dense = vec![TaskState::default(); 10_000];
    let done = TaskState { last_run: 1, is_done: true, ..TaskState::default() };
    dense[..700].fill(done.clone());
    dense[7] = TaskState { last_run: 3, failures: 1, failed_workers: vec![worker], ..done.clone() };
    let current = vec![RunPlacement { run: 2, worker }];
    dense[9] = TaskState { current: current.clone(), last_run: 2, ..done };
    dense[800] = TaskState { current: current.clone(), last_run: 2, ..TaskState::default() };
    dense[801] =
        TaskState { last_run: 1, checkpoint: "saved".into(), failures: 1, ..TaskState::default() };
    let state: StepState = codec::decode(&encode_dense(&dense, 5)).unwrap();
    assert_eq!(state.remaining_count(), 9_300);
    for (index, task) in (0..).zip(&dense) {
        assert_eq!(state.is_task_done(index), task.is_done, "task {index}");
        assert_eq!(state.last_run_of(index), task.last_run, "task {index}");
        assert_eq!(state.runs_of(index), task.current, "task {index}");
    }
    let kept: Vec<u32> = state.tasks().map(|(index, _)| index).collect();
    assert_eq!(kept, [9, 800, 801]);
    assert_eq!(state.task(801), Some(&dense[801]));
    assert_eq!(state.failed_workers(), [worker].into());
    let bytes = codec::encode(&state).unwrap();
    assert_eq!(codec::decode::<StepState>(&bytes).unwrap(), state);
    let cut = &encode_dense(&dense, 5)[..40];
    assert!(codec::decode::<StepState>(cut).is_err());
}

/// Guards against a step whose run is unknown after its worker began a new incarnation.
#[test]
fn run_of_a_wide_step_is_found_at_its_worker() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(MAX_STEP_TASKS, 1)]);
    graph.plan();
    for (run, worker) in graph.runs_of(job) {
        assert_eq!(graph.state.worker_of(run), Some(worker));
        let later = RunKey { run: run.run + 1, ..run };
        assert_eq!(graph.state.worker_of(later), None);
    }
    assert_eq!(graph.state.jobs[&JobId(1)].steps[&(0, 0)].waiting().next(), Some(8));
}
