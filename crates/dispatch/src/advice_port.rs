//! The service that knows which workers a queue's policy allows.

use async_trait::async_trait;
use cuminbarrow_taskgraph::task_key::StepKey;
use smol_str::SmolStr;
use snafu::Snafu;

/// Why there is no advice.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub), display("no advice: {reason}"))]
pub struct AdviceError {
    /// What was seen.
    pub reason: String,
}

/// Workers that may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepTickets {
    /// Names of workers, each with the ticket that an order to start must carry.
    pub granted: Vec<(SmolStr, SmolStr)>,
    /// Time for which the tickets are good, in ms.
    pub valid_ms: u64,
}

/// Questions to the service.
#[async_trait]
pub trait AdvicePort: Send + Sync {
    /// Asks which of some workers may run a step.
    ///
    /// # Errors
    /// [`AdviceError`]; asking again is harmless.
    async fn advise(
        &self,
        step: StepKey,
        workers: Vec<SmolStr>,
    ) -> Result<StepTickets, AdviceError>;
}
