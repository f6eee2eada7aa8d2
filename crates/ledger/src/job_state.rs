//! A job as the log knows it.

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

/// Why a running gang is asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// The caller or an operator cancelled the job.
    Cancelled,
    /// Its place is wanted for this job.
    Preempted {
        /// The job to be placed.
        beneficiary: JobKey,
    },
}

/// Where a job's current attempt is placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Number of the attempt.
    pub attempt: u16,
    /// Members, the lead first.
    pub members: Vec<Member>,
    /// Reservation in use.
    pub reservation: Option<ReservationKey>,
    /// When it was placed, in ms since the Unix epoch.
    pub placed_ms: u64,
    /// When it started, in ms since the Unix epoch.
    pub started_ms: Option<u64>,
    /// Incarnation of the lead that may start it, once started.
    pub lead_incarnation: u64,
    /// Set while the gang is asked to stop.
    pub stop: Option<StopCause>,
}

impl Placement {
    /// Whether the start is in the log.
    pub fn is_started(&self) -> bool {
        self.started_ms.is_some()
    }

    /// Worker whose agent leads the gang.
    pub fn lead(&self) -> WorkerKey {
        self.members.first().map(|member| member.worker).unwrap_or_default()
    }
}

/// Where a job is in its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// It ended.
    Ended {
        /// How.
        outcome: JobOutcome,
        /// When, in ms since the Unix epoch.
        at_ms: u64,
    },
    /// It waits to be placed.
    Pending,
    /// It is placed.
    Placed(Placement),
}

/// A job as the log knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Owner.
    pub team: TeamKey,
    /// Idempotency key.
    pub idempotency_key: SmolStr,
    /// What to run.
    pub spec: JobSpec,
    /// Digest of what to run, to tell a repeated submission from a reused key.
    pub content: Digest,
    /// Where it is in its life.
    pub phase: JobPhase,
    /// Attempts so far, the current one included.
    pub attempts: u16,
    /// Attempts that ended by a failure or a lapse.
    pub failures: u8,
    /// Times that a running attempt was stopped in favour of another job.
    pub preemptions: u8,
    /// Workers on which it failed.
    pub failed_workers: BTreeSet<WorkerKey>,
    /// Share of the work that a checkpoint keeps, in thousandths.
    pub progress_permille: u16,
    /// When it was accepted, in ms since the Unix epoch.
    pub submitted_ms: u64,
    /// Earliest time of the next placement, in ms since the Unix epoch.
    pub not_before_ms: u64,
    /// Attempts that are over, the latest ones.
    pub past_attempts: Vec<PastAttempt>,
}

impl JobState {
    /// Whether the scheduler may stop a running attempt and begin another.
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

    /// The current placement, when it is of this attempt.
    pub fn placement_of(&self, attempt: AttemptKey) -> Option<&Placement> {
        self.placement().filter(|placement| placement.attempt == attempt.attempt)
    }

    /// How the job ended.
    pub fn outcome(&self) -> Option<&JobOutcome> {
        match &self.phase {
            JobPhase::Ended { outcome, .. } => Some(outcome),
            JobPhase::Pending | JobPhase::Placed(_) => None,
        }
    }

    /// Notes that the current attempt is over.
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
