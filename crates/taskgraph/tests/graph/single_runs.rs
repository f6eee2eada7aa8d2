//! Property test: whatever its step's kind, a task has one run at a time, or two if its step is
//! speculative, and none after an end as done was acknowledged.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_ledger::codec;
use cuminbarrow_taskgraph::graph_state::GraphEffect;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::record::RunEnd;
use cuminbarrow_taskgraph::record::TaskPlacement;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::task_key::TaskKey;
use cuminbarrow_taskgraph::worker::StopCause;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker::WorkerStatus;
use proptest::prelude::*;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::graph_builder::worker_spec;

/// Time for which a job may be submitted again, in ms. It is shorter than the retention of ended jobs.
const RESUBMISSION_PERIOD_MS: u64 = 120_000;

#[derive(Clone, Copy, Debug)]
enum StepKind {
    Plain,
    Gang,
    Speculative,
    LongRunning,
    Apart,
}

#[derive(Clone, Debug)]
enum Event {
    Submit { kinds: Vec<StepKind>, width: u32, occurrences: u32 },
    SubmitAgain(usize),
    Cancel(usize),
    End(usize, EndKind),
    EndLate(usize),
    Stop(usize),
    Copy(usize, usize),
    Remove(usize),
    Register { place: usize, started_ms: u64, is_elsewhere: bool },
    JumpAhead(u64),
    Restore,
    Wait(u64),
}

fn step_kind() -> impl Strategy<Value = StepKind> {
    prop_oneof![
        3 => Just(StepKind::Plain),
        1 => Just(StepKind::Gang),
        1 => Just(StepKind::Speculative),
        1 => Just(StepKind::LongRunning),
        1 => Just(StepKind::Apart),
    ]
}

fn end_kind() -> impl Strategy<Value = EndKind> {
    prop_oneof![
        4 => Just(EndKind::Done),
        1 => Just(EndKind::Failed),
        1 => Just(EndKind::Stopped),
        1 => Just(EndKind::Lapsed),
        1 => Just(EndKind::Vanished),
        1 => Just(EndKind::Refused),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (prop::collection::vec(step_kind(), 1..3), 1_u32..4, 0_u32..4)
            .prop_map(|(kinds, width, occurrences)| Event::Submit { kinds, width, occurrences }),
        3 => any::<usize>().prop_map(Event::SubmitAgain),
        1 => any::<usize>().prop_map(Event::Cancel),
        6 => (any::<usize>(), end_kind()).prop_map(|(run, kind)| Event::End(run, kind)),
        3 => any::<usize>().prop_map(Event::EndLate),
        1 => any::<usize>().prop_map(Event::Stop),
        3 => (any::<usize>(), any::<usize>()).prop_map(|(run, worker)| Event::Copy(run, worker)),
        2 => any::<usize>().prop_map(Event::Remove),
        2 => (any::<usize>(), 1_u64..5, any::<bool>()).prop_map(|(place, started_ms, is_elsewhere)| {
            Event::Register { place, started_ms, is_elsewhere }
        }),
        1 => (0_u64..1_000_000).prop_map(Event::JumpAhead),
        1 => Just(Event::Restore),
        3 => (0_u64..4_000).prop_map(Event::Wait),
    ]
}

fn step_of(kind: StepKind, width: u32) -> StepSpec {
    match kind {
        StepKind::Plain => tasks(width, 1),
        StepKind::Gang => gang(width, 1),
        StepKind::Speculative => StepSpec { speculative: true, ..tasks(width, 1) },
        StepKind::LongRunning => StepSpec { long_running: true, ..tasks(width, 1) },
        StepKind::Apart => StepSpec { max_per_worker: 1, ..tasks(width, 1) },
    }
}

fn pick<T>(items: Vec<T>, number: usize) -> Option<T> {
    let count = items.len();
    items.into_iter().nth(number.checked_rem(count)?)
}

