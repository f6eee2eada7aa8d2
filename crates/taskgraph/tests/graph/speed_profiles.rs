//! Loads on fleets whose instances differ in speed: background steps, then bursts of urgent gangs.

use std::collections::BTreeMap;

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::speed_profile::SpeedClass;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;

/// 6 racks of 5 workers, whose tasks take the instance's permille of their length.
struct UnequalFleet {
    graph: GraphBuilder,
    permille: Vec<u64>,
    random: u64,
    jobs: u64,
    /// Workers of all runs, and when they end, in ms.
    ends: BTreeMap<RunKey, (WorkerKey, u64)>,
}

impl UnequalFleet {
    fn new(permille: &[u64], is_enabled: bool, seed: u64) -> Self {
        let mut graph = GraphBuilder::new(6, 5);
        graph.options.speed_profiles = is_enabled;
        let permille = permille.iter().copied().cycle().take(30).collect();
        Self { graph, permille, random: seed, jobs: 0, ends: BTreeMap::new() }
    }

    /// Next number below 1,000.
    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) % 1_000
    }

    fn submit(&mut self, priority: u8, step: StepSpec) -> JobId {
        self.jobs += 1;
        self.graph.submit(self.jobs, priority, vec![step])
    }

    /// Plans and works for a time, with 9 background steps of 39 tasks of 8 s at any moment.
    fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.graph.now_ms + duration_ms;
        while self.graph.now_ms < until_ms {
            while self.graph.state.active.len() < 9 {
                self.submit(2, tasks(39, 1));
            }
            self.graph.plan_across_stops();
            for (run, worker) in self.graph.runs() {
                if !self.ends.contains_key(&run) {
                    let at_ms = self.graph.now_ms + self.run_ms(run, worker);
                    self.ends.insert(run, (worker, at_ms));
                }
            }
            self.graph.renew_for(200);
            for (run, worker) in self.graph.runs() {
                if self.ends[&run].1 <= self.graph.now_ms {
                    self.graph.end(run, worker, EndKind::Done).unwrap();
                }
            }
        }
    }

    /// Run time from the placement: 250 ms to start, and 8 s, spread by 0.3, of which one in fifty is up
    /// to seven times as long; 2.5 s for a gang, on its slowest worker.
    fn run_ms(&mut self, run: RunKey, worker: WorkerKey) -> u64 {
        let job = run.task.step.job;
        let permille_of = |worker: WorkerKey| self.permille[worker.0 as usize];
        if self.graph.state.jobs[&job].step_spec(0).unwrap().gang {
            let members = self.graph.runs_of(job).into_iter();
            return 250 + members.map(|(_, on)| permille_of(on)).max().unwrap() * 5 / 2;
        }
        let permille = permille_of(worker);
        let spread = (0..4).map(|_| self.draw()).sum::<u64>() * 52 / 100;
        let factor = if self.draw() < 20 { 3 + self.draw() % 5 } else { 1 };
        250 + spread.saturating_sub(40) * factor * permille * 8 / 1_000
    }
}

/// Time until all of three urgent gangs are done, in ms, and number of their members on slower instances,
/// summed over three bursts on each of three fleets after half a minute of background work.
fn bursts(is_enabled: bool, step: &StepSpec) -> (u64, usize) {
    let mut sums = (0, 0);
    for seed in 1..=3 {
        let mut fleet = UnequalFleet::new(&[1_300, 1_000, 1_000], is_enabled, seed);
        fleet.run_for(30_000);
        for _ in 0..3 {
            let since_ms = fleet.graph.now_ms;
            let jobs = [(); 3].map(|()| fleet.submit(0, step.clone()));
            fleet.run_for(5_000);
            let runs = fleet.ends.iter().filter(|(run, _)| jobs.contains(&run.task.step.job));
            let ends: Vec<(WorkerKey, u64)> = runs.map(|(_, end)| *end).collect();
            sums.0 += ends.iter().map(|(_, at_ms)| at_ms - since_ms).max().unwrap();
            sums.1 += ends.iter().filter(|(on, _)| fleet.permille[on.0 as usize] > 1_000).count();
        }
    }
    sums
}

/// Guards against urgent gangs that are as slow as the slower third of the instances although the
/// background work before them has shown which these are.
#[test]
fn bursts_of_urgent_gangs_avoid_slower_instances() {
    for step in [gang(5, 2), StepSpec { same_rack: true, ..gang(5, 2) }] {
        let (before, after) = (bursts(false, &step), bursts(true, &step));
        assert!(after.1 * 2 <= before.1 && after.0 < before.0, "{before:?}, now {after:?}");
    }
}

