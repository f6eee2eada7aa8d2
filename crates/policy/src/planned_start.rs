//! Starvation protection: the planned start of the large job that has waited longest.
//!
//! As in EASY backfilling, the job gets a planned start on workers that are likely to be free
//! first. Until then other jobs may use these workers only if they likely end before, or can be
//! preempted at little cost.

use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::pack::ResourceSet;
use cuminbarrow_ledger::pack::pack;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;

use crate::policy_weights::PolicyWeights;

/// Minimum number of accelerators of a large job.
const LARGE_MIN_ACCELERATORS: u32 = 8;
/// Minimum number of members of a large job.
const LARGE_MIN_MEMBERS: u8 = 4;
/// Time for which a planned start is reused before it is computed again, in ms.
const RECOMPUTE_INTERVAL_MS: u64 = 5_000;

/// Expected start of one large job, and the capacity kept for it.
#[derive(Clone, Debug)]
pub(crate) struct PlannedStart {
    pub(crate) job: JobKey,
    /// Members on the workers that are likely to be free first.
    pub(crate) members: Vec<Member>,
    /// When they are likely to be free, in ms since the Unix epoch.
    pub(crate) start_ms: u64,
    computed_ms: u64,
}

pub(crate) fn is_large(job: &JobState) -> bool {
    let shape = &job.spec.shape;
    shape.accelerators() >= LARGE_MIN_ACCELERATORS || shape.members >= LARGE_MIN_MEMBERS
}

/// Whether a large job has waited so long that capacity is kept or freed for it.
pub(crate) fn is_starving(job: &JobState, weights: &PolicyWeights, now_ms: u64) -> bool {
    is_large(job)
        && now_ms >= job.submitted_ms + weights.starvation_threshold_ms
        && job.not_before_ms <= now_ms
}

/// Keeps the planned start while it is recent. Otherwise computes one for the same job, or for the
/// starving job that has waited longest.
pub(crate) fn update(
    planned_start: Option<PlannedStart>,
    state: &State,
    weights: &PolicyWeights,
    now_ms: u64,
) -> Option<PlannedStart> {
    let current = planned_start.filter(|planned_start| state.pending.contains(&planned_start.job));
    if let Some(current) = &current
        && now_ms < current.computed_ms + RECOMPUTE_INTERVAL_MS
    {
        return Some(current.clone());
    }
    let job = current
        .map(|current| current.job)
        .or_else(|| longest_waiting_job(state, weights, now_ms))?;
    compute(state, job, now_ms)
}

fn longest_waiting_job(state: &State, weights: &PolicyWeights, now_ms: u64) -> Option<JobKey> {
    let waiting = state.pending.iter().filter_map(|key| Some((*key, state.jobs.get(key)?)));
    waiting
        .filter(|(_, job)| is_starving(job, weights, now_ms))
        .min_by_key(|(key, job)| (job.submitted_ms, *key))
        .map(|(key, _)| key)
}

/// When a waiting job fits if placed work ends as expected and no other work begins, in ms since the Unix
/// epoch; `None` if it does not fit then either.
pub fn expected_start_ms(state: &State, job: JobKey, now_ms: u64) -> Option<u64> {
    compute(state, job, now_ms).map(|planned_start| planned_start.start_ms)
}

/// Finds the earliest time, among the likely ends of placed work, at which the job fits. A
/// binary search is valid because free capacity only grows as placed work ends.
fn compute(state: &State, key: JobKey, now_ms: u64) -> Option<PlannedStart> {
    let job = state.jobs.get(&key)?;
    let mut ends: Vec<u64> = state
        .placed
        .iter()
        .filter_map(|placed| state.expected_end_ms(state.jobs.get(placed)?))
        .map(|end_ms| end_ms.max(now_ms))
        .collect();
    ends.sort_unstable();
    ends.dedup();
    let members_at = |time_ms: u64| {
        pack(&state.racks, &job.spec.shape, |worker| free_at(state, worker, time_ms, now_ms))
    };
    let mut low = 0;
    let mut high = ends.len();
    let mut earliest: Option<(u64, Vec<Member>)> = None;
    while low < high {
        let middle = low + (high - low) / 2;
        match members_at(ends[middle]) {
            None => low = middle + 1,
            Some(members) => {
                earliest = Some((ends[middle], members));
                high = middle;
            }
        }
    }
    let (start_ms, members) = earliest?;
    Some(PlannedStart { job: key, members, start_ms, computed_ms: now_ms })
}

/// Free capacity of a worker at `time_ms`, when all work that likely ends by then has ended.
fn free_at(state: &State, key: WorkerKey, time_ms: u64, now_ms: u64) -> Option<ResourceSet> {
    let worker = state.worker(key)?;
    if !worker.takes_reservations() {
        return None;
    }
    let mut free = worker.free_resources();
    for (attempt, held) in &worker.attempts {
        let Some(placed) = state.jobs.get(&attempt.job) else { continue };
        let end_ms = state.expected_end_ms(placed).unwrap_or(u64::MAX).max(now_ms);
        if end_ms <= time_ms {
            free = free.plus(held);
        }
    }
    Some(free)
}
