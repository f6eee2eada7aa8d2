//! Order in which pending jobs are considered.
//!
//! Jobs are sorted by highest response ratio next (HRRN): waiting time relative to expected run
//! time, so that short jobs go first and no job starves. Urgent jobs precede all others, an
//! approaching deadline raises the score, and a team's use beyond its reservations lowers it.

use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::keys::JobKey;

use crate::policy_weights::PolicyWeights;

/// Maximum number of jobs considered in one round.
pub(crate) const MAX_CONSIDERED_JOBS: usize = 256;
/// Score factor of a job whose deadline can only just be met, or has passed.
const MAX_DEADLINE_FACTOR: f64 = 4.0;
/// Score added for urgent jobs, so that they precede all others.
const URGENT_BONUS: f64 = 1e12;

#[derive(Clone, Copy, Debug)]
struct ScoredJob {
    score: f64,
    job: JobKey,
}

/// Jobs to consider in this round, in order, at most [`MAX_CONSIDERED_JOBS`].
pub(crate) fn queue_order(state: &State, weights: &PolicyWeights, now_ms: u64) -> Vec<JobKey> {
    let overuse = team_overuse(state);
    let mut scored_jobs: Vec<ScoredJob> = state
        .pending
        .iter()
        .filter_map(|key| {
            let job = state.jobs.get(key)?;
            let overuse = overuse.get(usize::from(job.team.0)).copied().unwrap_or_default();
            Some(ScoredJob { score: score(state, job, weights, overuse, now_ms), job: *key })
        })
        .collect();
    let by_score = |left: &ScoredJob, right: &ScoredJob| {
        right.score.total_cmp(&left.score).then(left.job.cmp(&right.job))
    };
    if scored_jobs.len() > MAX_CONSIDERED_JOBS {
        scored_jobs.select_nth_unstable_by(MAX_CONSIDERED_JOBS, by_score);
        scored_jobs.truncate(MAX_CONSIDERED_JOBS);
    }
    scored_jobs.sort_unstable_by(by_score);
    scored_jobs.into_iter().map(|scored| scored.job).collect()
}

fn score(state: &State, job: &JobState, weights: &PolicyWeights, overuse: f64, now_ms: u64) -> f64 {
    let run_ms = state.estimate(job).expected_ms(state.remaining_declared_ms(job));
    let wait_ms = now_ms.saturating_sub(job.submitted_ms);
    let ratio = (wait_ms + run_ms) as f64 / run_ms as f64;
    let size = f64::from(job.spec.shape.accelerators().max(1));
    let sized_ratio = ratio * size.powf(weights.job_size_exponent);
    let fair_score = sized_ratio / (1.0 + overuse);
    let urgent_bonus = if job.spec.urgent { URGENT_BONUS } else { 0.0 };
    fair_score * deadline_factor(job, run_ms, now_ms) + urgent_bonus
}

/// Score factor for the deadline: 1 while the slack exceeds the run time, rising to
/// [`MAX_DEADLINE_FACTOR`] as the slack shrinks to zero.
fn deadline_factor(job: &JobState, run_ms: u64, now_ms: u64) -> f64 {
    let Some(deadline_ms) = job.spec.deadline_ms else { return 1.0 };
    let slack_ms = deadline_ms.saturating_sub(now_ms + run_ms);
    let closeness = 1.0 - (slack_ms as f64 / run_ms as f64).min(1.0);
    1.0 + closeness * (MAX_DEADLINE_FACTOR - 1.0)
}

/// For each team, accelerators used beyond its reservations, as a share of all accelerators.
fn team_overuse(state: &State) -> Vec<f64> {
    let total_accelerators = f64::from(state.registered_accelerators().max(1));
    let mut used = vec![0_i64; state.teams.len()];
    for job in state.placed.iter().filter_map(|key| state.jobs.get(key)) {
        used[usize::from(job.team.0)] += i64::from(job.spec.shape.accelerators());
    }
    for reservation in state.reservations.values() {
        used[usize::from(reservation.team.0)] -= i64::from(reservation.shape.accelerators());
    }
    used.into_iter().map(|used| used.max(0) as f64 / total_accelerators).collect()
}
