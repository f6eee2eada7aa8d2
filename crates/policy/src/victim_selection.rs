//! Selection of the preemptible attempts to stop so that a job fits, with little work lost.

use std::collections::BTreeSet;

use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::resources::Resources;

/// Work lost when a checkpointable job is stopped and resumed, in ms of run time.
const CHECKPOINT_RESUME_COST_MS: u64 = 30_000;

/// Number of preemptions after which a job is not preempted for larger jobs any more.
const MAX_PREEMPTIONS: u8 = 3;
/// Minimum time since its placement before a job may be preempted for a larger one, in ms.
const MIN_PLACED_MS: u64 = 600_000;

/// Work lost by stopping a placed job, in accelerator-ms. A member without accelerators counts as a
/// quarter of an accelerator.
pub(crate) fn lost_work(job: &JobState, now_ms: u64) -> u64 {
    let Some(placement) = job.placement() else { return 0 };
    let quarter_accelerators = u64::from(job.spec.shape.accelerators()) * 4;
    let quarter_accelerators = quarter_accelerators.max(u64::from(job.spec.shape.members));
    let run_ms = placement.started_ms.map_or(0, |started_ms| now_ms.saturating_sub(started_ms));
    let lost_ms =
        if job.spec.checkpointable { CHECKPOINT_RESUME_COST_MS.min(run_ms) } else { run_ms };
    quarter_accelerators * lost_ms / 4
}

/// Whether a placed job may be preempted: it is preemptible, does not use its own team's
/// reservation, and is not stopping already.
pub(crate) fn may_preempt(job: &JobState) -> bool {
    let Some(placement) = job.placement() else { return false };
    job.is_preemptible() && placement.reservation.is_none() && placement.stop.is_none()
}

/// Whether a placed job may be preempted for a larger one. Limits on its age and its number of
/// preemptions keep two jobs from stopping each other repeatedly.
pub(crate) fn may_preempt_for_larger(placed: &JobState, larger: &JobState, now_ms: u64) -> bool {
    let placed_ms = placed.placement().map_or(now_ms, |placement| placement.placed_ms);
    may_preempt(placed)
        && !placed.spec.urgent
        && placed.preemptions < MAX_PREEMPTIONS
        && now_ms >= placed_ms + MIN_PLACED_MS
        && placed.spec.shape.accelerators() < larger.spec.shape.accelerators()
}

/// Selects the attempts to stop so that all members fit, those that lose the least work first.
/// Returns `None` if stopping every attempt for which `is_candidate` holds is not enough.
pub(crate) fn select_victims<P>(
    state: &State,
    members: &[Member],
    per_member: &Resources,
    now_ms: u64,
    is_candidate: P,
) -> Option<Vec<AttemptKey>>
where
    P: Fn(&JobState) -> bool,
{
    let mut victims = BTreeSet::new();
    let mut workers: Vec<WorkerKey> = members.iter().map(|member| member.worker).collect();
    workers.sort_unstable();
    workers.dedup();
    for worker in workers {
        let own: Vec<&Member> = members.iter().filter(|member| member.worker == worker).collect();
        select_victims_on(state, worker, &own, per_member, now_ms, &is_candidate, &mut victims)?;
    }
    Some(victims.into_iter().collect())
}

/// Adds the victims on one worker to `victims`. Returns `None` if the members can't fit there.
fn select_victims_on<P>(
    state: &State,
    key: WorkerKey,
    members: &[&Member],
    per_member: &Resources,
    now_ms: u64,
    is_candidate: &P,
    victims: &mut BTreeSet<AttemptKey>,
) -> Option<()>
where
    P: Fn(&JobState) -> bool,
{
    let worker = state.worker(key)?;
    let mut free = worker.free_resources();
    let needed = members.iter().fold(Resources::default(), |sum, _| sum.plus(per_member));
    let wanted =
        members.iter().fold(AcceleratorSet::EMPTY, |set, member| set.union(member.accelerators));
    let mut candidates = Vec::new();
    for (&attempt, held) in &worker.attempts {
        let job = state.jobs.get(&attempt.job)?;
        let overlaps_wanted = !held.accelerators.intersection(wanted).is_empty();
        let is_already_victim = victims.contains(&attempt);
        if is_already_victim || (overlaps_wanted && is_candidate(job)) {
            free = free.plus(held);
            victims.insert(attempt);
        } else if overlaps_wanted {
            return None;
        } else if is_candidate(job) {
            candidates.push((lost_work(job, now_ms), attempt, held));
        }
    }
    candidates.sort_unstable_by_key(|(lost, attempt, _)| (*lost, *attempt));
    for (_, attempt, held) in candidates {
        if free.amounts.covers(&needed) {
            break;
        }
        free.amounts = free.amounts.plus(&held.amounts);
        victims.insert(attempt);
    }
    free.amounts.covers(&needed).then_some(())
}
