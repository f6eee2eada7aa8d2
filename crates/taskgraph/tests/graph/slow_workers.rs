//! Detection of slow workers, and how the planner avoids them.

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::run_table::ReportedRun;
use cuminbarrow_taskgraph::speed_watch::SpeedWatch;
use cuminbarrow_taskgraph::speed_watch::TypicalDuration;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::worker::StopCause;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;

/// Interval between two polls of a worker, in ms.
const POLL_INTERVAL_MS: u64 = 1_000;
/// Typical duration of the tasks, in ms.
const TYPICAL_MS: u64 = 5_000;

/// A worker with tasks of several jobs, polled by its agent once a second.
#[derive(Default)]
struct WatchedWorker {
    watch: SpeedWatch,
    now_ms: u64,
    /// Progress of each task, in thousandths.
    done: Vec<u64>,
}

impl WatchedWorker {
    fn with_tasks(count: usize) -> Self {
        Self { done: vec![10; count], ..Self::default() }
    }

    /// Advances the tasks by one poll interval, at `speeds` in percent of the typical speed, and
    /// polls the worker. Returns what the speed watch reports.
    fn poll(&mut self, speeds: &[u64]) -> Option<bool> {
        self.now_ms += POLL_INTERVAL_MS;
        for (done, speed) in self.done.iter_mut().zip(speeds) {
            *done = (*done + 10 * speed * POLL_INTERVAL_MS / TYPICAL_MS).min(1_000);
        }
        let running: Vec<ReportedRun> = (0..).zip(&self.done).map(entry).collect();
        let typical = TypicalDuration { shorter_ms: TYPICAL_MS, longer_ms: TYPICAL_MS };
        self.watch.observe(&running, self.now_ms, |_| Some(typical))
    }
}

fn entry((job, done): (u64, &u64)) -> ReportedRun {
    let step = StepKey { job: JobId(job), occurrence: 0, step: 0 };
    let run = RunKey { task: step.task(0), run: 1 };
    let percent = u32::try_from(done / 10).unwrap();
    ReportedRun { run, checkpoint: Default::default(), percent, load: 0 }
}

#[test]
fn worker_at_a_sixth_of_its_speed_is_reported_within_two_polls() {
    let mut worker = WatchedWorker::with_tasks(2);
    assert_eq!(worker.poll(&[16, 16]), None, "the first poll only starts the window");
    assert_eq!(worker.poll(&[16, 16]), Some(true));
    assert_eq!(worker.poll(&[16, 16]), None);
    assert_eq!(worker.poll(&[16, 16]), Some(true), "it is reported again while it remains slow");
    assert_eq!(worker.poll(&[100, 100]), Some(false));
    assert_eq!(worker.poll(&[100, 100]), None);
}

#[test]
fn tasks_of_three_times_the_typical_duration_are_not_slow() {
    let mut worker = WatchedWorker::with_tasks(1);
    for _ in 0..8 {
        assert_eq!(worker.poll(&[33]), None);
    }
}

#[test]
fn one_very_long_task_beside_a_normal_one_is_not_slow() {
    let mut worker = WatchedWorker::with_tasks(2);
    for _ in 0..4 {
        assert_eq!(worker.poll(&[15, 80]), None);
    }
}

/// A long task that slows down further is evidence of a slow worker, whereas its length is not.
#[test]
fn drop_of_speed_of_a_single_run_is_reported() {
    let mut worker = WatchedWorker::with_tasks(1);
    assert_eq!(worker.poll(&[90]), None);
    assert_eq!(worker.poll(&[90]), None);
    assert_eq!(worker.poll(&[30]), Some(true));
}

#[test]
fn run_without_an_expected_duration_is_ignored() {
    let mut watch = SpeedWatch::default();
    for poll in 0..5 {
        let running = [entry((1, &500))];
        assert_eq!(watch.observe(&running, poll * POLL_INTERVAL_MS, |_| None), None);
    }
}

/// Applies a report that a worker is slow and its runs have a progress of `percent`.
fn report_slow(graph: &mut GraphBuilder, worker: WorkerKey, percent: u8) {
    let runs = graph.runs().into_iter().filter(|(_, on)| *on == worker);
    let progress = runs.map(|(run, _)| (run, percent)).collect();
    graph.apply(GraphRecord::WorkerSpeedReported { worker, is_slow: true, progress }).unwrap();
}

fn workers_of(graph: &GraphBuilder, job: JobId) -> Vec<WorkerKey> {
    let mut workers: Vec<_> = graph.runs_of(job).into_iter().map(|(_, worker)| worker).collect();
    workers.sort();
    workers.dedup();
    workers
}

