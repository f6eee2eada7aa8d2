//! State of a job.

use std::collections::BTreeSet;

use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::digest::Digest;
use cuminbarrow_model::job::JobOutcome;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::keys::WorkerKey;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::past_attempt::MAX_PAST_ATTEMPTS;
use crate::past_attempt::PastAttempt;

/// Reason for which a running gang is asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// The caller or an operator cancelled the job.
    Cancelled,
    /// The planner preempted the job for another one.
    Preempted {
        /// The job that is to be placed instead.
        beneficiary: JobKey,
    },
}

/// Placement of a job's current attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Number of the attempt.
    pub attempt: u16,
    /// Members, the lead first.
    pub members: Vec<Member>,
    /// Reservation that the job uses, if any.
    pub reservation: Option<ReservationKey>,
    /// Time of the placement, in ms since the Unix epoch.
    pub placed_ms: u64,
    /// Time of the start, in ms since the Unix epoch.
    pub started_ms: Option<u64>,
    /// Incarnation of the lead's agent, the only one that may start the members; 0 before the
    /// start.
    pub lead_incarnation: u64,
    /// Reason for the requested stop, if one was requested.
    pub stop: Option<StopCause>,
}

impl Placement {
    /// Whether the start was recorded.
    pub fn is_started(&self) -> bool {
        self.started_ms.is_some()
    }

    /// Worker whose agent leads the gang.
    pub fn lead(&self) -> WorkerKey {
        self.members.first().map(|member| member.worker).unwrap_or_default()
    }
}

/// Phase of a job in its lifecycle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// The job ended.
    Ended {
        /// Outcome of the job.
        outcome: JobOutcome,
        /// Time of the end, in ms since the Unix epoch.
        at_ms: u64,
    },
    /// The job waits to be placed.
    Pending,
    /// The job has a placement, started or not.
    Placed(Placement),
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Owning team.
    pub team: TeamKey,
    /// Idempotency key, unique within the team.
    pub idempotency_key: SmolStr,
    /// Specification.
    pub spec: JobSpec,
    /// Digest of the specification, which tells a repeated submission from a reused key.
    pub spec_digest: Digest,
    /// Phase in its lifecycle.
    pub phase: JobPhase,
    /// Number of attempts so far, including the current one.
    pub attempts: u16,
    /// Number of attempts that ended with a failure or a lapsed lease.
    pub failures: u8,
    /// Number of attempts that were preempted for another job.
    pub preemptions: u8,
    /// Workers on which it failed.
    pub failed_workers: BTreeSet<WorkerKey>,
    /// Share of the work that the last checkpoint saved, in thousandths.
    pub progress_permille: u16,
    /// Time at which it was accepted, in ms since the Unix epoch.
    pub submitted_ms: u64,
    /// Earliest time of the next placement, in ms since the Unix epoch.
    pub not_before_ms: u64,
    /// Most recent finished attempts, oldest first.
    pub past_attempts: Vec<PastAttempt>,
}

impl JobState {
    /// Whether the scheduler may stop a running attempt and start another one.
    pub fn is_preemptible(&self) -> bool {
        self.spec.repeatable
    }

    /// The current placement.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            JobPhase::Placed(placement) => Some(placement),
            JobPhase::Ended { .. } | JobPhase::Pending => None,
        }
    }

    /// The current placement, if it belongs to this attempt.
    pub fn placement_of(&self, attempt: AttemptKey) -> Option<&Placement> {
        self.placement().filter(|placement| placement.attempt == attempt.attempt)
    }

    /// Outcome of the job, once it has ended.
    pub fn outcome(&self) -> Option<&JobOutcome> {
        match &self.phase {
            JobPhase::Ended { outcome, .. } => Some(outcome),
            JobPhase::Pending | JobPhase::Placed(_) => None,
        }
    }

    /// Adds the current attempt to the finished ones.
    pub(crate) fn record_past_attempt(&mut self, reason: &str, at_ms: u64) {
        let Some(placement) = self.placement() else { return };
        let past = PastAttempt {
            attempt: placement.attempt,
            lead: placement.lead(),
            was_started: placement.is_started(),
            reason: SmolStr::new(reason),
            at_ms,
        };
        self.past_attempts.push(past);
        if self.past_attempts.len() > MAX_PAST_ATTEMPTS {
            self.past_attempts.remove(0);
        }
    }

    /// Whether the job waits to be placed.
    pub fn is_pending(&self) -> bool {
        matches!(self.phase, JobPhase::Pending)
    }
}
