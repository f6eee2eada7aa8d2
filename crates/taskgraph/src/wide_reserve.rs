//! Workers that less urgent work leaves to waiting tasks that need a whole one.
//!
//! Answers the load of wide tasks behind a stream of narrow ones: whenever a narrow task ends, another
//! takes its place, so no worker is ever empty, and the wide task waits until it may preempt. A few workers
//! that are expected to be empty in time take no less urgent work until then. Nothing is stored: each
//! round decides anew.

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::ending_runs::STOP_MS;
use crate::graph_state::GraphState;
use crate::job_terms::BACKGROUND_PRIORITY;
use crate::step_queue::WaitingStep;
use crate::task_key::RunKey;
use crate::worker::HeldRun;
use crate::worker::WorkerState;

/// At most one in this many usable workers of a service is reserved, since what is free on them stays idle.
const MAX_RESERVED_DIVISOR: usize = 10;

/// Choice of the workers to reserve in one round.
#[derive(Clone, Debug)]
pub(crate) struct WideReserve {
    now_ms: u64,
    /// When each worker of the capacity map is expected to be empty; `None` if it never is. Computed when
    /// the first wide step waits.
    empty_at_ms: Option<Vec<Option<u64>>>,
}

impl WideReserve {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self { now_ms, empty_at_ms: None }
    }

    /// Indices of the workers to reserve for `count` tasks of a step that were not placed: those that are
    /// expected to be empty first, as far as that is in time for the objective. A gang gets all or none.
    pub(crate) fn choose(
        &mut self,
        state: &GraphState,
        map: &CapacityMap<'_>,
        waiting: &WaitingStep<'_>,
        request: &StepRequest<'_>,
        waits_for_rack: bool,
        count: u32,
    ) -> Vec<usize> {
        let needs_accelerators = waiting.spec.resources.accelerators > 0;
        if waiting.job.terms.priority >= BACKGROUND_PRIORITY || !needs_accelerators {
            return Vec::new();
        }
        let allowance = allowance(map, request);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        if allowance == 0 || (waiting.spec.gang && count > allowance) {
            return Vec::new();
        }
        let empty_at_ms = self.empty_at_ms.get_or_insert_with(|| {
            let workers = map.workers.iter();
            workers.map(|worker| empty_at_ms(state, worker.state, self.now_ms)).collect()
        });
        let path_ms = waiting.job.spec.path_from_ms(waiting.key.step);
        let latest_start_ms = waiting.objective_at_ms.saturating_sub(path_ms);
        let mut candidates: Vec<(u64, usize)> = map
            .workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| is_candidate(worker, request))
            .filter_map(|(index, _)| Some((empty_at_ms.get(index).copied().flatten()?, index)))
            .filter(|(at_ms, _)| *at_ms <= latest_start_ms)
            .collect();
        candidates.sort_unstable();
        if waits_for_rack {
            candidates = on_best_rack(map, request, candidates, count);
        }
        if waiting.spec.gang && candidates.len() < count {
            return Vec::new();
        }
        let chosen = candidates.into_iter().take(count.min(allowance));
        chosen.map(|(_, index)| index).collect()
    }
}

impl WorkerCapacity<'_> {
    /// Whether the worker is reserved for more urgent work than the step.
    pub fn is_reserved_against(&self, request: &StepRequest<'_>) -> bool {
        self.reserved_for.is_some_and(|priority| priority < request.terms.priority)
    }
}

impl CapacityMap<'_> {
    /// Reserves workers against work that is less urgent than `priority`.
    pub(crate) fn reserve(&mut self, chosen: &[usize], priority: u8) {
        for index in chosen {
            if let Some(worker) = self.workers.get_mut(*index) {
                worker.reserved_for = Some(priority);
            }
        }
    }

    /// Why no worker takes a task of a step that some could run.
    pub(crate) fn full_reason(&self, request: &StepRequest<'_>) -> &'static str {
        let needed = request.spec.held_resources();
        let mut reserved = self.workers.iter().filter(|on| on.is_reserved_against(request));
        if reserved.any(|on| on.is_feasible(request) && on.free.covers(&needed)) {
            "a worker is kept for a wide task"
        } else {
            "no room"
        }
    }
}

