//! Reasons for which a record is refused.

use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::Snafu;

/// Reason for which a record changed nothing. The job of a refused submission never runs.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum Refusal {
    /// The attempt is not the job's current one, is not in the state that the record requires, or is
    /// reported by another incarnation of its lead or with an answer that is too long.
    #[snafu(display("attempt {attempt} is not current"))]
    AttemptNotCurrent {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// The batch was applied before.
    #[snafu(display("the record was applied before"))]
    Duplicate,
    /// The free resources of a worker do not cover its members.
    #[snafu(display("worker {worker} does not have free what a member takes"))]
    InsufficientCapacity {
        /// The worker.
        worker: WorkerKey,
    },
    /// The job ended before, or is not pending although the record requires it.
    #[snafu(display("job {job} ended before"))]
    JobAlreadyEnded {
        /// The job.
        job: JobKey,
    },
    /// The same idempotency key was used for a job with another specification.
    #[snafu(display("key {idempotency_key:?} of team {team:?} was used for another job"))]
    KeyReused {
        /// Name of the team.
        team: SmolStr,
        /// Idempotency key.
        idempotency_key: SmolStr,
    },
    /// The members are not all of the gang, exceed the span of its shape, or have accelerators that
    /// are not contiguous.
    #[snafu(display("the placement of job {job} is not its whole shape"))]
    ShapeMismatch {
        /// The job.
        job: JobKey,
    },
    /// The attempt to preempt is not preemptible, or not current.
    #[snafu(display("attempt {attempt} can't be preempted"))]
    NotPreemptible {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// The planner's epoch is not the current one.
    #[snafu(display("epoch {epoch} is not the current one, {current}"))]
    StaleEpoch {
        /// Epoch of the record.
        epoch: u64,
        /// Current epoch.
        current: u64,
    },
    /// The placement of a non-preemptible job would block another team's guarantee.
    #[snafu(display("a guarantee on worker {worker} would become unobtainable"))]
    GuaranteeViolated {
        /// The worker.
        worker: WorkerKey,
    },
    /// The maximum number of jobs is pending.
    #[snafu(display("{pending} jobs wait, the limit is {limit}"))]
    QueueFull {
        /// Number of pending jobs.
        pending: usize,
        /// The limit.
        limit: usize,
    },
    /// The reservation belongs to another team, is in use, or does not cover the placement.
    #[snafu(display("the reservation does not fit job {job}"))]
    ReservationMismatch {
        /// The job.
        job: JobKey,
    },
    /// No part of the topology can ever hold the shape.
    #[snafu(display("shape {shape} can never be placed: {reason}"))]
    ShapeImpossible {
        /// The shape.
        shape: SmolStr,
        /// Reason.
        reason: SmolStr,
    },
    /// The sheet contains a duplicate name or a job that is refused.
    #[snafu(display("the sheet is not valid: {reason}"))]
    SheetInvalid {
        /// Description of the fault.
        reason: SmolStr,
    },
    /// The guarantees of the sheet do not fit on the registered workers.
    #[snafu(display(
        "guarantee {guarantee:?} of team {team:?} can't be held: the sheet promises \
         {promised} accelerators, {available} are known"
    ))]
    SheetInfeasible {
        /// Name of the team.
        team: SmolStr,
        /// First guarantee that could not be placed.
        guarantee: SmolStr,
        /// Number of accelerators guaranteed by the whole sheet.
        promised: u32,
        /// Number of accelerators of all registered workers.
        available: u32,
    },
    /// The sheet removes more teams and guarantees than allowed.
    #[snafu(display(
        "the sheet removes {removed} of {total} teams and guarantees, the limit is \
         {limit_permille} in 1000"
    ))]
    SheetRemovesTooMuch {
        /// Number of removed teams and guarantees.
        removed: usize,
        /// Number of current teams and guarantees.
        total: usize,
        /// Limit in thousandths.
        limit_permille: u16,
    },
    /// The sheet is based on a version that is not the current one.
    #[snafu(display(
        "the sheet is based on version {base}, version {current} by {author:?} is in force"
    ))]
    SheetStale {
        /// Version that the sheet is based on.
        base: u64,
        /// Current version.
        current: u64,
        /// Operator who applied the current version.
        author: SmolStr,
    },
    /// The team has the maximum number of pending jobs.
    #[snafu(display("{pending} jobs of team {team:?} wait, its limit is {limit}"))]
    TeamQueueFull {
        /// Name of the team.
        team: SmolStr,
        /// Number of pending jobs.
        pending: usize,
        /// The limit.
        limit: usize,
    },
    /// The entry instance is unknown.
    #[snafu(display("entry {instance} is not known"))]
    UnknownEntry {
        /// Entry instance.
        instance: u64,
    },
    /// The job is unknown.
    #[snafu(display("job {job} is not known"))]
    UnknownJob {
        /// Key of the job.
        job: JobKey,
    },
    /// The team is unknown, or not in the current sheet.
    #[snafu(display("team {team:?} is not known"))]
    UnknownTeam {
        /// Name of the team.
        team: SmolStr,
    },
    /// The worker is unknown.
    #[snafu(display("worker {worker} is not known"))]
    UnknownWorker {
        /// The worker.
        worker: WorkerKey,
    },
    /// The worker takes no new work.
    #[snafu(display("worker {worker} takes no new work"))]
    WorkerUnavailable {
        /// The worker.
        worker: WorkerKey,
    },
    /// A newer incarnation or session of the agent is known.
    #[snafu(display("a newer session of worker {worker} is known"))]
    StaleSession {
        /// The worker.
        worker: WorkerKey,
    },
}