#[test]
fn slow_workers_are_used_last() {
    let mut graph = GraphBuilder::new(1, 3);
    report_slow(&mut graph, WorkerKey(0), 0);
    let first = graph.submit(1, 0, vec![gang(2, 4)]);
    let second = graph.submit(2, 2, vec![tasks(8, 1)]);
    graph.plan();
    assert_eq!(workers_of(&graph, first), [WorkerKey(1)]);
    assert_eq!(workers_of(&graph, second), [WorkerKey(2)]);
    let third = graph.submit(3, 1, vec![gang(1, 8)]);
    graph.plan();
    assert_eq!(workers_of(&graph, third), [WorkerKey(0)], "a slow worker is better than none");
}

#[test]
fn slow_worker_is_used_again_after_its_report_expires() {
    let mut graph = GraphBuilder::new(1, 2);
    report_slow(&mut graph, WorkerKey(0), 0);
    graph.now_ms += 6_000;
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    assert_eq!(workers_of(&graph, job), [WorkerKey(0)]);
}

/// An urgent gang preempts sweeps on a healthy worker rather than use free capacity of a slow one.
#[test]
fn urgent_gang_preempts_sweeps_rather_than_use_a_slow_worker() {
    let mut graph = GraphBuilder::new(1, 2);
    graph.guarantees.insert("team".into(), 8);
    report_slow(&mut graph, WorkerKey(0), 0);
    let sweep = graph.submit(1, 2, vec![tasks(8, 1)]);
    graph.plan();
    assert_eq!(workers_of(&graph, sweep), [WorkerKey(1)]);
    let urgent = graph.submit(2, 0, vec![gang(2, 4)]);
    graph.plan_across_stops();
    assert_eq!(workers_of(&graph, urgent), [WorkerKey(1)]);
}

/// A gang on two of four workers, one of which slows down when the gang's progress is `percent`.
fn gang_on_a_slow_worker(priority: u8, percent: u8) -> (GraphBuilder, JobId) {
    let mut graph = GraphBuilder::new(1, 4);
    let job = graph.submit(1, priority, vec![gang(2, 8)]);
    graph.plan();
    graph.now_ms += 1_500;
    let (_, worker) = graph.runs_of(job)[0];
    report_slow(&mut graph, worker, percent);
    (graph, job)
}

#[test]
fn gang_is_migrated_off_a_slow_worker() {
    let (mut graph, job) = gang_on_a_slow_worker(0, 5);
    let before = workers_of(&graph, job);
    let plan = graph.plan();
    let (run, _) = graph.runs_of(job)[0];
    let stop = GraphRecord::RunsStopped { epoch: 1, cause: StopCause::Slow, runs: vec![run] };
    assert_eq!(plan.records, [stop]);
    assert_eq!(graph.plan().records, [], "it is migrated only once");
    graph.obey_stops();
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 2);
    assert!(!workers_of(&graph, job).contains(&before[0]), "no member returns to the slow worker");
    graph.end_all(job, EndKind::Done);
}

#[test]
fn gang_that_is_nearly_done_is_not_migrated() {
    let (mut graph, _) = gang_on_a_slow_worker(0, 80);
    assert_eq!(graph.plan().records, []);
}

#[test]
fn background_work_is_not_migrated() {
    let (mut graph, _) = gang_on_a_slow_worker(2, 5);
    assert_eq!(graph.plan().records, []);
}

#[test]
fn gang_is_not_migrated_without_free_capacity_elsewhere() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 0, vec![gang(2, 8)]);
    graph.plan();
    graph.now_ms += 1_500;
    let (_, worker) = graph.runs_of(job)[0];
    report_slow(&mut graph, worker, 5);
    assert_eq!(graph.plan().records, []);
}

/// Waiting work has priority over work on slow workers, because it has no capacity at all.
#[test]
fn waiting_work_gets_free_capacity_before_migrations() {
    let (mut graph, _) = gang_on_a_slow_worker(0, 5);
    let waiting = graph.submit(2, 0, vec![gang(1, 8)]);
    let plan = graph.plan();
    assert_eq!(graph.runs_of(waiting).len(), 1);
    assert_eq!(plan.records.len(), 1, "one free worker is left, and the gang needs two");
}

#[test]
fn removed_worker_is_not_slow() {
    let mut graph = GraphBuilder::new(1, 2);
    report_slow(&mut graph, WorkerKey(0), 0);
    let worker = WorkerKey(0);
    let cause = RemovalCause::Left;
    graph.apply(GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 }).unwrap();
    assert!(!graph.state.is_slow(worker, graph.now_ms));
    let report = GraphRecord::WorkerSpeedReported { worker, is_slow: true, progress: Vec::new() };
    assert!(graph.apply(report).is_err(), "the speed of an unknown worker is refused");
}
