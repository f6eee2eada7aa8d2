//! Decides whether a submitted job is accepted.
//!
//! The load is a service that is given more work than it can do: a burst that fills it several times
//! over, or one team's flood. If every job is accepted, each waits until its result is of no use to
//! anyone. So a job is rejected at once if it can't be done in useful time even by a forecast that
//! errs in its favour; see [`crate::admission_forecast`]. A wrong rejection is worse than a late job,
//! so nothing is rejected while half of the service is unused or the job's first step has capacity.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::admission_forecast::Forecast;
use crate::admission_forecast::ServiceLoad;
use crate::admission_memory::AdmissionMemory;
use crate::graph_state::GraphState;
use crate::job_claim::JobClaim;
use crate::job_id::JobId;
use crate::job_spec::JobSpec;
use crate::job_terms::BACKGROUND_PRIORITY;
use crate::job_terms::JobTerms;
use crate::job_terms::URGENT_PRIORITY;

/// Maximum delay that the forecast gives a rejected caller, in s. A forecast of more is too uncertain,
/// since jobs are cancelled and workers come back.
const MAX_DELAY_S: u64 = 20;
/// Minimum time over which the returns of callers are spread, in s. Delays are whole seconds.
const MIN_SPREAD_S: u64 = 4;
/// Maximum time over which the returns of urgent callers are spread, in s. It grows by as much with
/// each lower priority, down to background work.
const MAX_SPREAD_S: u64 = 8;
/// Time in which a returning caller is recognized, in ms: it may come at any time within its second,
/// and the call takes a while.
const RETURN_WINDOW_MS: u64 = 1_500;

/// Why a job is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// More important or earlier work takes the service until the result is useless.
    NoCapacityInTime,
    /// The capacity is kept for callers that were rejected before and are expected back.
    CallersBefore,
}

impl RejectReason {
    /// Name of the reason in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoCapacityInTime => "no_capacity_in_time",
            Self::CallersBefore => "callers_before",
        }
    }
}

/// A rejection, with what it is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Delay after which the caller should submit the job again, in s; at least 1.
    pub retry_after_s: u64,
    /// Why the job is rejected.
    pub reason: RejectReason,
    /// Forecast that the rejection is based on.
    pub forecast: Forecast,
}

/// Decision on a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The job is accepted.
    Admit,
    /// The job is rejected, and nothing of it is written.
    Reject(Rejection),
}

/// A job that a caller submits.
#[derive(Clone, Copy, Debug)]
pub struct Submission<'a> {
    /// Identity of the job.
    pub job: JobId,
    /// Specification, which is valid.
    pub spec: &'a JobSpec,
    /// Terms of the queue for the caller's team.
    pub terms: &'a JobTerms,
}

/// What an entry knows when it decides.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionView<'a> {
    /// Replicated state.
    pub state: &'a GraphState,
    /// Accelerators guaranteed to each team for its urgent jobs.
    pub guarantees: &'a BTreeMap<SmolStr, u32>,
    /// The entry's own recent answers.
    pub memory: &'a AdmissionMemory,
    /// Wall clock, in ms since the Unix epoch.
    pub now_ms: u64,
    /// Clock of `memory`, in ms.
    pub memory_now_ms: u64,
}

/// Decides whether a submitted job is accepted.
pub fn decide_admission(
    view: &AdmissionView<'_>,
    submission: &Submission<'_>,
) -> AdmissionDecision {
    reject(view, submission).map_or(AdmissionDecision::Admit, AdmissionDecision::Reject)
}

