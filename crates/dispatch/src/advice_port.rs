//! Interface to the advice service, which decides on which workers the policy of a queue allows a
//! step to run.

use async_trait::async_trait;
use cuminbarrow_taskgraph::task_key::StepKey;
use smol_str::SmolStr;
use snafu::Snafu;

/// The service gave no advice.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub), display("no advice: {reason}"))]
pub struct AdviceError {
    /// What went wrong.
    pub reason: String,
}

/// Tickets of the workers that may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepTickets {
    /// Names of the permitted workers, each with the ticket that an order to start the step there must
    /// carry.
    pub granted: Vec<(SmolStr, SmolStr)>,
    /// Time for which the tickets are valid, in ms.
    pub valid_ms: u64,
}

/// Client of the advice service.
#[async_trait]
pub trait AdvicePort: Send + Sync {
    /// Asks which of `workers` may run a step.
    ///
    /// # Errors
    /// [`AdviceError`]; the call is idempotent and may be retried.
    async fn advise(
        &self,
        step: StepKey,
        workers: Vec<SmolStr>,
    ) -> Result<StepTickets, AdviceError>;
}
