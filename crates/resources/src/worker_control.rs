//! Interface of the platform's workers, which run tasks under leases.

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::Snafu;

/// Request to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStart {
    /// Task name, unique on the worker; starting the same name again is idempotent.
    pub task: SmolStr,
    /// Duration of the lease, in ms; the worker stops the task when the lease lapses.
    pub lease_ms: u64,
    /// Indices of the task's accelerators, as a bit mask.
    pub accelerators: u32,
    /// Payload reference that is passed to the task.
    pub payload: SmolStr,
    /// Run time that the job declares, in ms.
    pub declared_run_ms: u64,
    /// Share of the work that is already done, in thousandths.
    pub resume_permille: u16,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task completed.
    Completed {
        /// Result of the task.
        result: Vec<u8>,
    },
    /// The task failed.
    Failed {
        /// Cause of the failure.
        reason: SmolStr,
    },
    /// The task's lease lapsed and the worker stopped it.
    LeaseLapsed,
    /// The task was stopped on request.
    Stopped {
        /// Share of the work that is saved, in thousandths.
        progress_permille: u16,
    },
}

/// A worker's report that a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// Task name.
    pub task: SmolStr,
    /// How the task ended.
    pub end: TaskEnd,
}

/// A worker's report of its usage at an earlier time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerUsage {
    /// Age of the report, in ms.
    pub lag_ms: u64,
    /// Indices of the accelerators in use, as a bit mask.
    pub accelerators: u32,
}

/// Why a call to a worker failed.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum WorkerError {
    /// The worker refused the call.
    #[snafu(display("the worker refused: {reason}"))]
    Refused {
        /// Reason that the worker gave.
        reason: String,
    },
    /// The worker could not be reached, or its answer was lost.
    #[snafu(display("no answer from the worker: {reason}"))]
    Unreachable {
        /// Description of the cause.
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

    /// Renews the leases of `tasks`, to end `lease_ms` from now.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn renew(&self, tasks: Vec<SmolStr>, lease_ms: u64) -> Result<(), WorkerError>;

    /// Stops a task, after a checkpoint if `checkpoint` is set. Its end is reported like any other.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn stop(&self, task: SmolStr, checkpoint: bool) -> Result<(), WorkerError>;

    /// Limits a task to a share of its processor time, in thousandths.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn throttle(&self, task: SmolStr, share_permille: u16) -> Result<(), WorkerError>;

    /// Returns the reports of ended tasks after the first `after` ones, waiting up to `wait_ms` for
    /// one.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn reports(&self, after: u64, wait_ms: u32) -> Result<Vec<TaskReport>, WorkerError>;

    /// Returns the names of the running tasks.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn running(&self) -> Result<Vec<SmolStr>, WorkerError>;

    /// Returns the worker's usage, which lags behind.
    ///
    /// # Errors
    /// [`WorkerError`] when the worker can't be reached.
    async fn usage(&self) -> Result<WorkerUsage, WorkerError>;
}
