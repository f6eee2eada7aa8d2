//! Records of the log.
//!
//! Records are encoded by position, so the order of variants and fields is part of the format: new
//! ones are added at the end.

use std::net::SocketAddr;

use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::worker::WorkerSpec;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A decision or instruction that is written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An entry instance started to serve.
    EntryJoined {
        /// Entry instance.
        instance: u64,
        /// Region of the instance.
        region: SmolStr,
        /// Address at which agents and other entries connect to it.
        address: SocketAddr,
    },
    /// An entry instance stopped or became unresponsive.
    EntryLeft {
        /// Entry instance.
        instance: u64,
    },
    /// A caller or operator cancels a job.
    JobCancelled {
        /// The job.
        job: JobKey,
    },
    /// A gang's lead reports the end of an attempt.
    JobEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// Incarnation of the reporting lead's agent.
        lead_incarnation: u64,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The planner places a whole gang.
    JobPlaced {
        /// Epoch of the planner.
        epoch: u64,
        /// The attempt that this placement begins.
        attempt: AttemptKey,
        /// All members, the lead first.
        members: Vec<Member>,
        /// The reservation that the job uses, if any.
        reservation: Option<ReservationKey>,
    },
    /// A gang's lead requests the start, since all members are ready.
    JobStarted {
        /// The attempt.
        attempt: AttemptKey,
        /// Incarnation of the lead's agent, the only one that may start the members.
        lead_incarnation: u64,
    },
    /// A caller submits a job.
    JobSubmitted {
        /// Name of the team.
        team: SmolStr,
        /// Idempotency key within the team.
        idempotency_key: SmolStr,
        /// Specification of the job.
        spec: JobSpec,
    },
    /// The planner preempts attempts so that another job can be placed.
    JobsPreempted {
        /// Epoch of the planner.
        epoch: u64,
        /// The job that is to be placed instead.
        job: JobKey,
        /// The reservation that is reclaimed, if any.
        reservation: Option<ReservationKey>,
        /// Attempts to stop.
        victims: Vec<AttemptKey>,
    },
    /// An entry claims the planner role.
    PlannerClaimed {
        /// The epoch claimed: the current one plus 1.
        epoch: u64,
        /// Entry instance that claims the role.
        instance: u64,
    },
    /// The planner releases its role.
    PlannerReleased {
        /// Epoch of the planner.
        epoch: u64,
    },
    /// Heartbeat of a planner that has nothing else to write.
    PlannerRenewed {
        /// Epoch of the planner.
        epoch: u64,
    },
    /// An operator applies a sheet.
    SheetApplied {
        /// Operator who applies it.
        author: SmolStr,
        /// The sheet.
        sheet: Sheet,
        /// Maximum share of teams and guarantees that the sheet may remove, in thousandths.
        max_removed_permille: u16,
    },
    /// An operator, or the backend server itself, drains a worker: it gets no new work.
    WorkerDrained {
        /// The worker.
        worker: WorkerKey,
    },
    /// An agent registered its worker, or connected to another entry.
    WorkerJoined {
        /// Specification that the agent registered.
        spec: WorkerSpec,
        /// Incarnation of the agent.
        incarnation: u64,
        /// Number of the agent's session with an entry, increasing within the incarnation.
        session: u32,
        /// Entry instance that the agent is connected to.
        entry: u64,
    },
    /// A worker deregistered after its drain.
    WorkerLeft {
        /// The worker.
        worker: WorkerKey,
        /// Incarnation of the agent.
        incarnation: u64,
    },
    /// The agent of a worker became unresponsive.
    WorkerLost {
        /// The worker.
        worker: WorkerKey,
        /// Incarnation of the agent.
        incarnation: u64,
        /// Session that ended.
        session: u32,
    },
    /// An operator ends a worker's drain.
    WorkerResumed {
        /// The worker.
        worker: WorkerKey,
    },
}
