//! Admission control under loads that a service can't do in useful time.

use std::collections::BTreeMap;

use cuminbarrow_taskgraph::admission::AdmissionDecision;
use cuminbarrow_taskgraph::admission::AdmissionView;
use cuminbarrow_taskgraph::admission::Submission;
use cuminbarrow_taskgraph::admission::decide_admission;
use cuminbarrow_taskgraph::admission_memory::AdmissionMemory;
use cuminbarrow_taskgraph::job_claim::JobClaim;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_state::JobPhase;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker::WorkerSpec;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::graph_builder::terms;
use crate::graph_builder::worker_spec;

/// Time in which a job of [`tasks`] is of use, in ms: three times an objective of 13 s.
const USEFUL_MS: u64 = 39_000;
/// Time between two rounds of the simulated planner, in ms.
const STEP_MS: u64 = 500;

/// A service of 16 accelerators with two entries, whose queue has measured run times.
struct FullService {
    graph: GraphBuilder,
    memories: [AdmissionMemory; 2],
    /// Actual run time of each task, in ms.
    run_ms: u64,
    has_admission: bool,
}

impl FullService {
    fn new(has_admission: bool, run_ms: u64) -> Self {
        let graph = GraphBuilder::new(2, 1);
        let mut service = Self { graph, memories: Default::default(), run_ms, has_admission };
        assert_eq!(service.submit(0, 1, tasks(16, 1)), None);
        service.run_for(10_000);
        service
    }

    fn submit(&mut self, entry: usize, id: u64, step: StepSpec) -> Option<u64> {
        self.submit_as(entry, id, step, terms(1))
    }

    /// Submits a job of one step. Returns the delay of a rejection, in s.
    fn submit_as(&mut self, entry: usize, id: u64, step: StepSpec, terms: JobTerms) -> Option<u64> {
        let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
        let delay_s = self.has_admission.then(|| self.decide(entry, id, &spec, &terms)).flatten();
        if delay_s.is_some() {
            return delay_s;
        }
        self.memories[entry].settle_handed(JobId(id));
        self.graph.submit_on(id, spec, terms);
        None
    }

    /// Decision of an entry, which remembers it.
    fn decide(&mut self, entry: usize, id: u64, spec: &JobSpec, terms: &JobTerms) -> Option<u64> {
        let now_ms = self.graph.now_ms;
        self.memories[entry].expire(now_ms);
        let view = AdmissionView {
            state: &self.graph.state,
            guarantees: &self.graph.guarantees,
            memory: &self.memories[entry],
            now_ms,
            memory_now_ms: now_ms,
        };
        let decision = decide_admission(&view, &Submission { job: JobId(id), spec, terms });
        let claim = JobClaim::new(&self.graph.state, JobId(id), spec, terms, now_ms);
        let AdmissionDecision::Reject(rejection) = decision else {
            self.memories[entry].record_handed(claim, now_ms);
            return None;
        };
        let retry_after_s = rejection.retry_after_s;
        self.memories[entry].record_rejected(claim, now_ms, retry_after_s * 1_000);
        Some(retry_after_s)
    }

    /// Lets the planner and the workers work.
    fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.graph.now_ms + duration_ms;
        while self.graph.now_ms < until_ms {
            self.graph.plan_across_stops();
            self.graph.now_ms += STEP_MS;
            self.graph.apply(GraphRecord::PlannerRenewed { epoch: 1 }).unwrap();
            for (run, worker) in self.graph.runs() {
                let placed_ms = self.graph.state.workers[&worker].runs[&run].placed_ms;
                if self.graph.now_ms >= placed_ms + self.run_ms {
                    self.graph.end(run, worker, EndKind::Done).unwrap();
                }
            }
        }
    }

    /// Submits jobs of 8 tasks with these ids. Returns the delays of the rejected ones, in s.
    fn burst(&mut self, ids: std::ops::Range<u64>, priority: u8) -> BTreeMap<u64, u64> {
        let mut submit = |id| Some((id, self.submit_as(0, id, tasks(8, 1), terms(priority))?));
        ids.filter_map(&mut submit).collect()
    }

    /// Fills the service with runs, and gives it as much work as it can do in useful time.
    fn fill(&mut self) -> BTreeMap<u64, u64> {
        self.burst(100..102, 1);
        self.run_for(STEP_MS);
        self.burst(102..160, 1)
    }

    /// Numbers of a team's accepted jobs that were done in useful time, and of the others.
    fn outcome(&self, team: &str) -> (usize, usize) {
        let jobs = self.graph.state.jobs.values().filter(|job| job.terms.team == team);
        let (useful, useless): (Vec<_>, Vec<_>) = jobs.partition(|job| {
            matches!(job.phase, JobPhase::Completed { at_ms } if at_ms <= job.accepted_ms + USEFUL_MS)
        });
        (useful.len(), useless.len())
    }
}

