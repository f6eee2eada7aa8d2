//! Background jobs that no longer leave capacity to urgent work.
//!
//! Answers the load of urgent bursts that come again before the last one is forgotten: background work that
//! leaves their capacity free would wait for good, on a service that is partly idle. Jobs that would be late if
//! they waited longer take turns, those with the least work left first. Few have a turn at once, so that urgent
//! work has little to preempt.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;
use crate::job_terms::BACKGROUND_PRIORITY;
use crate::step_queue::TOO_LATE_FACTOR;
use crate::step_state::StepState;

/// Part of its latency objective that a job must have left beside its run time in order to wait, in percent.
/// Estimates are rough, and a turn comes only when an earlier job is done.
const MIN_SLACK_PERCENT: u64 = 20;
/// Maximum number of a service's jobs that have a turn at once.
const MAX_TURNS: usize = 2;

/// Jobs that have a turn.
#[derive(Clone, Debug, Default)]
pub(crate) struct OverdueTurns(BTreeSet<JobId>);

impl OverdueTurns {
    /// Chooses the jobs of each service. One whose tasks all run keeps its turn until it is done.
    pub(crate) fn new(state: &GraphState, now_ms: u64) -> Self {
        let mut overdue: BTreeMap<&str, Vec<(u64, JobId)>> = BTreeMap::new();
        for id in &state.active {
            let Some(job) = state.jobs.get(id) else { continue };
            if let Some(work) = overdue_work(job, now_ms) {
                overdue.entry(&job.terms.service).or_default().push((work, *id));
            }
        }
        let turns = overdue.into_values().flat_map(|mut jobs| {
            jobs.sort_unstable();
            jobs.into_iter().take(MAX_TURNS).map(|(_, job)| job)
        });
        Self(turns.collect())
    }

    /// Whether a job has a turn.
    pub(crate) fn has(&self, job: JobId) -> bool {
        self.0.contains(&job)
    }
}

/// Work that is left of a background job's earliest occurrence, in accelerator-ms; `None` if it can wait, or
/// is too late to be useful.
fn overdue_work(job: &JobState, now_ms: u64) -> Option<u64> {
    if job.terms.priority < BACKGROUND_PRIORITY {
        return None;
    }
    let occurrence = (0..job.spec.occurrences()).find(|known| !job.finished.contains(known))?;
    let eligible_ms = job.spec.due_ms(occurrence).unwrap_or(job.accepted_ms);
    // Callers choose the due time. Sums with one far ahead would overflow.
    if eligible_ms > now_ms {
        return None;
    }
    let mut steps = unfinished_steps(job, occurrence).peekable();
    let (first, _) = *steps.peek()?;
    let objective_ms = job.objective_ms();
    let objective_at_ms = job.objective_at_ms(occurrence);
    let latest_start_ms = objective_at_ms.saturating_sub(job.spec.path_from_ms(first));
    let slack_ms = latest_start_ms.saturating_sub(now_ms);
    let useless_from_ms = eligible_ms + TOO_LATE_FACTOR * objective_ms;
    if slack_ms * 100 > objective_ms * MIN_SLACK_PERCENT || now_ms > useless_from_ms {
        return None;
    }
    let works = steps.map(|(step, spec)| remaining_work(job, occurrence, step, spec));
    Some(works.fold(0, u64::saturating_add))
}

/// Steps of an occurrence that are not done. Tasks that run until they are cancelled have no objective.
fn unfinished_steps(job: &JobState, occurrence: u32) -> impl Iterator<Item = (u16, &StepSpec)> {
    let steps = (0_u16..).zip(&job.spec.steps);
    steps.filter(move |(step, spec)| {
        spec.runs_to_completion() && !job.is_step_done(occurrence, *step)
    })
}

fn remaining_work(job: &JobState, occurrence: u32, step: u16, spec: &StepSpec) -> u64 {
    let state = job.steps.get(&(occurrence, step));
    let count = u64::from(state.map_or(spec.count, StepState::remaining_count));
    let accelerators = u64::from(spec.resources.accelerators);
    count.saturating_mul(accelerators).saturating_mul(u64::from(spec.estimate_ms))
}
