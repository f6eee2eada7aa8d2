//! Property tests: the invariants of the replicated state hold after any sequence of events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::record::RunEnd;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::task_key::TaskKey;
use proptest::prelude::*;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::graph_builder::worker_spec;

#[derive(Clone, Debug)]
enum Event {
    Submit { priority: u8, width: u32, accelerators: u32, is_gang: bool },
    Cancel(usize),
    End(usize, EndKind),
    Suspect(usize),
    Remove(usize),
    Register(usize),
    Drain(usize),
    Speed(usize, bool, u8),
    Wait(u64),
}

fn end_kind() -> impl Strategy<Value = EndKind> {
    prop_oneof![
        4 => Just(EndKind::Done),
        1 => Just(EndKind::Failed),
        1 => Just(EndKind::Stopped),
        1 => Just(EndKind::Vanished),
        1 => Just(EndKind::Refused),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u8..3, 1_u32..6, prop_oneof![Just(1), Just(2), Just(4), Just(8)], any::<bool>())
            .prop_map(|(priority, width, accelerators, is_gang)| Event::Submit {
                priority, width, accelerators, is_gang
            }),
        1 => any::<usize>().prop_map(Event::Cancel),
        6 => (any::<usize>(), end_kind()).prop_map(|(run, kind)| Event::End(run, kind)),
        1 => any::<usize>().prop_map(Event::Suspect),
        1 => any::<usize>().prop_map(Event::Remove),
        1 => any::<usize>().prop_map(Event::Register),
        1 => any::<usize>().prop_map(Event::Drain),
        2 => (any::<usize>(), any::<bool>(), 0_u8..=100)
            .prop_map(|(worker, is_slow, percent)| Event::Speed(worker, is_slow, percent)),
        2 => (0_u64..3_000).prop_map(Event::Wait),
    ]
}

fn pick<T>(items: Vec<T>, number: usize) -> Option<T> {
    let count = items.len();
    items.into_iter().nth(number.checked_rem(count)?)
}

struct History {
    graph: GraphBuilder,
    jobs: u64,
    done: BTreeSet<TaskKey>,
}

impl History {
    fn apply_event(&mut self, event: Event) {
        let graph = &mut self.graph;
        let workers: Vec<_> = graph.state.workers.keys().copied().collect();
        match event {
            Event::Submit { priority, width, accelerators, is_gang } => {
                self.jobs += 1;
                let step =
                    if is_gang { gang(width, accelerators) } else { tasks(width, accelerators) };
                graph.submit(self.jobs, priority, vec![step]);
            }
            Event::Cancel(number) => {
                let jobs: Vec<_> = graph.state.active.iter().copied().collect();
                if let Some(job) = pick(jobs, number) {
                    graph.apply(GraphRecord::JobCancelled { job }).unwrap();
                }
            }
            Event::End(number, kind) => {
                if let Some((run, worker)) = pick(graph.runs(), number) {
                    let ends = vec![RunEnd { run, kind, checkpoint: Default::default() }];
                    graph.apply(GraphRecord::RunsEnded { worker, ends }).unwrap();
                    if kind == EndKind::Done {
                        self.done.insert(run.task);
                    }
                }
            }
            Event::Suspect(number) => {
                if let Some(worker) = pick(workers, number) {
                    let agent = graph.state.workers[&worker].agent;
                    let _ = graph.apply(GraphRecord::WorkerSuspected { epoch: 1, worker, agent });
                }
            }
            Event::Remove(number) => {
                if let Some(worker) = pick(workers, number) {
                    let cause = RemovalCause::Lapsed;
                    graph
                        .apply(GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 })
                        .unwrap();
                }
            }
            Event::Register(number) => {
                let (rack, place) = (number % 2, number / 2 % 3);
                let mut spec = worker_spec(&format!("r{rack}w{place}"), &format!("r{rack}"));
                spec.started_ms = 1 + number as u64 % 3;
                let _ = graph.apply(GraphRecord::WorkerRegistered { agent: 9, spec });
            }
            Event::Drain(number) => {
                if let Some(worker) = pick(workers, number) {
                    let until_ms = graph.now_ms + 2_000;
                    graph.apply(GraphRecord::WorkerDraining { worker, until_ms }).unwrap();
                }
            }
            Event::Speed(number, is_slow, percent) => {
                if let Some(worker) = pick(workers, number) {
                    let runs = graph.runs().into_iter().filter(|(_, on)| *on == worker);
                    let progress = runs.map(|(run, _)| (run, percent)).collect();
                    let report = GraphRecord::WorkerSpeedReported { worker, is_slow, progress };
                    graph.apply(report).unwrap();
                }
            }
            Event::Wait(ms) => graph.now_ms += ms,
        }
    }

    fn check(&self, placed_before: &BTreeSet<RunKey>) {
        let mut run_counts: BTreeMap<TaskKey, u32> = BTreeMap::new();
        for worker in self.graph.state.workers.values() {
            let held = worker
                .runs
                .values()
                .fold(ResourceAmounts::default(), |sum, run| sum.plus(&run.resources));
            assert_eq!(held, worker.used);
            assert!(worker.spec.resources.covers(&held), "a worker is overcommitted");
            for run in worker.runs.keys() {
                *run_counts.entry(run.task).or_default() += 1;
                let is_new = !placed_before.contains(run);
                assert!(
                    !(is_new && self.done.contains(&run.task)),
                    "{run} runs although its task is done"
                );
            }
        }
        assert!(run_counts.values().all(|count| *count == 1), "a task runs twice at once");
        self.check_gangs();
    }

    /// Unless it is being stopped, a gang has either all of its members placed or none.
    fn check_gangs(&self) {
        for (id, job) in &self.graph.state.jobs {
            for ((_, step), state) in &job.steps {
                let spec = job.spec.steps.get(usize::from(*step));
                let is_gang = spec.is_some_and(|spec| spec.gang);
                let count = spec.map_or(0, |spec| spec.count as usize);
                let placed = state.tasks().filter(|(_, task)| !task.current.is_empty()).count();
                if !is_gang || placed == 0 || placed == count || state.is_done() {
                    continue;
                }
                let runs = self.graph.runs_of(*id);
                let stops =
                    runs.iter().map(|(run, on)| self.graph.state.workers[on].runs[run].stop_cause);
                assert!(
                    stops.into_iter().all(|stop| stop.is_some()),
                    "a part of the gang of {id} keeps running"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_in_any_history(events in prop::collection::vec(event(), 1..80)) {
        let history = PlanningOptions { preemption_history: true, ..PlanningOptions::default() };
        let wide = PlanningOptions { shape_packing: true, wide_reserve: true, ..history };
        // Workers are reserved from ten on.
        for (options, workers) in [(PlanningOptions::default(), 3), (history, 3), (wide, 5)] {
            let mut graph = GraphBuilder::new(2, workers);
            graph.options = options;
            graph.guarantees.insert("team".into(), 16);
            let mut history = History { graph, jobs: 0, done: BTreeSet::new() };
            for event in events.clone() {
                let before: BTreeSet<RunKey> =
                    history.graph.runs().into_iter().map(|(run, _)| run).collect();
                history.apply_event(event);
                history.graph.plan();
                history.check(&before);
            }
        }
    }
}