/// A burst fills the service three times over. Without the rule, two thirds of the callers wait for
/// results that come too late; with it, they know at once, and no less work is done in time.
#[test]
fn burst_is_accepted_as_far_as_it_can_be_done_in_useful_time() {
    let outcomes = [true, false].map(|has_admission| {
        let mut service = FullService::new(has_admission, 4_000);
        service.fill();
        service.run_for(150_000);
        service.outcome("team")
    });
    let [(useful, useless), (useful_without, useless_without)] = outcomes;
    assert!(useless <= 2 && useful >= useful_without, "{outcomes:?}");
    assert!(useless_without >= 30, "{outcomes:?}");
}

/// Estimates are half or one and a half times the actual run times. Nothing is rejected that the service
/// could do in useful time.
#[test]
fn wrong_estimates_do_not_reject_what_can_be_done() {
    for run_ms in [2_500, 8_000] {
        let mut service = FullService::new(true, run_ms);
        let rejected = service.fill();
        // Of 8 tasks each, two jobs run at a time.
        let doable = usize::try_from(USEFUL_MS / run_ms * 2).unwrap();
        assert!(60 - rejected.len() >= doable, "{run_ms}: {} of 60 rejected", rejected.len());
        assert!(!rejected.is_empty() || doable >= 28, "{run_ms}");
    }
}

/// One team floods the service with six times what it can do, while another one submits a job now and
/// then. Only the flood is rejected, and more of the other team's jobs are of use.
#[test]
fn flood_of_one_team_is_rejected_and_a_quiet_team_is_not() {
    let outcomes = [true, false].map(|has_admission| {
        let mut service = FullService::new(has_admission, 4_000);
        let quiet = JobTerms { team: "quiet".into(), ..terms(1) };
        let mut accepted = [0, 0];
        for second in 0..60 {
            accepted[0] += 3 - service.burst(1_000 + 3 * second..1_003 + 3 * second, 1).len();
            if second % 6 == 5 {
                let delay_s = service.submit_as(1, 500 + second, gang(2, 4), quiet.clone());
                accepted[1] += usize::from(delay_s.is_none());
            }
            service.run_for(1_000);
        }
        assert_eq!(service.submit_as(1, 400, gang(2, 4), terms(0)), None, "urgent work goes first");
        service.run_for(60_000);
        (accepted, service.outcome("team"), service.outcome("quiet"))
    });
    let [([flood, quiet], (useful, useless), (quiet_useful, _)), without] = outcomes;
    let ([flood_without, _], (useful_without, useless_without), (quiet_without, _)) = without;
    assert!(quiet == 10 && flood * 2 < flood_without, "{outcomes:?}");
    assert!(useful >= useful_without && useless * 4 < useless_without + useless, "{outcomes:?}");
    assert!(quiet_useful > quiet_without, "{outcomes:?}");
}

/// The service is full but for accelerators that only narrow tasks can use, or for a rack that another
/// label excludes. Jobs that fit there are accepted, however long the others' queue is.
#[test]
fn job_whose_shape_has_capacity_is_accepted() {
    let mut service = FullService::new(true, 4_000);
    for id in 100..140 {
        service.submit(0, id, gang(1, 6));
        service.run_for(if id < 102 { STEP_MS } else { 0 });
    }
    assert!(service.submit(0, 300, gang(1, 6)).is_some(), "no worker has 6 free");
    assert_eq!(service.submit(0, 301, gang(2, 2)), None, "two workers have 2 free");

    let on_rack = |rack: &str| StepSpec { required_label: Some(rack.into()), ..gang(1, 8) };
    let mut service = FullService::new(true, 4_000);
    service.submit(0, 99, on_rack("r1"));
    for id in 100..140 {
        service.submit(0, id, on_rack("r0"));
        service.run_for(if id < 102 { STEP_MS } else { 0 });
    }
    assert!(service.submit(0, 300, on_rack("r0")).is_some());
    assert_eq!(service.submit(0, 301, on_rack("r1")), None, "its rack is free in 4 s");
    assert_eq!(service.submit(0, 302, gang(1, 8)), None, "any rack will do");
}