/// Guards against instances that count as slower or faster because of the lengths of their tasks.
#[test]
fn equal_instances_are_alike() {
    for seed in 1..=3 {
        let mut fleet = UnequalFleet::new(&[1_000], true, seed);
        for _ in 0..6 {
            fleet.run_for(10_000);
            let classes = fleet.graph.state.speed_classes();
            let unlike = classes.values().filter(|class| **class != SpeedClass::Typical).count();
            assert!(unlike <= 4, "{unlike} of 30 are misjudged");
        }
    }
}

/// Two racks of two workers after three steps of equal tasks, of which the first `long_count` take 6 times
/// as long. `is_reported` says whether the agent of the first worker reports it as slow meanwhile.
fn graph_after_long_runs(long_count: usize, is_reported: bool) -> GraphBuilder {
    let mut graph = GraphBuilder::new(2, 2);
    graph.options.speed_profiles = true;
    let job = graph.submit(1, 2, vec![tasks(32, 1); 3]);
    for _ in 0..3 {
        graph.plan();
        let runs = graph.runs_of(job);
        for (ends, reports) in [(&runs[long_count..], 4), (&runs[..long_count], 20), (&[], 1)] {
            for _ in 0..reports {
                graph.renew_for(2_000);
                let (worker, is_slow) = (WorkerKey(0), is_reported && reports > 1);
                let progress = Vec::new();
                let report = GraphRecord::WorkerSpeedReported { worker, is_slow, progress };
                graph.apply(report).unwrap();
            }
            ends.iter().for_each(|(run, on)| drop(graph.end(*run, *on, EndKind::Done)));
        }
    }
    graph
}

/// Guards against an instance that counts as slower because of single long tasks, or for long after it was
/// slow for some seconds.
#[test]
fn long_tasks_and_slow_phases_leave_no_mark() {
    for (long_count, is_reported) in [(1, false), (8, true)] {
        let classes = graph_after_long_runs(long_count, is_reported).state.speed_classes();
        assert!(classes.into_values().all(|class| class == SpeedClass::Typical));
    }
}

/// Guards against slower instances that look normal again because background work runs on them only.
#[test]
fn slower_instances_are_not_forgotten_among_themselves() {
    let mut graph = graph_after_long_runs(16, false);
    for id in 2..22 {
        let sweep = graph.submit(id, 2, vec![tasks(16, 1)]);
        graph.plan();
        graph.renew_for(8_000);
        assert!(graph.runs_of(sweep).iter().all(|(_, on)| *on <= WorkerKey(1)));
        graph.end_all(sweep, EndKind::Done);
    }
    assert!(graph.state.speed_profiles.relative_time("instance-r0w0") > 1_110);
}

/// Guards against a gang on a rack with a slower worker while the other rack has none.
#[test]
fn urgent_gang_takes_a_rack_without_slower_workers() {
    let mut graph = graph_after_long_runs(8, false);
    let job = graph.submit(2, 0, vec![StepSpec { same_rack: true, ..gang(2, 8) }]);
    graph.plan();
    assert!(graph.runs_of(job).iter().all(|(_, on)| graph.rack_of(*on) == "r1"));
    assert_eq!(graph.runs_of(job).len(), 2);
}

/// Guards against preemption on a slower worker where its runs lose only 0.4 s less work.
#[test]
fn urgent_gang_preempts_on_faster_workers() {
    let mut graph = graph_after_long_runs(8, false);
    let sweep = graph.submit(2, 2, vec![tasks(32, 1)]);
    graph.plan();
    graph.renew_for(400);
    graph.submit(3, 2, vec![tasks(8, 1)]);
    for (run, on) in graph.runs_of(sweep).into_iter().filter(|(_, on)| *on == WorkerKey(0)) {
        graph.end(run, on, EndKind::Done).unwrap();
    }
    graph.plan();
    graph.renew_for(1_200);
    let urgent = graph.submit(4, 0, vec![gang(1, 1)]);
    graph.plan_across_stops();
    assert_ne!(graph.runs_of(urgent)[0].1, WorkerKey(0));
}

/// Guards against a profile that is lost with the worker's process, or kept for good.
#[test]
fn profile_outlasts_the_worker_for_some_minutes() {
    let mut graph = graph_after_long_runs(8, false);
    let specs = [0, 1].map(|key| graph.state.workers[&WorkerKey(key)].spec.clone());
    let cause = RemovalCause::Left;
    for (since_ms, is_kept) in [(1_000, true), (700_000, false)] {
        let (worker, _) = graph.state.worker_on(&specs[0].instance).unwrap();
        graph.apply(GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 }).unwrap();
        graph.now_ms += since_ms;
        for spec in specs.clone().into_iter().rev() {
            graph.apply(GraphRecord::WorkerRegistered { agent: 7, spec }).unwrap();
        }
        let is_slower = graph.state.speed_profiles.relative_time(&specs[0].instance) > 1_110;
        assert_eq!(is_slower, is_kept, "after {since_ms} ms");
    }
}