struct History {
    graph: GraphBuilder,
    submitted: BTreeMap<JobId, (u64, JobSpec)>,
    /// Runs of workers that were removed, which may yet be reported as done.
    abandoned: Vec<RunKey>,
    /// Tasks of which an end as done was acknowledged.
    done: BTreeSet<TaskKey>,
}

impl History {
    fn step_spec(&self, task: TaskKey) -> Option<&StepSpec> {
        let (_, spec) = self.submitted.get(&task.step.job)?;
        spec.steps.get(usize::from(task.step.step))
    }

    /// Whether an occurrence has tasks that are not done. The ends of its abandoned runs are
    /// acknowledged once it has finished: their leases have expired, so they count for nothing.
    fn is_unfinished(&self, step: StepKey) -> bool {
        let job = self.graph.state.jobs.get(&step.job);
        job.is_some_and(|job| job.is_active() && !job.finished.contains(&step.occurrence))
    }

    fn submit(&mut self, kinds: &[StepKind], width: u32, occurrences: u32) {
        let number = self.submitted.len() as u64 + 1;
        let mut steps: Vec<StepSpec> = kinds.iter().map(|kind| step_of(*kind, width)).collect();
        if let Some(last) = steps.get_mut(1) {
            last.depends_on = vec![0];
        }
        let spec = JobSpec {
            steps,
            occurrence_count: occurrences,
            start_at_ms: self.graph.now_ms,
            interval_ms: 1_000,
            ..JobSpec::default()
        };
        let job = self.graph.submit_spec(number, 1, spec.clone());
        self.submitted.insert(job, (self.graph.now_ms, spec));
    }

    fn submit_again(&mut self, number: usize) {
        let now_ms = self.graph.now_ms;
        let recent = self.submitted.iter();
        let recent = recent.filter(|(_, (at_ms, _))| now_ms < at_ms + RESUBMISSION_PERIOD_MS);
        let recent = recent.map(|(job, (_, spec))| (*job, spec.clone())).collect();
        if let Some((job, spec)) = pick(recent, number) {
            self.graph.submit_spec(job.0, 1, spec);
        }
    }

    /// Reports the end of a run, and notes whether it is acknowledged to the worker.
    fn end(&mut self, run: RunKey, worker: WorkerKey, kind: EndKind) {
        let is_superseded = self.is_unfinished(run.task.step)
            && self
                .graph
                .runs()
                .iter()
                .any(|(other, _)| other.task == run.task && other.run > run.run);
        let ends = vec![RunEnd { run, kind, checkpoint: Default::default() }];
        let effect = self.graph.apply(GraphRecord::RunsEnded { worker, ends }).unwrap();
        let GraphEffect::Ended { superseded } = effect else { panic!("{effect:?}") };
        let spec = self.step_spec(run.task).unwrap();
        if kind != EndKind::Done || spec.long_running || superseded.contains(&run) {
            return;
        }
        let is_refused = is_superseded && !spec.speculative;
        assert!(!is_refused, "the end of {run} was acknowledged although a later run has begun");
        self.done.insert(run.task);
    }

