//! The platform's workers: tasks under leases.

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::Snafu;

/// What a worker is asked to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStart {
    /// Task name, unique on the worker; a second start of the same name changes nothing.
    pub task: SmolStr,
    /// Lease, in ms; the worker stops the task when it lapses.
    pub lease_ms: u64,
    /// Accelerator indices as bits.
    pub accelerators: u32,
    /// Reference that the task is given.
    pub payload: SmolStr,
    /// Run time that the caller expects, in ms.
    pub declared_run_ms: u64,
    /// Share of the work already done, in thousandths.
    pub resume_permille: u16,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task finished with this result.
    Completed {
        /// Bytes of the result.
        result: Vec<u8>,
    },
    /// The task failed.
    Failed {
        /// What went wrong.
        reason: SmolStr,
    },
    /// The task's lease lapsed and the worker stopped it.
    LeaseLapsed,
    /// The task was stopped on request.
    Stopped {
        /// Share of the work kept, in thousandths.
        progress_permille: u16,
    },
}

/// A task's end, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// Task name.
    pub task: SmolStr,
    /// How it ended.
    pub end: TaskEnd,
}

/// A worker's own account of its use, as of a while ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerUsage {
    /// How long ago, in ms.
    pub lag_ms: u64,
    /// Accelerator indices in use, as bits.
    pub accelerators: u32,
}

/// Why a worker did not do as asked.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum WorkerError {
    /// The worker refused.
    #[snafu(display("the worker refused: {reason}"))]
    Refused {
        /// What it said.
        reason: String,
    },
    /// The worker could not be reached, or its answer was lost.
    #[snafu(display("no answer from the worker: {reason}"))]
    Unreachable {
        /// What was seen.
        reason: String,
    },
}

/// Client of one worker.
#[async_trait]
pub trait WorkerControl: Send + Sync {
    /// Starts a task.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker refuses or can't be reached.
    async fn start(&self, task: TaskStart) -> Result<(), WorkerError>;

    /// Renews the leases of some tasks to `lease_ms` from now.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn renew(&self, tasks: Vec<SmolStr>, lease_ms: u64) -> Result<(), WorkerError>;

    /// Stops a task, after a checkpoint where asked; its end is reported like any other.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn stop(&self, task: SmolStr, checkpoint: bool) -> Result<(), WorkerError>;

    /// Limits a task to a share of its processor time, in thousandths.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn throttle(&self, task: SmolStr, share_permille: u16) -> Result<(), WorkerError>;

    /// Ends of tasks from report number `after` on, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn reports(&self, after: u64, wait_ms: u32) -> Result<Vec<TaskReport>, WorkerError>;

    /// Names of the tasks running now.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn running(&self) -> Result<Vec<SmolStr>, WorkerError>;

    /// What the worker used a while ago.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn usage(&self) -> Result<WorkerUsage, WorkerError>;
}
