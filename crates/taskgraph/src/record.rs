//! Records of the log.
//!
//! The order of variants and fields is the format: new ones come last.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::job_id::JobId;
use crate::job_spec::JobSpec;
use crate::job_terms::JobTerms;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::StopCause;
use crate::worker::WorkerKey;
use crate::worker::WorkerSpec;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndKind {
    /// The task finished.
    Done,
    /// The task failed, by its own fault or the worker's.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
    /// The worker does not know it; it never ran there or is gone.
    Vanished,
    /// The worker refused to start it.
    Refused,
}

/// End of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The run.
    pub run: RunKey,
    /// How it ended.
    pub kind: EndKind,
    /// Last checkpoint; empty where there is none.
    pub checkpoint: SmolStr,
}

/// Where one task is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// Task of the step.
    pub index: u32,
    /// Number of the run.
    pub run: u32,
    /// Worker that runs it.
    pub worker: WorkerKey,
}

/// A worker's permission to run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTicket {
    /// The worker.
    pub worker: WorkerKey,
    /// What an order to start carries.
    pub text: SmolStr,
}

/// Why a worker is no longer there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RemovalCause {
    /// It left in order.
    Left,
    /// A later incarnation took its place.
    Replaced,
    /// Its leases have run out unrenewed.
    Lapsed,
}

/// Role of a process of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessRole {
    /// Serves callers and may plan.
    Entry,
    /// Stands beside a worker.
    Agent,
}

/// One decision or instruction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GraphRecord {
    /// A process of the system began.
    ProcessUp {
        /// Its incarnation.
        incarnation: u64,
        /// Its role.
        role: ProcessRole,
        /// Instance on which it runs.
        instance: SmolStr,
        /// Region in which it stands.
        region: SmolStr,
        /// Data centre in which it stands.
        data_centre: SmolStr,
        /// Where other processes of the system reach it.
        address: SocketAddr,
    },
    /// A caller submitted a job.
    JobAccepted {
        /// The job.
        job: JobId,
        /// What to run.
        spec: JobSpec,
        /// On which terms.
        terms: JobTerms,
    },
    /// A caller wants a job not to run any more.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// An agent announces its worker, or comes back to it.
    WorkerRegistered {
        /// Incarnation of the agent.
        agent: u64,
        /// What the worker said of itself.
        spec: WorkerSpec,
    },
    /// A worker takes no new tasks and leaves.
    WorkerDraining {
        /// The worker.
        worker: WorkerKey,
        /// When it may be gone, in ms since the Unix epoch.
        until_ms: u64,
    },
    /// The planner does not hear from a worker's agent.
    WorkerSuspected {
        /// Epoch of the planner.
        epoch: u64,
        /// The worker.
        worker: WorkerKey,
        /// Incarnation of the agent that is not heard from.
        agent: u64,
    },
    /// A worker is gone, and everything that it ran.
    WorkerRemoved {
        /// The worker.
        worker: WorkerKey,
        /// Why.
        cause: RemovalCause,
        /// Offset of the suspicion that this follows from; 0 when its own agent says so.
        suspicion_offset: u64,
    },
    /// The planner places tasks of a step.
    RunsPlaced {
        /// Epoch of the planner.
        epoch: u64,
        /// The step.
        step: StepKey,
        /// Its tasks; all of them for a gang.
        tasks: Vec<TaskPlacement>,
    },
    /// The planner wants runs to stop.
    RunsStopped {
        /// Epoch of the planner.
        epoch: u64,
        /// Why.
        cause: StopCause,
        /// The runs.
        runs: Vec<RunKey>,
    },
    /// An agent reports ends.
    RunsEnded {
        /// The worker.
        worker: WorkerKey,
        /// The ends.
        ends: Vec<RunEnd>,
    },
    /// An agent reports checkpoints of running tasks.
    CheckpointsSaved {
        /// The worker.
        worker: WorkerKey,
        /// Runs and their newest checkpoints.
        saved: Vec<(RunKey, SmolStr)>,
    },
    /// An entry wants the planner role.
    PlannerClaimed {
        /// The epoch claimed: the current one plus 1.
        epoch: u64,
        /// Incarnation of the entry.
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
    /// A process of the system stopped in order.
    ProcessDown {
        /// Its incarnation.
        incarnation: u64,
    },
    /// An agent sees runs that make no progress.
    RunsStalled {
        /// The worker.
        worker: WorkerKey,
        /// The runs.
        runs: Vec<RunKey>,
    },
    /// A snapshot is kept.
    SnapshotTaken {
        /// Offset of the first batch that it does not cover.
        offset: u64,
    },
    /// The planner learned which workers may run a step.
    StepAdvised {
        /// Epoch of the planner.
        epoch: u64,
        /// The step.
        step: StepKey,
        /// Workers asked about.
        asked: Vec<WorkerKey>,
        /// Those that may run it.
        tickets: Vec<WorkerTicket>,
        /// When the tickets run out, in ms since the Unix epoch.
        until_ms: u64,
    },
    /// An agent sees its worker run everything slowly, or as usual again.
    WorkerSpeedReported {
        /// The worker.
        worker: WorkerKey,
        /// Whether it is slow.
        is_slow: bool,
        /// Its runs, with how far they have come in percent.
        progress: Vec<(RunKey, u8)>,
    },
}
