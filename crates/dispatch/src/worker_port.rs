//! Interface to the worker that an agent manages.

use async_trait::async_trait;
use cuminbarrow_taskgraph::run_table::ReportedEnd;
use cuminbarrow_taskgraph::run_table::ReportedRun;
use cuminbarrow_taskgraph::run_table::StartAnswer;
use cuminbarrow_taskgraph::task_key::RunKey;
use smol_str::SmolStr;
use snafu::Snafu;

/// Maximum number of ends in one answer, as the workers' interface specifies it.
const MAX_LISTED_ENDS: usize = 500;

/// Failure of an order to the worker.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum PortError {
    /// No connection to the worker could be opened, so the order was certainly not sent.
    #[snafu(display("nothing listens at the worker's address"))]
    ConnectionRefused,
    /// The worker has seen a higher fencing token, from a later agent.
    #[snafu(display("the worker has seen a higher fencing token"))]
    Fenced,
    /// Another incarnation of the worker answered.
    #[snafu(display("another incarnation of the worker answered"))]
    OtherIncarnation,
    /// No answer arrived; the order may have been carried out.
    #[snafu(display("no answer from the worker: {reason}"))]
    NoAnswer {
        /// What went wrong.
        reason: String,
    },
    /// The answer does not follow the protocol.
    #[snafu(display("the worker's answer can't be used: {reason}"))]
    BadAnswer {
        /// What went wrong.
        reason: String,
    },
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Name of the worker that is addressed.
    pub worker: SmolStr,
    /// Run to start.
    pub run: RunKey,
    /// Payload passed to the task.
    pub payload: SmolStr,
    /// End of the lease that the order grants, on the worker's clock in ms.
    pub deadline_ms: u64,
    /// Fencing token of the agent.
    pub fencing_token: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: SmolStr,
    /// Ticket of the advice service that permits the step on this worker; empty if none is needed.
    pub ticket: SmolStr,
}

/// An order to throttle a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThrottleOrder {
    /// Name of the worker that is addressed.
    pub worker: SmolStr,
    /// Run to throttle.
    pub run: RunKey,
    /// Share of full speed at which the run may work, in percent.
    pub percent: u32,
    /// Fencing token of the agent.
    pub fencing_token: u64,
}

/// A poll for the worker's runs that may also extend its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalOrder {
    /// Name of the worker that is addressed.
    pub worker: SmolStr,
    /// New end of the lease, on the worker's clock in ms; `None` to leave it unchanged.
    pub deadline_ms: Option<u64>,
    /// Fencing token of the agent.
    pub fencing_token: u64,
    /// Run ends up to this number are in the log and may be dropped by the worker.
    pub acked_through: u64,
    /// Maximum time that the worker waits for a further run to end before it answers, in ms.
    pub wait_ms: u64,
}

/// An answer with the worker's clock reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimestampedAnswer<T> {
    /// The worker's clock, in ms; `None` if the answer did not contain it.
    pub clock_ms: Option<u64>,
    /// The answer.
    pub answer: T,
}

/// A worker's answer to a renewal: its running and ended runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalAnswer {
    /// Start of the incarnation that answered, in ms since the Unix epoch; `None` if not given.
    pub started_ms: Option<u64>,
    /// Active runs.
    pub running: Vec<ReportedRun>,
    /// Whether there are further active runs whose names can't be parsed. In that case a run that is
    /// missing from `running` does not count as gone.
    pub has_unreadable_runs: bool,
    /// Run ends that were not acknowledged yet.
    pub ended: Vec<ReportedEnd>,
    /// Numbers of further run ends that can't be parsed; `None` if even the number can't be.
    pub unreadable_ends: Vec<Option<u64>>,
}

impl RenewalAnswer {
    /// Whether the worker may have further unacknowledged ends, which it does not list yet.
    pub fn may_omit_ends(&self) -> bool {
        self.ended.len() + self.unreadable_ends.len() >= MAX_LISTED_ENDS
    }
}

/// Client of the worker.
#[async_trait]
pub trait WorkerPort: Send + Sync {
    /// Starts a run.
    ///
    /// # Errors
    /// [`PortError`]; after [`PortError::NoAnswer`] the run may still start.
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

    /// Limits the speed of a run.
    ///
    /// # Errors
    /// [`PortError`].
    async fn throttle(&self, order: ThrottleOrder) -> Result<TimestampedAnswer<()>, PortError>;

    /// Lists the active and ended runs, and extends the lease if the order says so.
    ///
    /// # Errors
    /// [`PortError`].
    async fn renew(
        &self,
        order: RenewalOrder,
    ) -> Result<TimestampedAnswer<RenewalAnswer>, PortError>;
}
