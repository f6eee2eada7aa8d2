//! Loads on fleets whose instances differ in speed: background steps, then bursts of urgent gangs.

use std::collections::BTreeMap;

use cuminbarrow_ledger::codec;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::speed_profile::SpeedClass;
use cuminbarrow_taskgraph::speed_profile::SpeedProfiles;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;

/// Time between two planning rounds, in ms.
const ROUND_MS: u64 = 200;

/// 6 racks of 5 workers, whose tasks take the instance's permille of their length.
struct UnequalFleet {
    graph: GraphBuilder,
    permille: Vec<u64>,
    random: u64,
    jobs: u64,
    /// When runs end, in ms.
    ends: BTreeMap<RunKey, u64>,
}

impl UnequalFleet {
    fn new(permille: &[u64], is_enabled: bool, seed: u64) -> Self {
        let mut graph = GraphBuilder::new(6, 5);
        graph.options.speed_profiles = is_enabled;
        let permille = permille.iter().copied().cycle().take(30).collect();
        Self { graph, permille, random: seed, jobs: 0, ends: BTreeMap::new() }
    }

    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) % 1_000
    }

    /// Length of a task in permille: spread by 0.3; one in fifty is up to seven times as long.
    fn length_permille(&mut self) -> u64 {
        let spread: u64 = (0..4).map(|_| self.draw()).sum();
        let factor = if self.draw() < 20 { 3 + self.draw() % 5 } else { 1 };
        (spread * 52 / 100).saturating_sub(40) * factor
    }

    fn submit(&mut self, priority: u8, step: StepSpec) {
        self.jobs += 1;
        self.graph.submit(self.jobs, priority, vec![step]);
    }

    /// Plans and works for a time, with 9 background steps of 39 tasks of 8 s at any moment.
    fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.graph.now_ms + duration_ms;
        while self.graph.now_ms < until_ms {
            while self.graph.state.active.len() < 9 {
                self.submit(2, StepSpec { estimate_ms: 8_000, ..tasks(39, 1) });
            }
            self.graph.plan_across_stops();
            self.schedule_ends();
            self.graph.renew_for(ROUND_MS);
            for (run, worker) in self.graph.runs() {
                if self.ends[&run] <= self.graph.now_ms {
                    // A gang that is done stops the runs that follow.
                    let _ = self.graph.end(run, worker, EndKind::Done);
                }
            }
        }
    }

    fn schedule_ends(&mut self) {
        for (run, worker) in self.graph.runs() {
            if self.ends.contains_key(&run) {
                continue;
            }
            let step = run.task.step;
            let spec = self.graph.state.jobs[&step.job].step_spec(0).unwrap().clone();
            let length = if spec.gang { 1_000 } else { self.length_permille() };
            let run_ms = u64::from(spec.estimate_ms) * length / 1_000;
            // The start takes 250 ms. Members of a gang end together.
            let at_ms = self.graph.now_ms + 250 + run_ms * self.permille[worker.0 as usize] / 1_000;
            let members =
                self.ends.iter().filter(|(other, _)| spec.gang && other.task.step == step);
            let at_ms = members.map(|(_, at_ms)| *at_ms).chain([at_ms]).max().unwrap();
            self.ends.insert(run, at_ms);
            let members = self.ends.iter_mut().filter(|(other, _)| other.task.step == step);
            members.filter(|_| spec.gang).for_each(|(_, known_ms)| *known_ms = at_ms);
        }
    }

    /// Submits three urgent gangs; returns the time until all are done, in ms, and how many members
    /// ran on slower instances.
    fn burst(&mut self, step: StepSpec) -> (u64, usize) {
        let since_ms = self.graph.now_ms;
        (0..3).for_each(|_| self.submit(0, StepSpec { estimate_ms: 2_500, ..step.clone() }));
        let mut members = BTreeMap::new();
        let is_urgent = |fleet: &Self, run: &RunKey| {
            fleet.graph.state.jobs[&run.task.step.job].terms.priority == 0
        };
        for _ in 0..20 {
            self.run_for(ROUND_MS);
            let runs = self.graph.runs().into_iter().filter(|(run, _)| is_urgent(self, run));
            members.extend(runs);
        }
        let last_ms = members.keys().map(|run| self.ends[run]).max().unwrap();
        let is_slower = |worker: &&WorkerKey| self.permille[worker.0 as usize] > 1_200;
        (last_ms - since_ms, members.values().filter(is_slower).count())
    }

    fn classes(&self) -> Vec<SpeedClass> {
        self.graph.state.speed_classes().into_values().collect()
    }
}

