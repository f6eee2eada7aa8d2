//! Why a record changed nothing.

use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::Snafu;

/// Why a record changed nothing. A refused submission is certainly not run.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum Refusal {
    /// The attempt is not the job's current one, or not in the state that the record needs.
    #[snafu(display("attempt {attempt} is not current"))]
    AttemptNotCurrent {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// The batch was applied before.
    #[snafu(display("the record was applied before"))]
    Duplicate,
    /// A member takes what the worker doesn't have free.
    #[snafu(display("worker {worker} does not have free what a member takes"))]
    InsufficientCapacity {
        /// The worker.
        worker: WorkerKey,
    },
    /// The job ended before.
    #[snafu(display("job {job} ended before"))]
    JobAlreadyEnded {
        /// The job.
        job: JobKey,
    },
    /// The same key was used with other content.
    #[snafu(display("key {idempotency_key:?} of team {team:?} was used for another job"))]
    KeyReused {
        /// Team.
        team: SmolStr,
        /// Key.
        idempotency_key: SmolStr,
    },
    /// Part of a gang, or members too far apart.
    #[snafu(display("the placement of job {job} is not its whole shape"))]
    ShapeMismatch {
        /// The job.
        job: JobKey,
    },
    /// Preemption of work that may not be stopped.
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
    /// A placement would make a guarantee unobtainable.
    #[snafu(display("a guarantee on worker {worker} would become unobtainable"))]
    GuaranteeViolated {
        /// The worker.
        worker: WorkerKey,
    },
    /// The queue is full.
    #[snafu(display("{pending} jobs wait, the limit is {limit}"))]
    QueueFull {
        /// Jobs waiting.
        pending: usize,
        /// The limit.
        limit: usize,
    },
    /// The reservation is not the team's, is not free, or doesn't hold the job.
    #[snafu(display("the reservation does not fit job {job}"))]
    ReservationMismatch {
        /// The job.
        job: JobKey,
    },
    /// No part of the topology could ever hold the shape.
    #[snafu(display("shape {shape} can never be placed: {reason}"))]
    ShapeImpossible {
        /// The shape.
        shape: SmolStr,
        /// Why not.
        reason: SmolStr,
    },
    /// The sheet says something that can't be.
    #[snafu(display("the sheet is not valid: {reason}"))]
    SheetInvalid {
        /// What.
        reason: SmolStr,
    },
    /// The sheet promises more than there is.
    #[snafu(display(
        "guarantee {guarantee:?} of team {team:?} can't be held: the sheet promises \
         {promised} accelerators, {available} are known"
    ))]
    SheetInfeasible {
        /// Team.
        team: SmolStr,
        /// First guarantee that found no place.
        guarantee: SmolStr,
        /// Accelerators promised by the whole sheet.
        promised: u32,
        /// Accelerators of all known workers.
        available: u32,
    },
    /// The sheet removes more than it may.
    #[snafu(display(
        "the sheet removes {removed} of {total} teams and guarantees, the limit is \
         {limit_permille} in 1000"
    ))]
    SheetRemovesTooMuch {
        /// Removed teams and guarantees.
        removed: usize,
        /// Teams and guarantees in force.
        total: usize,
        /// Limit in thousandths.
        limit_permille: u16,
    },
    /// The sheet is based on a version that is not in force.
    #[snafu(display(
        "the sheet is based on version {base}, version {current} by {author:?} is in force"
    ))]
    SheetStale {
        /// Base of the sheet.
        base: u64,
        /// Version in force.
        current: u64,
        /// Who applied it.
        author: SmolStr,
    },
    /// The team has too many jobs waiting.
    #[snafu(display("{pending} jobs of team {team:?} wait, its limit is {limit}"))]
    TeamQueueFull {
        /// Team.
        team: SmolStr,
        /// Jobs waiting.
        pending: usize,
        /// The limit.
        limit: usize,
    },
    /// No such entry instance.
    #[snafu(display("entry {instance} is not known"))]
    UnknownEntry {
        /// Instance.
        instance: u64,
    },
    /// No such job.
    #[snafu(display("job {job} is not known"))]
    UnknownJob {
        /// Key asked for.
        job: JobKey,
    },
    /// No such team.
    #[snafu(display("team {team:?} is not known"))]
    UnknownTeam {
        /// Team.
        team: SmolStr,
    },
    /// No such worker.
    #[snafu(display("worker {worker} is not known"))]
    UnknownWorker {
        /// Worker.
        worker: WorkerKey,
    },
    /// The worker takes no new work.
    #[snafu(display("worker {worker} takes no new work"))]
    WorkerUnavailable {
        /// Worker.
        worker: WorkerKey,
    },
    /// A newer incarnation or session of the agent is known.
    #[snafu(display("a newer session of worker {worker} is known"))]
    StaleSession {
        /// Worker.
        worker: WorkerKey,
    },
}