fn reject(view: &AdmissionView<'_>, submission: &Submission<'_>) -> Option<Rejection> {
    let Submission { job, spec, terms } = *submission;
    let AdmissionView { state, memory, .. } = *view;
    let is_known = state.jobs.contains_key(&job) || memory.may_be_handed(job, view.memory_now_ms);
    let is_open_ended = spec.steps.iter().any(|step| step.long_running);
    if is_known || is_open_ended || spec.occurrence_count > 0 {
        return None;
    }
    // All entries have the log's clock; the own one may be behind.
    let now_ms = view.now_ms.max(state.clock_ms);
    let mut load = ServiceLoad::new(state, &terms.service, now_ms);
    if !load.is_half_used() || !spec.steps.iter().all(|step| load.could_run(step)) {
        return None;
    }
    let claim = JobClaim::new(state, job, spec, terms, now_ms);
    if claim.objective_ms == 0 {
        return None;
    }
    load.add_accepted(&claim);
    for other in memory.recently_handed(view.memory_now_ms) {
        if !state.jobs.contains_key(&other.job) {
            load.add_claim(other, &claim);
        }
    }
    let mut forecast = load.forecast(&claim, view.guarantees);
    let mut reason = RejectReason::NoCapacityInTime;
    let is_returning = memory.is_expected(job) || is_return_time(&claim, now_ms);
    if forecast.finish_ms <= forecast.limit_ms && !is_returning {
        reason = RejectReason::CallersBefore;
        let reserved = memory.expected().filter(|other| !state.jobs.contains_key(&other.job));
        forecast = load.forecast_behind(&claim, reserved, forecast);
    }
    let is_late = forecast.finish_ms > forecast.limit_ms;
    // A job that would be late on an empty service is not late for lack of capacity.
    if !is_late || forecast.own_ms > forecast.limit_ms || is_guaranteed(view, &claim) {
        return None;
    }
    let mut first_steps = spec.steps.iter().filter(|step| step.depends_on.is_empty());
    if first_steps.any(|step| load.has_capacity_for(step)) {
        return None;
    }
    let late_ms = forecast.finish_ms - forecast.limit_ms;
    let delay_s = if is_returning { 1 } else { late_ms.div_ceil(1_000).clamp(1, MAX_DELAY_S) };
    Some(Rejection { retry_after_s: retry_after_s(&claim, now_ms, delay_s), reason, forecast })
}

/// Whether the job is urgent and within its team's guarantee, after all of the team's accepted ones.
fn is_guaranteed(view: &AdmissionView<'_>, claim: &JobClaim) -> bool {
    if claim.priority != URGENT_PRIORITY {
        return false;
    }
    let state = view.state;
    let limit = view.guarantees.get(&claim.team).copied().unwrap_or(0);
    let jobs = state.active.iter().filter_map(|id| state.jobs.get(id));
    let urgent =
        jobs.filter(|job| job.terms.priority == URGENT_PRIORITY && job.terms.team == claim.team);
    let accepted = urgent.map(|job| job.spec.max_step_accelerators());
    let handed = view.memory.recently_handed(view.memory_now_ms).filter(|other| {
        other.priority == URGENT_PRIORITY
            && other.team == claim.team
            && !state.jobs.contains_key(&other.job)
    });
    let handed = handed.map(|other| other.accelerators);
    accepted.chain(handed).fold(claim.accelerators, u32::saturating_add) <= limit
}

/// Time over which the returns of callers with such a job are spread, in s. Callers with a shorter
/// objective come back sooner.
fn spread_s(claim: &JobClaim) -> u64 {
    let longest_s = MAX_SPREAD_S * (1 + u64::from(claim.priority.min(BACKGROUND_PRIORITY)));
    (claim.objective_ms / 1_000).clamp(MIN_SPREAD_S, longest_s)
}

/// Second within [`spread_s`] at which the job's caller returns. It follows from the id, so every entry
/// knows it without having seen the job, and callers don't come back together.
fn return_second(claim: &JobClaim) -> u64 {
    // Finalizer of splitmix64: callers may number their jobs.
    let mut mixed = claim.job.0;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % spread_s(claim)
}

/// Seconds from `now_ms` to the first time at which the job's caller may return, at least `delay_s`.
fn retry_after_s(claim: &JobClaim, now_ms: u64, delay_s: u64) -> u64 {
    let spread_s = spread_s(claim);
    let second = (now_ms / 1_000 + delay_s) % spread_s;
    delay_s + (return_second(claim) + spread_s - second) % spread_s
}

/// Whether a caller that was rejected by any entry would return with this job now.
fn is_return_time(claim: &JobClaim, now_ms: u64) -> bool {
    let spread_ms = spread_s(claim) * 1_000;
    let since_ms = now_ms % spread_ms + spread_ms - return_second(claim) * 1_000;
    since_ms % spread_ms < RETURN_WINDOW_MS
}
