//! A random workload from a seed: arrivals, actual run times, failures and cancellations of jobs,
//! and faults of workers.

use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;
use smol_str::SmolStr;

use crate::deployment::Deployment;
use crate::deployment::HOUR_MS;
use crate::deployment::JobKind;

/// Share of jobs that arrive in bursts.
const BURST_SHARE: f64 = 0.35;
/// Sigma of the log-normally distributed factor between declared and actual run time.
const DECLARED_SIGMA: f64 = 1.0;
/// Largest factor by which a declared run time is too long or too short.
const MAX_DECLARED_FACTOR: f64 = 10.0;
/// Share of jobs that fail on every worker.
const ALWAYS_FAILING_SHARE: f64 = 0.01;
/// Share of jobs whose first attempt fails by chance.
const FAILING_ATTEMPT_SHARE: f64 = 0.02;
/// Number of waves in which jobs are cancelled.
const CANCEL_WAVES: u64 = 4;
/// Share of cancelled jobs among those that arrive within 2 hours of a wave.
const CANCEL_SHARE: f64 = 0.15;
/// Shortest actual run time, in ms.
const MIN_RUN_MS: f64 = 60_000.0;

/// A job of the workload.
#[derive(Clone, Debug)]
pub(crate) struct LoadJob {
    /// Time of submission.
    pub(crate) at_ms: u64,
    pub(crate) team: SmolStr,
    pub(crate) spec: JobSpec,
    /// Actual run time of a run from start to completion, in ms.
    pub(crate) run_ms: u64,
    /// Whether every attempt fails, on any worker.
    pub(crate) always_fails: bool,
    /// Number of first attempts that fail by chance.
    pub(crate) failing_attempts: u16,
    /// Time of cancellation.
    pub(crate) cancel_ms: Option<u64>,
}

/// A period in which a worker is lost or fails every start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerFault {
    pub(crate) worker: usize,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
    /// Whether the worker fails every start; otherwise it is lost.
    pub(crate) fails_starts: bool,
}

/// All jobs and worker faults of a simulation.
pub(crate) struct Workload {
    pub(crate) jobs: Vec<LoadJob>,
    pub(crate) worker_faults: Vec<WorkerFault>,
}

impl Workload {
    pub(crate) fn new(deployment: &Deployment, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let arrivals = arrivals(deployment, &mut rng);
        let waves: Vec<u64> =
            (0..CANCEL_WAVES).map(|_| rng.random_range(0..deployment.horizon_ms)).collect();
        let jobs =
            arrivals.into_iter().map(|at_ms| job(deployment, at_ms, &waves, &mut rng)).collect();
        Self { jobs, worker_faults: worker_faults(deployment, &mut rng) }
    }
}

/// Arrival times: initial jobs at 0, then a mixture of uniform arrivals and bursts. The jobs of a
/// burst arrive 2 minutes after its start on average.
fn arrivals(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Vec<u64> {
    let mut times = vec![0; deployment.initial_jobs];
    let bursts = 4 + deployment.jobs / 60;
    let burst_starts: Vec<u64> =
        (0..bursts).map(|_| rng.random_range(0..deployment.horizon_ms)).collect();
    let spread = Exp::new(1.0 / 120_000.0).expect("the rate is positive");
    for _ in 0..deployment.jobs {
        let is_burst = rng.random_bool(BURST_SHARE);
        let time = if is_burst {
            let burst_start = burst_starts[rng.random_range(0..burst_starts.len())];
            let delay: f64 = spread.sample(rng);
            burst_start + delay as u64
        } else {
            rng.random_range(0..deployment.horizon_ms)
        };
        times.push(time.min(deployment.horizon_ms));
    }
    times.sort_unstable();
    times
}

/// Draws a job that arrives at `at_ms`; `waves` are the times of the cancellation waves.
fn job(deployment: &Deployment, at_ms: u64, waves: &[u64], rng: &mut ChaCha8Rng) -> LoadJob {
    let kind = pick_kind(&deployment.job_kinds, rng);
    let run = LogNormal::new(kind.median_run_ms.ln(), kind.run_sigma).expect("sigma is finite");
    let run_ms = run.sample(rng).clamp(MIN_RUN_MS, 24.0 * HOUR_MS as f64);
    let error = LogNormal::new(0.0, DECLARED_SIGMA).expect("sigma is finite");
    let factor = error.sample(rng).clamp(1.0 / MAX_DECLARED_FACTOR, MAX_DECLARED_FACTOR);
    let repeatable = rng.random_bool(kind.repeatable);
    let slack = rng.random_range(1.0..5.0) * run_ms + 600_000.0;
    let deadline_ms = rng.random_bool(0.7).then_some(at_ms + (run_ms + slack) as u64);
    let per_member = Resources {
        cores: kind.cores,
        memory_gib: kind.memory_gib,
        accelerators: rng.random_range(kind.accelerators.0..=kind.accelerators.1),
        slots: 1,
        connections: 1,
    };
    let spec = JobSpec {
        shape: Shape {
            members: rng.random_range(kind.members.0..=kind.members.1),
            per_member,
            span: kind.span,
        },
        repeatable,
        checkpointable: repeatable && rng.random_bool(kind.checkpointable),
        urgent: rng.random_bool(kind.urgent),
        deadline_ms,
        declared_run_ms: (run_ms * factor) as u64,
        payload: SmolStr::default(),
    };
    let is_in_wave = waves.iter().any(|wave| at_ms.abs_diff(*wave) < 2 * HOUR_MS);
    let cancel_ms = (is_in_wave && rng.random_bool(CANCEL_SHARE)).then(|| at_ms + HOUR_MS / 2);
    let team = &deployment.teams[rng.random_range(0..deployment.teams.len())];
    LoadJob {
        at_ms,
        team: team.name.clone(),
        spec,
        run_ms: run_ms as u64,
        always_fails: rng.random_bool(ALWAYS_FAILING_SHARE),
        failing_attempts: u16::from(rng.random_bool(FAILING_ATTEMPT_SHARE)),
        cancel_ms,
    }
}

/// Picks a kind of job at random by weight.
fn pick_kind(job_kinds: &[JobKind], rng: &mut ChaCha8Rng) -> JobKind {
    let total: u32 = job_kinds.iter().map(|kind| kind.weight).sum();
    let mut pick = rng.random_range(0..total);
    for kind in job_kinds {
        if pick < kind.weight {
            return *kind;
        }
        pick -= kind.weight;
    }
    job_kinds[0]
}

/// Faults of workers drawn at random: one loss for every ten workers, and one worker that fails
/// every start for a while.
fn worker_faults(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Vec<WorkerFault> {
    let count = deployment.workers.len();
    let mut worker_faults = Vec::new();
    for index in 0..=count / 10 {
        let from_ms = rng.random_range(0..deployment.horizon_ms);
        let duration_ms = rng.random_range(HOUR_MS / 6..HOUR_MS * 2);
        worker_faults.push(WorkerFault {
            worker: rng.random_range(0..count),
            from_ms,
            until_ms: from_ms + duration_ms,
            fails_starts: index == 0,
        });
    }
    worker_faults
}
