//! Selects runs to migrate away from slow workers.
//!
//! A worker may slow down for some seconds. Urgent tasks on it then take several times as long as
//! elsewhere, and gangs wait for their slowest member. A run is stopped and restarted on free
//! capacity elsewhere if it clearly finishes sooner that way.

use std::collections::BTreeSet;

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::capacity_map::is_complete;
use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;
use crate::job_terms::BACKGROUND_PRIORITY;
use crate::step_state::StepState;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// Minimum factor by which runs take longer on a slow worker.
const SLOWDOWN_FACTOR: u64 = 4;
/// Longest time that a detected slowdown is assumed to continue, in ms. Most slowdowns last 5 to
/// 8 s, and detection takes more than one second of that.
const EXPECTED_SLOWDOWN_MS: u64 = 5_000;
/// Time to stop a run and start it elsewhere, in ms. The grace period of a stop is up to 0.9 s.
const MIGRATION_OVERHEAD_MS: u64 = 900;
/// Minimum gain of a migration relative to its duration, in percent. The margin is needed because
/// estimates are rough.
const MIN_GAIN_PERCENT: u64 = 30;

/// A run on a slow worker that may be migrated.
#[derive(Clone, Copy, Debug)]
struct SlowRun<'a> {
    run: RunKey,
    job: &'a JobState,
    spec: &'a StepSpec,
    state: &'a StepState,
}

/// Runs to stop so that they restart on workers that are not slow. Allocates the capacity for the
/// restarts in `map`. A gang is represented by one of its members.
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

/// Looks up a run if it may be migrated: it is on the worker, is not being stopped, ends by itself
/// and needs no advice. Background work is not migrated, because it would occupy capacity that
/// urgent work needs next.
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

/// Whether a run with this progress clearly finishes sooner elsewhere.
fn is_worth_migrating(spec: &StepSpec, typical_ms: u64, percent: u8) -> bool {
    let remaining_ms = typical_ms * u64::from(100_u8.saturating_sub(percent)) / 100;
    let stay_ms = (remaining_ms * SLOWDOWN_FACTOR).min(remaining_ms + EXPECTED_SLOWDOWN_MS);
    let rerun_ms = if spec.saves_progress { remaining_ms } else { typical_ms };
    let migrate_ms = rerun_ms + MIGRATION_OVERHEAD_MS;
    stay_ms * 100 > migrate_ms * (100 + MIN_GAIN_PERCENT)
}

/// Allocates free capacity on workers that are not slow for the run, or for its whole gang. Returns
/// whether there was enough.
fn reserve_elsewhere(map: &mut CapacityMap<'_>, slow: SlowRun<'_>) -> bool {
    let failed_workers: Vec<WorkerKey> = if slow.spec.gang {
        slow.state.failed_workers().into_iter().collect()
    } else {
        let task = slow.state.task(slow.run.task.index);
        task.map(|task| task.failed_workers.clone()).unwrap_or_default()
    };
    let request = StepRequest {
        step: slow.run.task.step,
        spec: slow.spec,
        terms: &slow.job.terms,
        failed_workers: &failed_workers,
        is_first: false,
        avoids_slow_workers: true,
        uses_probation: false,
        advice: None,
    };
    let count = if slow.spec.gang { slow.spec.count } else { 1 };
    let Some(allocation) = find_allocation(map, &request, count) else { return false };
    for (worker_index, taken) in allocation {
        map.allocate(worker_index, &request, taken);
    }
    true
}

/// Finds free capacity for all of `count` tasks, on a single rack if the step asks for one.
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
