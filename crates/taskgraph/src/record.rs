//! Records of the replicated log.
//!
//! Records are encoded by position, so the order of variants and fields is the format. New variants
//! and fields must be added at the end.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::job_id::JobId;
use crate::job_spec::JobSpec;
use crate::job_terms::JobTerms;
use crate::queue_table::QueueVersion;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::StopCause;
use crate::worker::WorkerKey;
use crate::worker::WorkerSpec;

/// Maximum number of runs that one record names, except for a gang, which is placed as a whole. With
/// the longest keys and checkpoints of 200 bytes each, such a record fits into one batch.
pub const MAX_RUNS_PER_RECORD: usize = 1_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndKind {
    /// The task finished.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The run's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
    /// The worker does not know the run: it never started there, or it is gone.
    Vanished,
    /// The worker refused to start the run.
    Refused,
}

impl EndKind {
    /// Whether the run certainly started. One that was stopped or has vanished may not have.
    pub(crate) fn implies_start(self) -> bool {
        match self {
            Self::Done | Self::Failed | Self::Lapsed | Self::Broken | Self::Alone => true,
            Self::Stopped | Self::Vanished | Self::Refused => false,
        }
    }
}

/// End of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Key of the run.
    pub run: RunKey,
    /// How the run ended.
    pub kind: EndKind,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
}

/// Placement of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// Index of the task within its step.
    pub index: u32,
    /// Number of the run.
    pub run: u32,
    /// Worker that the task is placed on.
    pub worker: WorkerKey,
}

/// Permission for a step to run on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTicket {
    /// Key of the worker.
    pub worker: WorkerKey,
    /// Text of the ticket, which orders to start must carry.
    pub text: SmolStr,
}

/// Why a worker was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RemovalCause {
    /// The worker left in an orderly way.
    Left,
    /// A later incarnation replaced the worker.
    Replaced,
    /// The worker's leases expired without being renewed.
    Lapsed,
}