/// Sums over several bursts on several fleets after half a minute of background work: the time until
/// the gangs were done, and their members on slower instances.
fn bursts(permille: &[u64], is_enabled: bool, step: &StepSpec) -> (u64, usize) {
    let mut sums = (0, 0);
    for seed in 1..=3 {
        let mut fleet = UnequalFleet::new(permille, is_enabled, seed);
        fleet.run_for(30_000);
        for _ in 0..3 {
            let (time_ms, slower_count) = fleet.burst(step.clone());
            sums = (sums.0 + time_ms, sums.1 + slower_count);
        }
    }
    sums
}

/// Guards against urgent gangs that are as slow as the slower third of the instances although the
/// background work before them has shown which these are.
#[test]
fn bursts_of_urgent_gangs_avoid_slower_instances() {
    for step in [gang(5, 2), StepSpec { same_rack: true, ..gang(5, 2) }] {
        let before = bursts(&[1_300, 1_000, 1_000], false, &step);
        let after = bursts(&[1_300, 1_000, 1_000], true, &step);
        assert!(after.1 * 2 <= before.1, "{before:?}, now {after:?}");
        assert!(after.0 < before.0, "{before:?}, now {after:?}");
    }
}

/// Guards against instances that count as slower or faster because of the lengths of their tasks.
#[test]
fn equal_instances_are_alike() {
    for seed in 1..=3 {
        let mut fleet = UnequalFleet::new(&[1_000], true, seed);
        for _ in 0..6 {
            fleet.run_for(10_000);
            let classes = fleet.classes();
            let unlike = classes.iter().filter(|class| **class != SpeedClass::Typical).count();
            assert!(unlike <= 4, "{unlike} of 30 are misjudged");
        }
    }
}

/// Guards against a worker that counts as slower for long after it was slow for some seconds.
#[test]
fn slow_phase_leaves_no_mark() {
    let worker = WorkerKey(0);
    let mut fleet = UnequalFleet::new(&[1_000], true, 2);
    fleet.run_for(30_000);
    fleet.permille[0] = 6_000;
    for report in 0..5 {
        fleet.run_for(2_000);
        let is_slow = report < 4;
        let record = GraphRecord::WorkerSpeedReported { worker, is_slow, progress: Vec::new() };
        fleet.graph.apply(record).unwrap();
    }
    fleet.permille[0] = 1_000;
    fleet.run_for(60_000);
    assert_eq!(fleet.classes()[0], SpeedClass::Typical);
}

/// Guards against a profile that is lost with the worker's process, or kept for good.
#[test]
fn profile_outlasts_the_worker_for_some_minutes() {
    let mut fleet = UnequalFleet::new(&[1_300, 1_000, 1_000], true, 1);
    fleet.run_for(60_000);
    let worker = WorkerKey(0);
    let mut spec = fleet.graph.state.workers[&worker].spec.clone();
    let learned = fleet.graph.state.speed_profiles.relative_time(&spec.instance);
    assert!(learned > 1_050);
    let cause = RemovalCause::Left;
    let removal = GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 };
    fleet.graph.apply(removal.clone()).unwrap();
    spec.started_ms += 1;
    let registration = GraphRecord::WorkerRegistered { agent: 7, spec: spec.clone() };
    fleet.graph.apply(registration).unwrap();
    assert_eq!(fleet.graph.state.speed_profiles.relative_time(&spec.instance), learned);
    let worker = fleet.graph.state.worker_on(&spec.instance).unwrap().0;
    fleet.graph.apply(GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 }).unwrap();
    fleet.graph.now_ms += 700_000;
    let spec = fleet.graph.state.workers[&WorkerKey(1)].spec.clone();
    fleet.graph.apply(GraphRecord::WorkerRegistered { agent: 8, spec }).unwrap();
    assert_eq!(fleet.graph.state.speed_profiles.relative_time("instance-r0w0"), 1_000);
}

/// Guards against an update after which the snapshots of the previous release can't be read.
#[test]
fn snapshot_without_profiles_is_decoded() {
    let mut fleet = UnequalFleet::new(&[1_300, 1_000], true, 1);
    fleet.run_for(15_000);
    let mut state = fleet.graph.state;
    let bytes = codec::encode(&state).unwrap();
    assert_eq!(codec::decode::<GraphState>(&bytes).unwrap(), state);
    let tail = codec::encode(&state.speed_profiles).unwrap().len() - 1;
    assert!(tail > 100);
    state.speed_profiles = SpeedProfiles::default();
    assert_eq!(codec::decode::<GraphState>(&bytes[..bytes.len() - tail]).unwrap(), state);
}
