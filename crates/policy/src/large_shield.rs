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
const LARGE_ACCELERATORS: u32 = 8;
/// Minimum number of members of a large job.
const LARGE_MEMBERS: u8 = 4;
/// Time for which a planned start is reused before it is computed again, in ms.
const KEPT_MS: u64 = 5_000;

/// Expected start of one large job, and the capacity kept for it.
#[derive(Clone, Debug)]
pub(crate) struct LargeShield {
    pub(crate) job: JobKey,
    /// Members on the workers that are likely to be free first.
    pub(crate) members: Vec<Member>,
    /// When they are likely to be free, in ms since the Unix epoch.
    pub(crate) start_ms: u64,
    chosen_ms: u64,
}

pub(crate) fn is_large(job: &JobState) -> bool {
    let shape = &job.spec.shape;
    shape.accelerators() >= LARGE_ACCELERATORS || shape.members >= LARGE_MEMBERS
}

/// Whether a large job has waited so long that capacity is kept or freed for it.
pub(crate) fn is_starving(job: &JobState, weights: &PolicyWeights, now_ms: u64) -> bool {
    is_large(job)
        && now_ms >= job.submitted_ms + weights.shield_after_ms
        && job.not_before_ms <= now_ms
}

/// Keeps the planned start while it is recent, or computes one for the same job, or for the starving
/// job that has waited longest.
pub(crate) fn update(
    shield: Option<LargeShield>,
    state: &State,
    weights: &PolicyWeights,
    now_ms: u64,
) -> Option<LargeShield> {
    let kept = shield.filter(|shield| state.pending.contains(&shield.job));
    if let Some(kept) = &kept
        && now_ms < kept.chosen_ms + KEPT_MS
    {
        return Some(kept.clone());
    }
    let job = kept.map(|kept| kept.job).or_else(|| oldest_large(state, weights, now_ms))?;
    choose(state, job, now_ms)
}

fn oldest_large(state: &State, weights: &PolicyWeights, now_ms: u64) -> Option<JobKey> {
    let waiting = state.pending.iter().filter_map(|key| Some((*key, state.jobs.get(key)?)));
    waiting
        .filter(|(_, job)| is_starving(job, weights, now_ms))
        .min_by_key(|(key, job)| (job.submitted_ms, *key))
        .map(|(key, _)| key)
}

/// Finds the earliest time, among the likely ends of placed work, at which the job fits. A
/// binary search is valid because free capacity only grows as placed work ends.
fn choose(state: &State, key: JobKey, now_ms: u64) -> Option<LargeShield> {
    let job = state.jobs.get(&key)?;
    let mut ends: Vec<u64> = state
        .placed
        .iter()
        .filter_map(|placed| state.expected_end_ms(state.jobs.get(placed)?))
        .map(|end_ms| end_ms.max(now_ms))
        .collect();
    ends.sort_unstable();
    ends.dedup();
    let room_at = |time_ms: u64| {
        pack(&state.racks, &job.spec.shape, |worker| offer_at(state, worker, time_ms, now_ms))
    };
    let mut low = 0;
    let mut high = ends.len();
    let mut found: Option<(u64, Vec<Member>)> = None;
    while low < high {
        let middle = low + (high - low) / 2;
        match room_at(ends[middle]) {
            None => low = middle + 1,
            Some(members) => {
                found = Some((ends[middle], members));
                high = middle;
            }
        }
    }
    let (start_ms, members) = found?;
    Some(LargeShield { job: key, members, start_ms, chosen_ms: now_ms })
}

/// Free capacity of a worker at `time_ms`, when all work that likely ends by then has ended.
fn offer_at(state: &State, key: WorkerKey, time_ms: u64, now_ms: u64) -> Option<ResourceSet> {
    let worker = state.worker(key)?;
    if !worker.takes_reservations() {
        return None;
    }
    let mut offer = worker.free_resources();
    for (attempt, held) in &worker.attempts {
        let Some(placed) = state.jobs.get(&attempt.job) else { continue };
        let end_ms = state.expected_end_ms(placed).unwrap_or(u64::MAX).max(now_ms);
        if end_ms <= time_ms {
            offer = offer.plus(held);
        }
    }
    Some(offer)
}