/// Role of a process of this system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessRole {
    /// Serves callers and can become the planner.
    Entry,
    /// Runs beside a worker and controls it.
    Agent,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GraphRecord {
    /// A process of this system started.
    ProcessUp {
        /// Incarnation of the process.
        incarnation: u64,
        /// Role of the process.
        role: ProcessRole,
        /// Instance that the process runs on.
        instance: SmolStr,
        /// Region of the instance.
        region: SmolStr,
        /// Data centre of the instance.
        data_centre: SmolStr,
        /// Address at which other processes reach it.
        address: SocketAddr,
    },
    /// A caller submitted a job. Releases before [`GraphRecord::JobSubmitted`] wrote it.
    JobAccepted {
        /// Identity of the job.
        job: JobId,
        /// Specification of the job.
        spec: JobSpec,
        /// Terms under which the job was accepted.
        terms: JobTerms,
    },
    /// A caller cancelled a job.
    JobCancelled {
        /// Identity of the job.
        job: JobId,
    },
    /// An agent registered its worker, for the first time or again.
    WorkerRegistered {
        /// Incarnation of the agent.
        agent: u64,
        /// Description of the worker.
        spec: WorkerSpec,
    },
    /// A worker accepts no new tasks and is about to leave.
    WorkerDraining {
        /// Key of the worker.
        worker: WorkerKey,
        /// Time from which the worker may be gone, in ms since the Unix epoch.
        until_ms: u64,
    },
    /// The planner has not heard from a worker's agent.
    WorkerSuspected {
        /// Epoch of the planner.
        epoch: u64,
        /// Key of the worker.
        worker: WorkerKey,
        /// Incarnation of the agent that was not heard from.
        agent: u64,
    },
    /// A worker is gone, and with it everything that it ran.
    WorkerRemoved {
        /// Key of the worker.
        worker: WorkerKey,
        /// Why the worker was removed.
        cause: RemovalCause,
        /// Offset of the suspicion that this removal is based on; 0 if the worker's own agent
        /// reports it.
        suspicion_offset: u64,
    },
    /// The planner placed tasks of a step.
    RunsPlaced {
        /// Epoch of the planner.
        epoch: u64,
        /// Key of the step.
        step: StepKey,
        /// Placed tasks; for a gang, all of its members.
        tasks: Vec<TaskPlacement>,
    },
    /// The planner requested runs to stop.
    RunsStopped {
        /// Epoch of the planner.
        epoch: u64,
        /// Why the runs are to stop.
        cause: StopCause,
        /// Keys of the runs.
        runs: Vec<RunKey>,
    },
    /// An agent reported runs that ended.
    RunsEnded {
        /// Key of the worker.
        worker: WorkerKey,
        /// How the runs ended.
        ends: Vec<RunEnd>,
    },
    /// An agent reported checkpoints of running tasks.
    CheckpointsSaved {
        /// Key of the worker.
        worker: WorkerKey,
        /// Runs and their latest checkpoints.
        saved: Vec<(RunKey, SmolStr)>,
    },
    /// An entry claimed the planner role.
    PlannerClaimed {
        /// Claimed epoch, which must be the current epoch plus 1.
        epoch: u64,
        /// Incarnation of the entry.
        instance: u64,
    },
    /// The planner released its role.
    PlannerReleased {
        /// Epoch of the planner.
        epoch: u64,
    },
    /// The planner is alive and had nothing else to write.
    PlannerRenewed {
        /// Epoch of the planner.
        epoch: u64,
    },
    /// A process of this system shut down in an orderly way.
    ProcessDown {
        /// Incarnation of the process.
        incarnation: u64,
    },
    /// An agent reported runs that make no progress.
    RunsStalled {
        /// Key of the worker.
        worker: WorkerKey,
        /// Keys of the runs.
        runs: Vec<RunKey>,
    },
    /// A snapshot was stored.
    SnapshotTaken {
        /// Offset of the first batch that the snapshot does not cover.
        offset: u64,
    },
    /// The planner received advice on the workers that may run a step.
    StepAdvised {
        /// Epoch of the planner.
        epoch: u64,
        /// Key of the step.
        step: StepKey,
        /// Workers that the advising service was asked about.
        asked: Vec<WorkerKey>,
        /// Tickets for those workers that may run the step.
        tickets: Vec<WorkerTicket>,
        /// When the tickets expire, in ms since the Unix epoch.
        until_ms: u64,
    },
    /// An agent reported that its worker runs everything slowly, or at its normal speed again.
    WorkerSpeedReported {
        /// Key of the worker.
        worker: WorkerKey,
        /// Whether the worker is slow.
        is_slow: bool,
        /// Runs on the worker, with their progress in percent.
        progress: Vec<(RunKey, u8)>,
    },
    /// An agent reported runs that its worker has started, one for each job that had none so far.
    RunsStarted {
        /// Keys of the runs.
        runs: Vec<RunKey>,
    },
    /// A caller cancelled a job that the entry did not have.
    UnknownJobCancelled {
        /// Identity of the job.
        job: JobId,
        /// Address of the caller's queue; its name in records of previous releases.
        queue: SmolStr,
        /// Team of the caller; empty if it has none.
        team: SmolStr,
    },
    /// An entry read which data centres the operator has asked to evacuate.
    EvacuationsRead {
        /// Position in the operator's topic as of which they are known.
        as_of: u64,
        /// Names of all evacuated data centres.
        data_centres: BTreeSet<SmolStr>,
    },
    /// The response of a worker to its agent's health checks changed, or is still that it is unhealthy.
    HealthChanged {
        /// Key of the worker.
        worker: WorkerKey,
        /// Whether the worker considers itself healthy.
        is_healthy: bool,
    },
    /// A caller submitted a job at the address of a queue.
    JobSubmitted {
        /// Identity of the job.
        job: JobId,
        /// Specification of the job.
        spec: JobSpec,
        /// Terms under which the job was accepted.
        terms: JobTerms,
        /// Address of the queue.
        address: SmolStr,
        /// Version of the configuration that the terms are from.
        version: u64,
    },
    /// An entry read a configuration in which a queue has another name or service.
    QueueChanged {
        /// Address of the queue.
        address: SmolStr,
        /// The queue in that configuration.
        latest: QueueVersion,
    },
}