/// Jobs that must not be rejected although the service is full.
#[test]
fn exempt_jobs_are_accepted_by_a_full_service() {
    let mut service = FullService::new(true, 4_000);
    assert!(service.burst(100..160, 1).is_empty(), "nothing is placed yet");
    assert_eq!(service.submit(0, 160, tasks(17, 1)), None, "less than half is in use");
    service.run_for(STEP_MS);
    let rejected = service.burst(1_000..1_060, 1);
    assert!(service.burst(2_000..2_060, 0).len() >= 30);
    let covered = JobTerms { team: "covered".into(), queue: "unmeasured".into(), ..terms(0) };
    let urgent = |estimate_ms| StepSpec { estimate_ms, ..gang(1, 8) };
    assert_eq!(service.submit_as(0, 3_000, urgent(120_000), covered.clone()), None);
    service.graph.guarantees.insert("covered".into(), 8);
    assert!(service.submit_as(0, 3_001, urgent(2_000), covered.clone()).is_some());
    service.graph.guarantees.insert("covered".into(), 16);
    assert_eq!(service.submit_as(0, 3_001, urgent(2_000), covered), None, "8 + 8 are guaranteed");
    let spec = |step: StepSpec| JobSpec { steps: vec![step], ..JobSpec::default() };
    let scheduled = JobSpec { occurrence_count: 2, ..spec(tasks(8, 1)) };
    let lasting = spec(StepSpec { long_running: true, ..tasks(8, 1) });
    let unfit = spec(tasks(1, 9));
    for exempt in [&scheduled, &lasting, &unfit] {
        assert_eq!(service.decide(0, 400, exempt, &terms(1)), None, "{exempt:?}");
    }
    let ordinary = spec(tasks(8, 1));
    assert_eq!(service.decide(0, 400, &ordinary, &terms(1)), None, "handed to the log before");
    assert_eq!(service.decide(0, 100, &ordinary, &terms(1)), None, "known to the state");
    let last = *rejected.keys().last().unwrap();
    let now_ms = service.graph.now_ms;
    service.memories[1].record_disturbance(now_ms - 12_000);
    assert!(service.decide(1, 401, &ordinary, &terms(1)).is_some(), "the log is long back");
    service.memories[1].record_disturbance(now_ms);
    assert_eq!(service.decide(1, 401, &ordinary, &terms(1)), None, "it may be on its way");
    assert!(service.decide(0, last, &ordinary, &terms(1)).is_some(), "rejected before");
    service.run_for(200_000);
    assert_eq!(service.decide(0, last, &ordinary, &terms(1)), None, "the service is idle again");
}

/// Two entries decide on the same burst before either sees the other's admissions. Each counts its own,
/// so together they exceed the limit by one entry's admissions at most, and neither stays behind.
#[test]
fn two_entries_that_decide_at_once_agree_once_the_log_is_applied() {
    let mut service = FullService::new(true, 4_000);
    service.burst(100..102, 1);
    service.run_for(STEP_MS);
    let spec = JobSpec { steps: vec![tasks(8, 1)], ..JobSpec::default() };
    let admitted = [0, 1].map(|entry| {
        let ids = (0..100).map(|number| 1_000 + 2 * number + entry as u64);
        ids.filter(|id| service.decide(entry, *id, &spec, &terms(1)).is_none())
            .collect::<Vec<u64>>()
    });
    let [first, second] = admitted.each_ref().map(Vec::len);
    assert!((15..=21).contains(&first) && (15..=21).contains(&second), "{admitted:?}");
    for id in admitted.iter().flatten() {
        service.graph.submit_on(*id, spec.clone(), terms(1));
    }
    for entry in 0..2 {
        assert!(service.decide(entry, 5_000, &spec, &terms(1)).is_some(), "entry {entry}");
    }
}

