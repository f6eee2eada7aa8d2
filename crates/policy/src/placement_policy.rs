//! The border between planners and policies.

use std::fmt;

use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use serde::Deserialize;
use serde::Serialize;

/// Most decisions of one round, so that a burst never holds up heartbeats or urgent work.
pub const MAX_DECISIONS: usize = 64;

/// Why a job still waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// It failed lately and waits before the next attempt.
    BackingOff,
    /// Room that it would take is kept for a larger job that waits longer.
    BehindLargeJob,
    /// The round's limit of decisions was reached before its turn.
    LaterRound,
    /// No span of the topology has room for its shape now.
    NoRoom,
    /// Lent work is being stopped to make room for it.
    Reclaiming,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::BackingOff => "it failed lately and waits before its next attempt",
            Self::BehindLargeJob => "room is kept for a larger job that waits longer",
            Self::LaterRound => "earlier jobs filled this planning round",
            Self::NoRoom => "no span has room for its shape",
            Self::Reclaiming => "lent work is being stopped to make room",
        })
    }
}

/// Why a place was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceReason {
    /// Room in front of a large job that would not start sooner without it.
    Backfill,
    /// Its team's own reservation.
    OwnReservation,
    /// Another team's idle reservation, on loan.
    Lent,
    /// Room that is reserved for nobody.
    Unreserved,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Place a whole gang.
    Place {
        /// The attempt that this begins.
        attempt: AttemptKey,
        /// All members, the lead first.
        members: Vec<Member>,
        /// Reservation in use.
        reservation: Option<ReservationKey>,
        /// Why here.
        reason: PlaceReason,
    },
    /// Stop preemptible work in favour of a job.
    Preempt {
        /// The job to be placed.
        job: JobKey,
        /// Reservation that is reclaimed.
        reservation: Option<ReservationKey>,
        /// Attempts to stop.
        victims: Vec<AttemptKey>,
    },
}

impl Decision {
    /// The record that puts the decision in the log.
    pub fn into_record(self, epoch: u64) -> Record {
        match self {
            Self::Place { attempt, members, reservation, .. } => {
                Record::JobPlaced { epoch, attempt, members, reservation }
            }
            Self::Preempt { job, reservation, victims } => {
                Record::JobsPreempted { epoch, job, reservation, victims }
            }
        }
    }
}

/// A job that was looked at and not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingJob {
    /// The job.
    pub job: JobKey,
    /// Why it waits.
    pub reason: WaitReason,
}

/// What one round decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Decisions, in order.
    pub decisions: Vec<Decision>,
    /// Jobs that were looked at and wait.
    pub waiting: Vec<WaitingJob>,
    /// The large job for which room is kept.
    pub starving_job: Option<JobKey>,
}

impl Plan {
    /// Whether the round has as many decisions as it may.
    pub fn is_full(&self) -> bool {
        self.decisions.len() >= MAX_DECISIONS
    }
}

/// A placement policy.
pub trait PlacementPolicy: Send {
    /// Name in settings, logs and reports.
    fn name(&self) -> &'static str;

    /// Plans one round. `now_ms` is the planner's wall clock, in ms since the Unix epoch.
    fn plan(&mut self, state: &State, now_ms: u64) -> Plan;
}
