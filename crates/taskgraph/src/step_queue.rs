//! Steps that can be placed, in the order in which the planner places them.
//!
//! Urgent jobs within their team's guarantee go first, by acceptance. The others follow by
//! priority. Within one priority, jobs that can still meet their latency objective precede late
//! ones, and both are ordered by the time at which they miss it. Jobs that are too late to be
//! useful come last and fill the remaining capacity. Where capacity is short, [`crate::load_order`] decides
//! within a priority if the settings enable it.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;
use crate::job_terms::URGENT_PRIORITY;
use crate::load_order::DelayedStep;
use crate::load_order::LoadRank;
use crate::load_order::rank_under_load;
use crate::plan_round::PlannerInput;
use crate::record::MAX_RUNS_PER_RECORD;
use crate::step_state::StepState;
use crate::task_key::StepKey;

/// A result is worth something until this many times the latency objective has passed.
pub const TOO_LATE_FACTOR: u64 = 3;
/// How long before its due time an occurrence may be placed, in ms. Orders take a while to reach
/// the worker, but none may start more than 250 ms early.
const EARLY_PLACEMENT_MS: u64 = 0;

/// Maximum number of steps of one job that a round considers, over all of its due occurrences. A
/// caller may request billions of occurrences; the later ones wait for the earlier ones.
const MAX_DUE_STEPS: usize = 10_000;
/// Maximum number of waiting steps of one job in a round. It bounds the memory and time that jobs which
/// wait for ever take from the others.
const MAX_WAITING_STEPS: usize = 1_000;

/// Whether a job can meet its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The job can meet its objective.
    OnTime,
    /// The job misses its objective, but its result is still useful.
    Late,
    /// The job is too late for its result to be useful.
    TooLate,
}

/// A step with tasks that wait to be placed.
#[derive(Clone, Debug)]
pub struct WaitingStep<'a> {
    /// Key of the step.
    pub key: StepKey,
    /// Job of the step.
    pub job: &'a JobState,
    /// Specification of the step.
    pub spec: &'a StepSpec,
    /// Number of tasks to place.
    pub count: u32,
    /// Whether the job is covered by its team's guarantee.
    pub is_guaranteed: bool,
    /// Whether the job can meet its latency objective.
    pub timeliness: Timeliness,
    /// Timeliness for the order of steps: a job that is late only since it was preempted counts as on time,
    /// where earlier preemptions count.
    pub ranked_timeliness: Timeliness,
    /// When the job misses its latency objective, in ms since the Unix epoch.
    pub objective_at_ms: u64,
    /// Since when the occurrence may run, in ms since the Unix epoch.
    pub waiting_since_ms: u64,
    /// Position among the steps of the same priority.
    pub rank: LoadRank,
}

impl WaitingStep<'_> {
    /// State of the step; `None` if it was never placed.
    pub fn state(&self) -> Option<&StepState> {
        self.job.steps.get(&(self.key.occurrence, self.key.step))
    }

    /// Indices of the tasks to place.
    pub fn tasks(&self) -> impl Iterator<Item = u32> + '_ {
        let unplaced = if self.state().is_none() { 0..self.spec.count } else { 0..0 };
        unplaced.chain(self.state().into_iter().flat_map(StepState::waiting))
    }

    /// Number of the waiting tasks that one round considers. The next round follows at once.
    pub(crate) fn round_count(&self) -> u32 {
        if self.spec.gang {
            return self.count;
        }
        self.count.min(u32::try_from(MAX_RUNS_PER_RECORD).unwrap_or(u32::MAX))
    }

    /// Whether an allocation lets the step begin: all members of a gang, or any of its independent
    /// tasks.
    pub(crate) fn is_enough(&self, allocation: &[(usize, u32)], count: u32) -> bool {
        let found: u32 = allocation.iter().map(|(_, count)| count).sum();
        if self.spec.gang { found == count } else { found > 0 }
    }

    /// Priority and class among its steps; steps of the same are ordered by their teams' shares.
    pub(crate) fn class(&self) -> (u8, u8) {
        (self.job.terms.priority, self.rank.class)
    }

    /// The step, ranked as if the job had been eligible later by what preemptions cost it. More than one
    /// further objective is not granted, so that jobs that can't be on time don't precede those that can
    /// for good.
    fn without_delay(self, delay_ms: u64, now_ms: u64) -> Self {
        let eligible_ms = self.waiting_since_ms.saturating_add(delay_ms);
        let ranked_timeliness = timeliness(self.job, self.spec, eligible_ms, now_ms);
        let rank = LoadRank::without_load(ranked_timeliness, self.objective_at_ms);
        Self { ranked_timeliness, rank, ..self }
    }

    pub(crate) fn position(&self) -> (bool, u64, bool, u8, LoadRank, JobId) {
        let accepted_ms = if self.is_guaranteed { self.job.accepted_ms } else { 0 };
        (
            !self.is_guaranteed,
            accepted_ms,
            self.ranked_timeliness == Timeliness::TooLate,
            self.job.terms.priority,
            self.rank,
            self.key.job,
        )
    }
}

