//! Interface between planners and placement policies.

use std::fmt;

use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of decisions in one round, so that a burst of jobs does not delay heartbeats or
/// urgent work.
pub const MAX_DECISIONS_PER_ROUND: usize = 64;

/// Why a pending job was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// It failed recently and waits for its retry delay to end.
    BackingOff,
    /// Capacity that it would take is kept for a larger job that has waited longer.
    BehindLargeJob,
    /// The round reached its limit of decisions before the job was considered.
    LaterRound,
    /// No part of the topology has enough free capacity for its shape.
    NoRoom,
    /// Other work is being stopped to free capacity for it.
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

/// Which kind of capacity a job was placed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementReason {
    /// Unreserved capacity, ahead of a starving large job whose planned start is not delayed.
    Backfill,
    /// Reservation of the job's own team.
    OwnReservation,
    /// Idle reservation lent by another team.
    Lent,
    /// Capacity that is not reserved.
    Unreserved,
}

/// Decision of a policy, to be written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Place all members of a gang.
    Place {
        /// Attempt that the placement starts.
        attempt: AttemptKey,
        /// All members, the lead first.
        members: Vec<Member>,
        /// Reservation of the job's team that the gang uses, if any.
        reservation: Option<ReservationKey>,
        /// Kind of capacity used.
        reason: PlacementReason,
    },
    /// Stop preemptible attempts so that a job can be placed.
    Preempt {
        /// Job that gets the freed capacity.
        job: JobKey,
        /// Reservation that is reclaimed, if any.
        reservation: Option<ReservationKey>,
        /// Attempts to stop.
        victims: Vec<AttemptKey>,
    },
}

impl Decision {
    /// Converts the decision to the log record that carries it out. `epoch` is the planner's epoch.
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

/// Job that was considered in a round and not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingJob {
    /// Key of the job.
    pub job: JobKey,
    /// Why it was not placed.
    pub reason: WaitReason,
}

/// Result of one planning round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Decisions, in the order in which they must be applied.
    pub decisions: Vec<Decision>,
    /// Jobs that were considered and not placed.
    pub waiting: Vec<WaitingJob>,
    /// Large job that has waited too long, for which capacity is kept free.
    pub starving_job: Option<JobKey>,
}

impl Plan {
    /// Whether the round has reached [`MAX_DECISIONS_PER_ROUND`].
    pub fn is_full(&self) -> bool {
        self.decisions.len() >= MAX_DECISIONS_PER_ROUND
    }
}

/// Algorithm that decides which pending jobs are placed where, and what is preempted for them.
pub trait PlacementPolicy: Send {
    /// Name of the policy in settings, logs and reports.
    fn name(&self) -> &'static str;

    /// Plans one round. `now_ms` is the planner's wall clock, in ms since the Unix epoch.
    fn plan(&mut self, state: &State, now_ms: u64) -> Plan;
}
