//! Reasons why a record was refused.

use smol_str::SmolStr;
use snafu::Snafu;

use crate::job_id::JobId;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// Reason why a record changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GraphRefusal {
    /// Too many cancellations of unknown jobs are kept for the team.
    #[snafu(display("too many cancellations of unknown jobs are kept for team {team:?}"))]
    TooManyCancellations {
        /// Name of the team.
        team: SmolStr,
    },
    /// The batch was already applied.
    #[snafu(display("the batch was already applied"))]
    Duplicate,
    /// The record was written in another planner epoch.
    #[snafu(display("epoch {epoch} is not the current epoch {current}"))]
    StaleEpoch {
        /// Epoch of the record.
        epoch: u64,
        /// Current epoch.
        current: u64,
    },
    /// The job is not known.
    #[snafu(display("job {job} is not known"))]
    UnknownJob {
        /// Identity of the job.
        job: JobId,
    },
    /// The job has already ended.
    #[snafu(display("job {job} has ended"))]
    JobEnded {
        /// Identity of the job.
        job: JobId,
    },
    /// The worker is not known.
    #[snafu(display("worker {worker} is not known"))]
    UnknownWorker {
        /// Key of the worker.
        worker: WorkerKey,
    },
    /// The worker accepts no tasks.
    #[snafu(display("worker {worker} accepts no tasks"))]
    WorkerNotReady {
        /// Key of the worker.
        worker: WorkerKey,
    },
    /// The worker may not run the step.
    #[snafu(display("worker {worker} may not run step {step}"))]
    WorkerUnfit {
        /// Key of the worker.
        worker: WorkerKey,
        /// Key of the step.
        step: StepKey,
    },
    /// The worker does not have enough free capacity.
    #[snafu(display("worker {worker} has too little free capacity for step {step}"))]
    NoRoom {
        /// Key of the worker.
        worker: WorkerKey,
        /// Key of the step.
        step: StepKey,
    },
    /// The step or the tasks can't be placed at present.
    #[snafu(display("step {step} can't be placed: {reason}"))]
    StepNotReady {
        /// Key of the step.
        step: StepKey,
        /// What prevents the placement.
        reason: &'static str,
    },
    /// The run number is not the next one of its task.
    #[snafu(display("run {run} is not the next run of its task"))]
    WrongRun {
        /// Key of the run.
        run: RunKey,
    },
    /// The worker is not suspected, or by another record than the one named.
    #[snafu(display("worker {worker} is not suspected by that record"))]
    NotSuspected {
        /// Key of the worker.
        worker: WorkerKey,
    },
    /// The worker's data centre is evacuated.
    #[snafu(display("the data centre of worker {worker} is evacuated"))]
    DataCentreEvacuated {
        /// Key of the worker.
        worker: WorkerKey,
    },
    /// The evacuated data centres are recorded as of the same position or a later one.
    #[snafu(display("evacuations as of {as_of} are not later than those as of {current}"))]
    StaleEvacuations {
        /// Position of the record.
        as_of: u64,
        /// Recorded position.
        current: u64,
    },
    /// There are too many evacuated data centres, or one has no valid name.
    #[snafu(display("the evacuated data centres are too many or have no valid names"))]
    InvalidEvacuations,
    /// The state has no room for the job's specification.
    #[snafu(display("the active jobs hold {held} bytes; no room for {bytes} bytes of job {job}"))]
    StateFull {
        /// Identity of the job.
        job: JobId,
        /// Bytes of the job's specification.
        bytes: u64,
        /// Bytes of the specifications of active jobs.
        held: u64,
    },
    /// No known job was submitted at the address.
    #[snafu(display("there is no queue with jobs at {address:?}"))]
    UnknownQueue {
        /// Address of the queue.
        address: SmolStr,
    },
    /// The queue is recorded as of the same version of the configuration or a later one.
    #[snafu(display("version {version} of queue {address:?} is not later than version {current}"))]
    StaleQueue {
        /// Address of the queue.
        address: SmolStr,
        /// Version of the record.
        version: u64,
        /// Recorded version.
        current: u64,
    },
    /// A later agent or incarnation of the worker has registered.
    #[snafu(display("worker {worker} was registered by a later agent or incarnation"))]
    Superseded {
        /// Key of the worker.
        worker: WorkerKey,
    },
}