/// Active urgent jobs, and whether their team's guarantee covers them. A guarantee is used up by
/// the team's oldest jobs first.
pub fn guaranteed_jobs(
    state: &GraphState,
    guarantees: &BTreeMap<SmolStr, u32>,
) -> BTreeMap<JobId, bool> {
    let mut urgent: Vec<(u64, JobId, &JobState)> = state
        .active
        .iter()
        .filter_map(|id| state.jobs.get(id).map(|job| (job.accepted_ms, *id, job)))
        .filter(|(_, _, job)| job.terms.priority == URGENT_PRIORITY)
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

/// Steps that can be placed now, in the order in which to place them, and those that are put behind
/// others because capacity is short.
pub fn waiting_steps<'a>(
    state: &'a GraphState,
    guaranteed: &BTreeMap<JobId, bool>,
    input: &PlannerInput,
) -> (Vec<WaitingStep<'a>>, Vec<DelayedStep>) {
    let mut waiting = Vec::new();
    for id in &state.active {
        let Some(job) = state.jobs.get(id) else { continue };
        let is_guaranteed = guaranteed.get(id).copied().unwrap_or(false);
        let steps = waiting_steps_of(*id, job, is_guaranteed, input.now_ms);
        let steps = steps.take(MAX_WAITING_STEPS);
        let preemptions = state.preemptions.job(*id);
        match preemptions.filter(|_| input.options.preemption_history) {
            None => waiting.extend(steps),
            Some(preemptions) => {
                let delay_ms = preemptions.delay_ms.min(job.objective_ms());
                waiting.extend(steps.map(|step| step.without_delay(delay_ms, input.now_ms)));
            }
        }
    }
    let delayed = rank_under_load(state, input, &mut waiting);
    waiting.sort_by_key(WaitingStep::position);
    (waiting, delayed)
}

/// Accelerators of a service that urgent tasks wait for.
pub(crate) fn waiting_urgent_accelerators(state: &GraphState, service: &str) -> u32 {
    let now_ms = state.clock_ms;
    let mut sum = 0_u32;
    for id in state.active.iter().filter(|id| state.is_urgent(**id)) {
        let job = state.jobs.get(id).filter(|job| job.terms.service == service);
        let Some(job) = job else { continue };
        for waiting in waiting_steps_of(*id, job, false, now_ms) {
            let each = waiting.spec.resources.accelerators;
            sum = sum.saturating_add(each.saturating_mul(waiting.count));
        }
    }
    sum
}

/// Waiting steps of a job, by occurrence.
fn waiting_steps_of(
    id: JobId,
    job: &JobState,
    is_guaranteed: bool,
    now_ms: u64,
) -> impl Iterator<Item = WaitingStep<'_>> {
    due_occurrences(job, now_ms).flat_map(move |occurrence| {
        (0..).zip(&job.spec.steps).filter_map(move |(step, spec)| {
            let key = StepKey { job: id, occurrence, step };
            waiting_step(key, job, spec, is_guaranteed, now_ms)
        })
    })
}

/// Earliest occurrences that are due and not finished, up to [`MAX_DUE_STEPS`] steps.
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
    let count = state.map_or(spec.count, StepState::waiting_count);
    if count == 0 {
        return None;
    }
    let objective_at_ms = job.objective_at_ms(key.occurrence);
    let eligible_ms = job.spec.due_ms(key.occurrence).unwrap_or(job.accepted_ms);
    let timeliness = timeliness(job, spec, eligible_ms, now_ms);
    Some(WaitingStep {
        key,
        job,
        spec,
        count,
        is_guaranteed,
        timeliness,
        ranked_timeliness: timeliness,
        objective_at_ms,
        waiting_since_ms: eligible_ms,
        rank: LoadRank::without_load(timeliness, objective_at_ms),
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
