//! Workers that run everything slowly for a while: how they are found, and where work goes.

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

/// Time between looks at a worker, in ms.
const LOOK_MS: u64 = 1_000;
/// What tasks usually take, in ms.
const USUAL_MS: u64 = 5_000;

/// A worker with tasks of several jobs, seen by its agent once a second.
#[derive(Default)]
struct Watched {
    watch: SpeedWatch,
    now_ms: u64,
    /// Progress of each task, in thousandths.
    done: Vec<u64>,
}

impl Watched {
    fn with_tasks(count: usize) -> Self {
        Self { done: vec![10; count], ..Self::default() }
    }

    /// One look after another second, in which the tasks went on at these speeds, in percent of the
    /// usual. Gives the news.
    fn look(&mut self, speeds: &[u64]) -> Option<bool> {
        self.now_ms += LOOK_MS;
        for (done, speed) in self.done.iter_mut().zip(speeds) {
            *done = (*done + 10 * speed * LOOK_MS / USUAL_MS).min(1_000);
        }
        let running: Vec<ReportedRun> = (0..).zip(&self.done).map(entry).collect();
        let usual = TypicalDuration { shorter_ms: USUAL_MS, longer_ms: USUAL_MS };
        self.watch.observe(&running, self.now_ms, |_| Some(usual))
    }
}

fn entry((job, done): (u64, &u64)) -> ReportedRun {
    let step = StepKey { job: JobId(job), occurrence: 0, step: 0 };
    let run = RunKey { task: step.task(0), run: 1 };
    let percent = u32::try_from(done / 10).unwrap();
    ReportedRun { run, checkpoint: Default::default(), percent, load: 0 }
}

#[test]
fn a_worker_at_a_sixth_of_its_speed_is_told_within_two_looks() {
    let mut worker = Watched::with_tasks(2);
    assert_eq!(worker.look(&[16, 16]), None, "the first look only begins the window");
    assert_eq!(worker.look(&[16, 16]), Some(true));
    assert_eq!(worker.look(&[16, 16]), None);
    assert_eq!(worker.look(&[16, 16]), Some(true), "it is told again while it lasts");
    assert_eq!(worker.look(&[100, 100]), Some(false));
    assert_eq!(worker.look(&[100, 100]), None);
}

#[test]
fn tasks_three_times_as_long_as_usual_make_no_worker_slow() {
    let mut worker = Watched::with_tasks(1);
    for _ in 0..8 {
        assert_eq!(worker.look(&[33]), None);
    }
}

#[test]
fn one_very_long_task_beside_a_usual_one_makes_no_worker_slow() {
    let mut worker = Watched::with_tasks(2);
    for _ in 0..4 {
        assert_eq!(worker.look(&[15, 80]), None);
    }
}

/// A long task that slows down further tells more than its length does.
#[test]
fn a_drop_of_speed_tells_also_of_short_tasks() {
    let mut worker = Watched::with_tasks(1);
    assert_eq!(worker.look(&[90]), None);
    assert_eq!(worker.look(&[90]), None);
    assert_eq!(worker.look(&[30]), Some(true));
}

#[test]
fn a_task_without_an_end_tells_nothing() {
    let mut watch = SpeedWatch::default();
    for look in 0..5 {
        let running = [entry((1, &500))];
        assert_eq!(watch.observe(&running, look * LOOK_MS, |_| None), None);
    }
}

/// Tells the log that a worker is slow, with its runs at so many percent.
fn slow_down(graph: &mut GraphBuilder, worker: WorkerKey, percent: u8) {
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
fn work_goes_to_slow_workers_last() {
    let mut graph = GraphBuilder::new(1, 3);
    slow_down(&mut graph, WorkerKey(0), 0);
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
fn a_worker_that_is_told_no_more_is_tried_again() {
    let mut graph = GraphBuilder::new(1, 2);
    slow_down(&mut graph, WorkerKey(0), 0);
    graph.now_ms += 6_000;
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    assert_eq!(workers_of(&graph, job), [WorkerKey(0)]);
}

/// An urgent gang stops sweeps on a healthy worker rather than take free room on a slow one.
#[test]
fn an_urgent_gang_does_not_crawl_while_sweeps_run() {
    let mut graph = GraphBuilder::new(1, 2);
    graph.guarantees.insert("team".into(), 8);
    slow_down(&mut graph, WorkerKey(0), 0);
    let sweep = graph.submit(1, 2, vec![tasks(8, 1)]);
    graph.plan();
    assert_eq!(workers_of(&graph, sweep), [WorkerKey(1)]);
    let urgent = graph.submit(2, 0, vec![gang(2, 4)]);
    graph.plan_past_stops();
    assert_eq!(workers_of(&graph, urgent), [WorkerKey(1)]);
}

/// A gang on two workers, one of which turns slow after some of its work, and a third that is free.
fn crawling_gang(priority: u8, percent: u8) -> (GraphBuilder, JobId) {
    let mut graph = GraphBuilder::new(1, 4);
    let job = graph.submit(1, priority, vec![gang(2, 8)]);
    graph.plan();
    graph.now_ms += 1_500;
    let (_, worker) = graph.runs_of(job)[0];
    slow_down(&mut graph, worker, percent);
    (graph, job)
}

#[test]
fn a_gang_leaves_a_worker_that_turned_slow() {
    let (mut graph, job) = crawling_gang(0, 5);
    let before = workers_of(&graph, job);
    let plan = graph.plan();
    let (run, _) = graph.runs_of(job)[0];
    let stop = GraphRecord::RunsStopped { epoch: 1, cause: StopCause::Slow, runs: vec![run] };
    assert_eq!(plan.records, [stop]);
    assert_eq!(graph.plan().records, [], "it is moved once");
    graph.obey_stops();
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 2);
    assert!(!workers_of(&graph, job).contains(&before[0]), "no member goes back there");
    graph.end_all(job, EndKind::Done);
}

#[test]
fn a_gang_that_is_nearly_done_stays() {
    let (mut graph, _) = crawling_gang(0, 80);
    assert_eq!(graph.plan().records, []);
}

#[test]
fn background_work_stays_on_slow_workers() {
    let (mut graph, _) = crawling_gang(2, 5);
    assert_eq!(graph.plan().records, []);
}

#[test]
fn nothing_is_stopped_while_there_is_no_room_elsewhere() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 0, vec![gang(2, 8)]);
    graph.plan();
    graph.now_ms += 1_500;
    let (_, worker) = graph.runs_of(job)[0];
    slow_down(&mut graph, worker, 5);
    assert_eq!(graph.plan().records, []);
}

/// What waits goes before what runs slowly: it has no room at all.
#[test]
fn free_room_goes_to_waiting_work_first() {
    let (mut graph, _) = crawling_gang(0, 5);
    let waiting = graph.submit(2, 0, vec![gang(1, 8)]);
    let plan = graph.plan();
    assert_eq!(graph.runs_of(waiting).len(), 1);
    assert_eq!(plan.records.len(), 1, "one free worker is left, and the gang needs two");
}

#[test]
fn a_worker_that_is_gone_is_slow_no_more() {
    let mut graph = GraphBuilder::new(1, 2);
    slow_down(&mut graph, WorkerKey(0), 0);
    let worker = WorkerKey(0);
    let cause = RemovalCause::Left;
    graph.apply(GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 }).unwrap();
    assert!(!graph.state.is_slow(worker, graph.now_ms));
    let told = GraphRecord::WorkerSpeedReported { worker, is_slow: true, progress: Vec::new() };
    assert!(graph.apply(told).is_err(), "a worker that is not there has no speed");
}
