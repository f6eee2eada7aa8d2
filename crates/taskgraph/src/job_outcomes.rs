//! What callers got: whether jobs ended in time.
//!
//! Answers the question of who bears a load. The state drops the specification of a job that ends, so
//! the times that count for the caller are remembered while the job is active.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_state::JobPhase;
use crate::job_state::JobState;
use crate::job_terms::JobTerms;
use crate::step_queue::TOO_LATE_FACTOR;

/// What the caller of a completed job got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobOutcome {
    /// The job met its latency objective.
    OnTime,
    /// The job missed its objective, but its result was still useful.
    Late,
    /// The result came too late to be useful.
    TooLate,
}

/// A completed job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// Identity of the job.
    pub job: JobId,
    /// Terms under which the job was accepted.
    pub terms: Arc<JobTerms>,
    /// What the caller got.
    pub outcome: JobOutcome,
}

/// Times that decide about the outcome of an active job, in ms since the Unix epoch.
#[derive(Clone, Debug)]
struct ExpectedJob {
    terms: Arc<JobTerms>,
    objective_at_ms: u64,
    useless_at_ms: u64,
}

impl ExpectedJob {
    /// Times of the last occurrence, with which the job ends.
    fn new(job: &JobState) -> Self {
        let objective_at_ms = job.objective_at_ms(job.spec.occurrences() - 1);
        let rest_ms = (TOO_LATE_FACTOR - 1).saturating_mul(job.objective_ms());
        let useless_at_ms = objective_at_ms.saturating_add(rest_ms);
        Self { terms: Arc::clone(&job.terms), objective_at_ms, useless_at_ms }
    }

    fn outcome(&self, at_ms: u64) -> JobOutcome {
        match at_ms {
            _ if at_ms <= self.objective_at_ms => JobOutcome::OnTime,
            _ if at_ms <= self.useless_at_ms => JobOutcome::Late,
            _ => JobOutcome::TooLate,
        }
    }
}

/// Active jobs as of the latest observed state.
#[derive(Clone, Debug, Default)]
pub struct OutcomeTracker {
    expected: BTreeMap<JobId, ExpectedJob>,
}

impl OutcomeTracker {
    /// Jobs that completed since the previous call, of those that were active then.
    pub fn observe(&mut self, state: &GraphState) -> Vec<EndedJob> {
        let mut ended = Vec::new();
        self.expected.retain(|id, expected| {
            let phase = state.jobs.get(id).map(|job| job.phase);
            if let Some(JobPhase::Completed { at_ms }) = phase {
                let outcome = expected.outcome(at_ms);
                ended.push(EndedJob { job: *id, terms: Arc::clone(&expected.terms), outcome });
            }
            phase == Some(JobPhase::Active)
        });
        for id in &state.active {
            if let Some(job) = state.jobs.get(id) {
                self.expected.entry(*id).or_insert_with(|| ExpectedJob::new(job));
            }
        }
        ended
    }
}
