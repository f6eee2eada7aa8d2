//! The worker that an agent stands beside.

use async_trait::async_trait;
use cuminbarrow_taskgraph::run_table::ReportedEnd;
use cuminbarrow_taskgraph::run_table::ReportedRun;
use cuminbarrow_taskgraph::run_table::StartAnswer;
use cuminbarrow_taskgraph::task_key::RunKey;
use smol_str::SmolStr;
use snafu::Snafu;

/// Why an order got no useful answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum PortError {
    /// Nothing listens where the worker should be.
    #[snafu(display("nothing listens at the worker's address"))]
    ConnectionRefused,
    /// The worker obeys a later agent.
    #[snafu(display("the worker has seen a higher fencing token"))]
    Fenced,
    /// Another incarnation of the worker answered.
    #[snafu(display("another incarnation of the worker answered"))]
    OtherIncarnation,
    /// It is not known whether the order was carried out.
    #[snafu(display("no answer from the worker: {reason}"))]
    NoAnswer {
        /// What was seen.
        reason: String,
    },
    /// The worker answered, but not as agreed.
    #[snafu(display("the worker's answer can't be used: {reason}"))]
    BadAnswer {
        /// What was seen.
        reason: String,
    },
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Worker meant.
    pub worker: SmolStr,
    /// The run.
    pub run: RunKey,
    /// Text given to the task.
    pub payload: SmolStr,
    /// End of the worker's lease, on its own clock in ms.
    pub deadline_ms: u64,
    /// Fencing token.
    pub fencing_token: u64,
    /// Checkpoint to go on from; empty for none.
    pub checkpoint: SmolStr,
    /// Permission to run the step here; empty where none is needed.
    pub ticket: SmolStr,
}

/// An order to work faster or slower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThrottleOrder {
    /// Worker meant.
    pub worker: SmolStr,
    /// The run.
    pub run: RunKey,
    /// Share of its full pace, in percent.
    pub percent: u32,
    /// Fencing token.
    pub fencing_token: u64,
}

/// A question for what the worker runs, which may extend its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalOrder {
    /// Worker meant.
    pub worker: SmolStr,
    /// New end of the lease, on the worker's clock in ms.
    pub deadline_ms: Option<u64>,
    /// Fencing token.
    pub fencing_token: u64,
    /// Ends up to this number are in the log.
    pub acked_through: u64,
    /// Longest wait for a new end, in ms.
    pub wait_ms: u64,
}

/// An answer, with the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimestampedAnswer<T> {
    /// The worker's clock, in ms; nothing where the answer did not tell.
    pub clock_ms: Option<u64>,
    /// The answer.
    pub answer: T,
}

/// What the worker lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalAnswer {
    /// Start of the incarnation that answered, in ms since the Unix epoch, where it told.
    pub started_ms: Option<u64>,
    /// Runs that go on.
    pub running: Vec<ReportedRun>,
    /// Whether further runs go on whose names can't be read. No run then counts as gone because it is
    /// not listed.
    pub has_unreadable_runs: bool,
    /// Ends that were not acknowledged.
    pub ended: Vec<ReportedEnd>,
    /// Further ends, which tell of no run how it ended: their numbers, where these can be read.
    pub unreadable_ends: Vec<Option<u64>>,
}

/// Orders to the worker.
#[async_trait]
pub trait WorkerPort: Send + Sync {
    /// Starts a run.
    ///
    /// # Errors
    /// [`PortError`]; after [`PortError::NoAnswer`] the run may begin yet.
    async fn start(&self, order: StartOrder) -> Result<TimestampedAnswer<StartAnswer>, PortError>;

    /// Stops a run.
    ///
    /// # Errors
    /// [`PortError`].
    async fn stop(
        &self,
        worker: SmolStr,
        run: RunKey,
        fencing_token: u64,
    ) -> Result<TimestampedAnswer<()>, PortError>;

    /// Lets a run work at a share of its pace, in percent.
    ///
    /// # Errors
    /// [`PortError`].
    async fn throttle(&self, order: ThrottleOrder) -> Result<TimestampedAnswer<()>, PortError>;

    /// Asks what runs and what ended.
    ///
    /// # Errors
    /// [`PortError`].
    async fn renew(
        &self,
        order: RenewalOrder,
    ) -> Result<TimestampedAnswer<RenewalAnswer>, PortError>;
}