/// Number of workers of the step's service that may still be reserved; 0 while less than half of the
/// service is in use, since no job may wait then.
fn allowance(map: &CapacityMap<'_>, request: &StepRequest<'_>) -> usize {
    let (mut free, mut all, mut usable, mut reserved) = (0, 0, 0, 0);
    let service = &request.terms.service;
    let of_service = map.workers.iter().filter(|worker| worker.state.spec.service == *service);
    for worker in of_service.filter(|worker| worker.is_usable()) {
        free += worker.free.accelerators;
        all += worker.state.spec.resources.accelerators;
        usable += 1;
        reserved += usize::from(worker.reserved_for.is_some());
    }
    if free * 2 > all { 0 } else { (usable / MAX_RESERVED_DIVISOR).saturating_sub(reserved) }
}

/// Whether a worker may be reserved for a task of the step, which needs all of its accelerators. One on
/// which this round has placed tasks is not about to be empty.
fn is_candidate(worker: &WorkerCapacity<'_>, request: &StepRequest<'_>) -> bool {
    worker.state.spec.resources.accelerators == request.spec.resources.accelerators
        && worker.reserved_for.is_none()
        && !worker.is_slow
        && !worker.is_on_probation
        && !worker.has_new_tasks()
        && worker.is_feasible(request)
        && !request.failed_workers.contains(&worker.key)
}

/// The candidates on the preferred rack, or on the rack on which `count` workers are empty first; all if
/// no rack has as many.
fn on_best_rack(
    map: &CapacityMap<'_>,
    request: &StepRequest<'_>,
    candidates: Vec<(u64, usize)>,
    count: usize,
) -> Vec<(u64, usize)> {
    let of_rack = |rack: &str| -> Vec<(u64, usize)> {
        let on_rack =
            |index: usize| map.workers.get(index).is_some_and(|on| on.state.spec.rack == rack);
        candidates.iter().copied().filter(|(_, index)| on_rack(*index)).collect()
    };
    if let Some(rack) = &request.spec.preferred_rack {
        return of_rack(rack);
    }
    if !request.spec.same_rack {
        return candidates;
    }
    let racks = map.racks().into_iter().map(|rack| of_rack(rack));
    let complete = racks.filter_map(|on_rack| {
        let last_at_ms = on_rack.get(count.saturating_sub(1)).map(|(at_ms, _)| *at_ms)?;
        Some((last_at_ms, on_rack))
    });
    let first = complete.min_by_key(|(last_at_ms, _)| *last_at_ms);
    first.map_or(candidates, |(_, on_rack)| on_rack)
}

/// When the last run on a worker is expected to end, in ms since the Unix epoch; `None` if one does not end
/// by itself.
fn empty_at_ms(state: &GraphState, worker: &WorkerState, now_ms: u64) -> Option<u64> {
    let mut ends = worker.runs.iter().map(|(run, held)| end_at_ms(state, *run, held, now_ms));
    ends.try_fold(now_ms, |last_ms, end_ms| Some(last_ms.max(end_ms?)))
}

/// When a run is expected to end, in ms since the Unix epoch. Run times have a long tail, so an overdue run
/// is expected to take as long again as it is overdue.
fn end_at_ms(state: &GraphState, run: RunKey, held: &HeldRun, now_ms: u64) -> Option<u64> {
    let job = state.jobs.get(&run.task.step.job);
    let spec = job.and_then(|job| job.step_spec(run.task.step.step));
    let (Some(job), Some(spec), None) = (job, spec, held.stop_cause) else {
        return Some(now_ms + STOP_MS);
    };
    let end_ms = held.placed_ms.saturating_add(state.typical_run_ms(job, spec));
    let expected_ms = now_ms + now_ms.abs_diff(end_ms);
    spec.runs_to_completion().then_some(expected_ms)
}
