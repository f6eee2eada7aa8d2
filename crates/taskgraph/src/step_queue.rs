//! Steps that can be placed, in the order in which they are to be.
//!
//! Urgent jobs within their team's guarantee go first, by acceptance. The others follow by priority;
//! of one priority, those that can still be on time go before those that are late, then by the time
//! at which they cease to be on time. Jobs so late that nobody waits for them fill what is left.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;
use crate::job_state::StepState;
use crate::task_key::StepKey;

/// An answer is worth something up to this many times the objective.
const TOO_LATE_FACTOR: u64 = 3;
/// Time before its due time from which an occurrence may be placed, in ms. Orders take a while to
/// reach the worker; none may begin more than 250 ms early.
const EARLY_PLACEMENT_MS: u64 = 0;

/// Steps of one job that are looked at in one round, at most, in all its occurrences that are due. A
/// caller may ask for billions; those after the first wait for them.
const MAX_DUE_STEPS: usize = 10_000;

/// How far a job is from being on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It can be on time.
    OnTime,
    /// It is or will be late, and still wanted.
    Late,
    /// It is too late to be of use.
    TooLate,
}

/// A step with tasks to place.
#[derive(Clone, Debug)]
pub struct WaitingStep<'a> {
    /// The step.
    pub key: StepKey,
    /// Its job.
    pub job: &'a JobState,
    /// What it is made of.
    pub spec: &'a StepSpec,
    /// Tasks that wait.
    pub tasks: Vec<u32>,
    /// Whether its team's guarantee covers it.
    pub is_guaranteed: bool,
    /// How far it is from being on time.
    pub timeliness: Timeliness,
    /// When it ceases to be on time, in ms since the Unix epoch.
    pub objective_at_ms: u64,
    /// Since when it could have been placed, in ms since the Unix epoch.
    pub waiting_since_ms: u64,
}

impl WaitingStep<'_> {
    /// State of the step, once it was placed.
    pub fn state(&self) -> Option<&StepState> {
        self.job.steps.get(&(self.key.occurrence, self.key.step))
    }

    fn rank(&self) -> (bool, u64, bool, u8, Timeliness, u64, JobId) {
        let accepted_ms = if self.is_guaranteed { self.job.accepted_ms } else { 0 };
        (
            !self.is_guaranteed,
            accepted_ms,
            self.timeliness == Timeliness::TooLate,
            self.job.terms.priority,
            self.timeliness,
            self.objective_at_ms,
            self.key.job,
        )
    }
}

/// Urgent jobs that their team's guarantee covers, oldest first within a team.
pub fn guaranteed_jobs(
    state: &GraphState,
    guarantees: &BTreeMap<SmolStr, u32>,
) -> BTreeMap<JobId, bool> {
    let mut urgent: Vec<(u64, JobId, &JobState)> = state
        .active
        .iter()
        .filter_map(|id| state.jobs.get(id).map(|job| (job.accepted_ms, *id, job)))
        .filter(|(_, _, job)| job.terms.priority == 0)
        .collect();
    urgent.sort_by_key(|(accepted_ms, id, _)| (*accepted_ms, *id));
    let mut used: BTreeMap<&SmolStr, u32> = BTreeMap::new();
    let mut guaranteed = BTreeMap::new();
    for (_, id, job) in urgent {
        let team = &job.terms.team;
        let limit = guarantees.get(team).copied().unwrap_or(0);
        let sum = used.entry(team).or_default();
        *sum = sum.saturating_add(job.spec.max_step_accelerators());
        guaranteed.insert(id, *sum <= limit);
    }
    guaranteed
}

/// Steps that can be placed now, first to be placed first.
pub fn waiting_steps<'a>(
    state: &'a GraphState,
    guaranteed: &BTreeMap<JobId, bool>,
    now_ms: u64,
) -> Vec<WaitingStep<'a>> {
    let mut waiting = Vec::new();
    for id in &state.active {
        let Some(job) = state.jobs.get(id) else { continue };
        let is_guaranteed = guaranteed.get(id).copied().unwrap_or(false);
        for occurrence in due_occurrences(job, now_ms) {
            for (step, spec) in (0..).zip(&job.spec.steps) {
                let key = StepKey { job: *id, occurrence, step };
                waiting.extend(waiting_step(key, job, spec, is_guaranteed, now_ms));
            }
        }
    }
    waiting.sort_by_key(WaitingStep::rank);
    waiting
}

/// Occurrences that are due and not finished, the first of them where there are many.
fn due_occurrences(job: &JobState, now_ms: u64) -> impl Iterator<Item = u32> + '_ {
    let is_due = move |occurrence: &u32| {
        job.spec.due_ms(*occurrence).is_none_or(|due_ms| due_ms <= now_ms + EARLY_PLACEMENT_MS)
    };
    let occurrences = (0..job.spec.occurrences()).take_while(is_due);
    let unfinished = occurrences.filter(|occurrence| !job.finished.contains(occurrence));
    unfinished.take((MAX_DUE_STEPS / job.spec.steps.len().max(1)).max(1))
}

/// When the next occurrence of any job is due after `now_ms`, in ms since the Unix epoch.
pub fn next_due_ms(state: &GraphState, now_ms: u64) -> Option<u64> {
    let jobs = state.active.iter().filter_map(|id| state.jobs.get(id));
    jobs.filter_map(|job| job.spec.next_due_ms(now_ms)).min()
}

fn waiting_step<'a>(
    key: StepKey,
    job: &'a JobState,
    spec: &'a StepSpec,
    is_guaranteed: bool,
    now_ms: u64,
) -> Option<WaitingStep<'a>> {
    if !job.is_unblocked(key.occurrence, spec) {
        return None;
    }
    let state = job.steps.get(&(key.occurrence, key.step));
    if spec.gang && state.is_some_and(StepState::has_placed_runs) {
        return None;
    }
    let is_waiting = |index: &u32| {
        let task = state.and_then(|state| state.tasks.get(*index as usize));
        task.is_none_or(|task| !task.is_done && task.current.is_empty())
    };
    let tasks: Vec<u32> = (0..spec.count).filter(is_waiting).collect();
    if tasks.is_empty() {
        return None;
    }
    let objective_at_ms = job.objective_at_ms(key.occurrence);
    let eligible_ms = job.spec.due_ms(key.occurrence).unwrap_or(job.accepted_ms);
    Some(WaitingStep {
        key,
        job,
        spec,
        tasks,
        is_guaranteed,
        timeliness: timeliness(job, spec, eligible_ms, now_ms),
        objective_at_ms,
        waiting_since_ms: eligible_ms,
    })
}

fn timeliness(job: &JobState, spec: &StepSpec, eligible_ms: u64, now_ms: u64) -> Timeliness {
    let objective_ms = job.objective_ms();
    if spec.long_running || now_ms + u64::from(spec.estimate_ms) <= eligible_ms + objective_ms {
        Timeliness::OnTime
    } else if now_ms <= eligible_ms + TOO_LATE_FACTOR * objective_ms {
        Timeliness::Late
    } else {
        Timeliness::TooLate
    }
}