    fn remove(&mut self, worker: WorkerKey) {
        let agent = self.graph.state.workers[&worker].agent;
        let _ = self.graph.apply(GraphRecord::WorkerSuspected { epoch: 1, worker, agent });
        let known = &self.graph.state.workers[&worker];
        let WorkerStatus::Suspected { since_offset } = known.status else { return };
        self.abandoned.extend(known.runs.keys());
        let cause = RemovalCause::Lapsed;
        let removal = GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: since_offset };
        self.graph.apply(removal).unwrap();
    }

    fn register(&mut self, place: usize, started_ms: u64, is_elsewhere: bool) {
        let (rack, place) = (place % 2, place / 2 % 3);
        let mut spec = worker_spec(&format!("r{rack}w{place}"), &format!("r{rack}"));
        spec.started_ms = started_ms;
        if is_elsewhere {
            spec.instance = format!("elsewhere-{}", spec.name).into();
        }
        let _ = self.graph.apply(GraphRecord::WorkerRegistered { agent: 9, spec });
    }

    /// Places one more run of a task that has one, which only a speculative step allows.
    fn copy(&mut self, run: RunKey, worker: WorkerKey) {
        let step = run.task.step;
        let state = self.graph.state.jobs.get(&step.job);
        let state = state.and_then(|job| job.steps.get(&(step.occurrence, step.step)));
        let index = run.task.index;
        let Some(state) = state.filter(|state| state.has_task(index)) else { return };
        let tasks = vec![TaskPlacement { index, run: state.last_run_of(index) + 1, worker }];
        let _ = self.graph.apply(GraphRecord::RunsPlaced { epoch: 1, step, tasks });
    }

    fn apply_event(&mut self, event: Event) {
        let workers: Vec<WorkerKey> = self.graph.state.workers.keys().copied().collect();
        let runs = self.graph.runs();
        match event {
            Event::Submit { kinds, width, occurrences } => self.submit(&kinds, width, occurrences),
            Event::SubmitAgain(number) => self.submit_again(number),
            Event::Cancel(number) => {
                let active = self.graph.state.active.iter().copied().collect();
                if let Some(job) = pick(active, number) {
                    self.graph.apply(GraphRecord::JobCancelled { job }).unwrap();
                }
            }
            Event::End(number, kind) => {
                if let Some((run, worker)) = pick(runs, number) {
                    self.end(run, worker, kind);
                }
            }
            Event::EndLate(number) => {
                let run = pick(self.abandoned.clone(), number);
                if let (Some(run), Some(worker)) = (run, pick(workers, number)) {
                    self.end(run, worker, EndKind::Done);
                }
            }
            Event::Stop(number) => {
                if let Some((run, _)) = pick(runs, number) {
                    let (cause, runs) = (StopCause::Reclaimed, vec![run]);
                    self.graph.apply(GraphRecord::RunsStopped { epoch: 1, cause, runs }).unwrap();
                }
            }
            Event::Copy(run, worker) => {
                if let (Some((run, _)), Some(worker)) = (pick(runs, run), pick(workers, worker)) {
                    self.copy(run, worker);
                }
            }
            Event::Remove(number) => {
                if let Some(worker) = pick(workers, number) {
                    self.remove(worker);
                }
            }
            Event::Register { place, started_ms, is_elsewhere } => {
                self.register(place, started_ms, is_elsewhere);
            }
            Event::JumpAhead(jump_ms) => {
                self.graph.now_ms += jump_ms;
                self.graph.apply(GraphRecord::PlannerRenewed { epoch: 1 }).unwrap();
                self.graph.now_ms -= jump_ms;
            }
            Event::Restore => {
                self.graph.state =
                    codec::decode(&codec::encode(&self.graph.state).unwrap()).unwrap();
            }
            Event::Wait(ms) => self.graph.now_ms += ms,
        }
    }

    fn check(&self, before: &BTreeSet<RunKey>) {
        let mut counts: BTreeMap<TaskKey, u32> = BTreeMap::new();
        for (run, _) in self.graph.runs() {
            *counts.entry(run.task).or_default() += 1;
            let is_new = !before.contains(&run);
            assert!(
                !(is_new && self.done.contains(&run.task)),
                "{run} began after its task was done"
            );
        }
        for (task, count) in counts {
            let spec = self.step_spec(task).unwrap();
            assert!(count <= 1 + u32::from(spec.speculative), "{task} has {count} runs at once");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against two runs of a task of any kind of step, and against a run of a task that is
    /// done.
    #[test]
    fn task_of_any_kind_of_step_runs_once_in_any_history(
        events in prop::collection::vec(event(), 1..100),
    ) {
        let graph = GraphBuilder::new(2, 3);
        let (submitted, abandoned, done) = Default::default();
        let mut history = History { graph, submitted, abandoned, done };
        for event in events {
            let before = history.graph.runs().into_iter().map(|(run, _)| run).collect();
            history.apply_event(event);
            history.graph.plan();
            history.check(&before);
        }
    }
}
