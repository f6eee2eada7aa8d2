//! Which runs leave a worker that runs everything slowly.
//!
//! Pattern: a worker turns slow for some seconds, and urgent tasks on it take several times as long
//! as elsewhere; a gang waits for its slowest member. A run is started anew on free room elsewhere if
//! that ends it clearly sooner than waiting does.

use std::collections::BTreeSet;

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::capacity_map::is_complete;
use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;
use crate::job_state::StepState;
use crate::job_terms::BACKGROUND_PRIORITY;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// How much longer a slow worker takes at least.
const SLOWDOWN_FACTOR: u64 = 4;
/// Longest time for which a worker is expected to stay slow, in ms. Most do for 5 to 8 s, and it takes
/// more than one to see it.
const EXPECTED_SLOWDOWN_MS: u64 = 5_000;
/// Time to stop a run and to start it elsewhere, in ms: the grace of a stop is up to 0.9 s.
const MIGRATION_OVERHEAD_MS: u64 = 900;
/// A move has to be worth this share of the time that it takes, in percent: estimates are rough.
const MIN_GAIN_PERCENT: u64 = 30;

/// A run seen on a slow worker.
#[derive(Clone, Copy, Debug)]
struct SlowRun<'a> {
    run: RunKey,
    job: &'a JobState,
    spec: &'a StepSpec,
    state: &'a StepState,
}

/// Runs to stop, so that they begin anew on workers that are not slow. Takes the room for them from
/// `map`; of a gang one member is named.
pub fn slow_worker_migrations(
    state: &GraphState,
    map: &mut CapacityMap<'_>,
    now_ms: u64,
) -> Vec<RunKey> {
    let mut migrations = Vec::new();
    let mut gangs: BTreeSet<StepKey> = BTreeSet::new();
    for (worker, slow) in &state.slow_workers {
        if !state.is_slow(*worker, now_ms) {
            continue;
        }
        for (run, percent) in &slow.progress {
            let Some(slow_run) = slow_run(state, *worker, *run) else { continue };
            let step = run.task.step;
            let is_first = !slow_run.spec.gang || gangs.insert(step);
            let typical_ms = state.typical_run_ms(slow_run.job, slow_run.spec);
            if is_first
                && is_worth_migrating(slow_run.spec, typical_ms, *percent)
                && reserve_elsewhere(map, slow_run)
            {
                migrations.push(*run);
            }
        }
    }
    migrations
}

/// The run, if it may be moved: it runs there, is not being stopped, and is not mere background
/// work, which would take the room that urgent work wants next.
fn slow_run(state: &GraphState, worker: WorkerKey, run: RunKey) -> Option<SlowRun<'_>> {
    let held = state.workers.get(&worker)?.runs.get(&run)?;
    let step = run.task.step;
    let job = state.jobs.get(&step.job).filter(|job| job.is_active())?;
    let spec = job.step_spec(step.step).filter(|spec| spec.runs_to_completion())?;
    let is_migratable = held.stop_cause.is_none()
        && !job.terms.is_advised
        && job.terms.priority < BACKGROUND_PRIORITY;
    let state = job.steps.get(&(step.occurrence, step.step)).filter(|_| is_migratable)?;
    Some(SlowRun { run, job, spec, state })
}

/// Whether a run that has come so far ends clearly sooner elsewhere.
fn is_worth_migrating(spec: &StepSpec, typical_ms: u64, percent: u8) -> bool {
    let left_ms = typical_ms * u64::from(100_u8.saturating_sub(percent)) / 100;
    let stay_ms = (left_ms * SLOWDOWN_FACTOR).min(left_ms + EXPECTED_SLOWDOWN_MS);
    let rerun_ms = if spec.saves_progress { left_ms } else { typical_ms };
    let migrate_ms = rerun_ms + MIGRATION_OVERHEAD_MS;
    stay_ms * 100 > migrate_ms * (100 + MIN_GAIN_PERCENT)
}

/// Takes free room for the run, or for its whole gang, on workers that are not slow.
fn reserve_elsewhere(map: &mut CapacityMap<'_>, slow: SlowRun<'_>) -> bool {
    let index = slow.run.task.index as usize;
    let failed_workers: Vec<WorkerKey> = if slow.spec.gang {
        slow.state.tasks.iter().flat_map(|task| task.failed_workers.iter().copied()).collect()
    } else {
        slow.state.tasks.get(index).map(|task| task.failed_workers.clone()).unwrap_or_default()
    };
    let request = StepRequest {
        step: slow.run.task.step,
        spec: slow.spec,
        terms: &slow.job.terms,
        failed_workers: &failed_workers,
        avoids_slow_workers: true,
        advice: None,
    };
    let count = if slow.spec.gang { slow.spec.count } else { 1 };
    let Some(allocation) = find_allocation(map, &request, count) else { return false };
    for (worker_index, taken) in allocation {
        map.allocate(worker_index, &request, taken);
    }
    true
}

/// Free places for all of `count` tasks, on one rack for a step that wants one.
fn find_allocation(
    map: &CapacityMap<'_>,
    request: &StepRequest<'_>,
    count: u32,
) -> Option<Vec<(usize, u32)>> {
    let spec = request.spec;
    if spec.same_rack && spec.preferred_rack.is_none() {
        return map.tightest_rack(request, count);
    }
    let is_eligible = |worker: &WorkerCapacity<'_>| {
        spec.preferred_rack.as_ref().is_none_or(|rack| worker.state.spec.rack == *rack)
    };
    let allocation = map.pack(request, count, is_eligible);
    is_complete(&allocation, count).then_some(allocation)
}
