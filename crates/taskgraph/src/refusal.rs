//! Why a record changed nothing.

use snafu::Snafu;

use crate::job_id::JobId;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// Why a record changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GraphRefusal {
    /// The batch was applied before.
    #[snafu(display("the batch was applied before"))]
    Duplicate,
    /// The record is of an earlier or later planner.
    #[snafu(display("epoch {epoch} is not the current one, {current}"))]
    StaleEpoch {
        /// Epoch of the record.
        epoch: u64,
        /// Current one.
        current: u64,
    },
    /// There is no such job.
    #[snafu(display("job {job} is not known"))]
    UnknownJob {
        /// The job.
        job: JobId,
    },
    /// The job ended before.
    #[snafu(display("job {job} has ended"))]
    JobEnded {
        /// The job.
        job: JobId,
    },
    /// There is no such worker.
    #[snafu(display("worker {worker} is not known"))]
    UnknownWorker {
        /// The worker.
        worker: WorkerKey,
    },
    /// The worker takes no tasks.
    #[snafu(display("worker {worker} takes no tasks now"))]
    WorkerNotReady {
        /// The worker.
        worker: WorkerKey,
    },
    /// The worker may not run the step.
    #[snafu(display("worker {worker} may not run step {step}"))]
    WorkerUnfit {
        /// The worker.
        worker: WorkerKey,
        /// The step.
        step: StepKey,
    },
    /// The worker has not enough room.
    #[snafu(display("worker {worker} has no room for step {step}"))]
    NoRoom {
        /// The worker.
        worker: WorkerKey,
        /// The step.
        step: StepKey,
    },
    /// The step waits for others, or has no such task.
    #[snafu(display("step {step} can't be placed: {reason}"))]
    StepNotReady {
        /// The step.
        step: StepKey,
        /// Why.
        reason: &'static str,
    },
    /// The run is not the next one of its task.
    #[snafu(display("run {run} is not the next one of its task"))]
    WrongRun {
        /// The run.
        run: RunKey,
    },
    /// Another suspicion, or none, is in force.
    #[snafu(display("worker {worker} is not under that suspicion"))]
    NotSuspected {
        /// The worker.
        worker: WorkerKey,
    },
    /// A later agent or incarnation of the worker registered.
    #[snafu(display("worker {worker} was registered anew"))]
    Superseded {
        /// The worker.
        worker: WorkerKey,
    },
}
