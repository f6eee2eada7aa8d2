//! Records of the log.
//!
//! The order of variants and fields is the format: new ones come last.

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

/// One decision or instruction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An entry instance began to serve.
    EntryJoined {
        /// Instance.
        instance: u64,
        /// Region that it stands in.
        region: SmolStr,
        /// Where agents and other entries reach it.
        address: SocketAddr,
    },
    /// An entry instance stopped, or is not heard from.
    EntryLeft {
        /// Instance.
        instance: u64,
    },
    /// A caller or operator wants a job not to run any more.
    JobCancelled {
        /// The job.
        job: JobKey,
    },
    /// A gang's lead reports the end of an attempt.
    JobEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// Incarnation of the lead that reports.
        lead_incarnation: u64,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The planner places a whole gang.
    JobPlaced {
        /// Epoch of the planner.
        epoch: u64,
        /// The attempt that this begins.
        attempt: AttemptKey,
        /// All members, the lead first.
        members: Vec<Member>,
        /// The reservation that the job uses, if any.
        reservation: Option<ReservationKey>,
    },
    /// A gang's lead has every member ready and wants to start.
    JobStarted {
        /// The attempt.
        attempt: AttemptKey,
        /// Incarnation of the lead, the only one that may send the start.
        lead_incarnation: u64,
    },
    /// A caller submits a job.
    JobSubmitted {
        /// Team's name.
        team: SmolStr,
        /// Idempotency key within the team.
        idempotency_key: SmolStr,
        /// What to run.
        spec: JobSpec,
    },
    /// The planner stops preemptible work so that another job can be placed.
    JobsPreempted {
        /// Epoch of the planner.
        epoch: u64,
        /// The job to be placed.
        job: JobKey,
        /// The reservation that is reclaimed, if any.
        reservation: Option<ReservationKey>,
        /// Attempts to stop.
        victims: Vec<AttemptKey>,
    },
    /// An entry wants the planner role.
    PlannerClaimed {
        /// The epoch claimed: the current one plus 1.
        epoch: u64,
        /// Instance.
        instance: u64,
    },
    /// The planner gives up its role.
    PlannerReleased {
        /// Its epoch.
        epoch: u64,
    },
    /// The planner is alive and had nothing else to write.
    PlannerRenewed {
        /// Its epoch.
        epoch: u64,
    },
    /// An operator applies a sheet.
    SheetApplied {
        /// Who applies it.
        author: SmolStr,
        /// The sheet.
        sheet: Sheet,
        /// Largest share of teams and guarantees that it may remove, in thousandths.
        max_removed_permille: u16,
    },
    /// An operator, or the backend server itself, wants no new work on a worker.
    WorkerDrained {
        /// The worker.
        worker: WorkerKey,
    },
    /// An agent announced its worker, or moved to another entry.
    WorkerJoined {
        /// What it announced.
        spec: WorkerSpec,
        /// Incarnation of the agent.
        incarnation: u64,
        /// Number of the agent's session with an entry, rising within the incarnation.
        session: u32,
        /// Entry instance that the agent is connected to.
        entry: u64,
    },
    /// A worker left after it drained.
    WorkerLeft {
        /// The worker.
        worker: WorkerKey,
        /// Incarnation of the agent.
        incarnation: u64,
    },
    /// An agent is not heard from.
    WorkerLost {
        /// The worker.
        worker: WorkerKey,
        /// Incarnation of the agent.
        incarnation: u64,
        /// Session that ended.
        session: u32,
    },
    /// An operator takes back a drain.
    WorkerResumed {
        /// The worker.
        worker: WorkerKey,
    },
}