/// Callers that come back when they were told to get in before newcomers, at the entry that rejected
/// them and at another one. There are newcomers for four times the capacity, and they always call first.
#[test]
fn returning_callers_precede_newcomers() {
    for entry in 0..2 {
        let mut service = FullService::new(true, 4_000);
        let mut due: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        service.burst(100..102, 1);
        service.run_for(STEP_MS);
        for (id, delay_s) in service.burst(102..126, 1) {
            due.entry(service.graph.now_ms / 1_000 + delay_s).or_default().push(id);
        }
        let (mut returned, mut newcomers) = (Vec::new(), Vec::new());
        while !due.is_empty() {
            service.run_for(STEP_MS);
            let now_ms = service.graph.now_ms;
            newcomers.push(service.submit(entry, now_ms, tasks(8, 1)).is_none());
            for id in due.remove(&(now_ms / 1_000)).unwrap_or_default() {
                returned.push(service.submit(entry, id, tasks(8, 1)).is_none());
            }
        }
        let percent = |all: &[bool]| all.iter().filter(|is| **is).count() * 100 / all.len();
        let (returned, newcomers) = (percent(&returned), percent(&newcomers));
        assert!(returned >= 2 * newcomers, "entry {entry}: {returned} % and {newcomers} %");
    }
}

/// Callers that are rejected at once do not come back at once, and urgent ones come back sooner.
#[test]
fn returns_are_spread_and_urgent_callers_return_sooner() {
    let sums = [0, 2].map(|priority| {
        let mut service = FullService::new(true, 4_000);
        service.fill();
        let rejected = service.burst(1_000..1_200, priority);
        assert!(rejected.len() > 150, "{}", rejected.len());
        let same = |delay_s: &u64| rejected.values().filter(|other| *other == delay_s).count();
        assert!(rejected.values().all(|delay_s| same(delay_s) * 5 < rejected.len()));
        assert!(rejected.values().all(|delay_s| (1..=43).contains(delay_s)));
        rejected.values().sum::<u64>()
    });
    assert!(sums[0] < sums[1], "{sums:?}");
}

/// A full service whose two workers need 28 s for the accepted work. Either of them alone would need 56 s,
/// which is too long.
fn service_with_work_for_both_workers() -> FullService {
    let mut service = FullService::new(true, 4_000);
    assert!(service.burst(100..102, 1).is_empty());
    service.run_for(STEP_MS);
    assert!(service.burst(102..114, 1).is_empty());
    service
}

/// Guards against a caller that is admitted against the capacity of a data centre which is being evacuated.
#[test]
fn evacuated_capacity_admits_no_job() {
    let mut service = service_with_work_for_both_workers();
    let spec = WorkerSpec { data_centre: "evacuated".into(), ..worker_spec("r1w0", "r1") };
    service.graph.apply(GraphRecord::WorkerRegistered { agent: 7, spec }).unwrap();
    assert_eq!(service.submit(0, 300, tasks(8, 1)), None, "both data centres are in use");
    let data_centres = ["evacuated".into()].into();
    service.graph.apply(GraphRecord::EvacuationsRead { as_of: 3, data_centres }).unwrap();
    assert!(service.submit(0, 301, tasks(8, 1)).is_some());
}

/// Guards against jobs that are rejected because a worker is out of contact for a short time.
#[test]
fn suspected_worker_counts_as_capacity() {
    let mut service = service_with_work_for_both_workers();
    let worker = WorkerKey(1);
    service.graph.apply(GraphRecord::WorkerSuspected { epoch: 1, worker, agent: 7 }).unwrap();
    assert!(service.graph.state.workers[&worker].is_suspected());
    assert_eq!(service.submit(0, 300, tasks(8, 1)), None);
}

/// Guards against rejecting jobs that run for the shortest plausible time and are done in useful time.
#[test]
fn shortest_plausible_run_time_decides() {
    // Queue, mean run time of "queue", actual run time of the jobs, and their number.
    let cases =
        [("new", 4_000, 2_000, 24), ("queue", 2_000, 2_000, 24), ("queue", 8_000, 4_000, 12)];
    for case in cases {
        let (queue, mean_ms, run_ms, count) = case;
        let mut service = FullService::new(true, mean_ms);
        assert_eq!(u64::from(service.graph.state.durations["queue"].mean_ms), mean_ms);
        service.run_ms = run_ms;
        service.burst(100..102, 1);
        service.run_for(STEP_MS);
        let terms = JobTerms { queue: queue.into(), ..terms(1) };
        let mut submit = |id| service.submit_as(0, id, tasks(8, 1), terms.clone());
        let rejected = (200..200 + count).filter(|id| submit(*id).is_some()).count();
        assert_eq!(rejected, 0, "{case:?}");
        service.run_for(USEFUL_MS);
        assert_eq!(service.outcome("team"), (3 + count as usize, 0), "{case:?}");
    }
}
