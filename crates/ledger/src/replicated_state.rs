//! What a log of batches can be folded into.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::apply::BatchReport;
use crate::apply::Effect;
use crate::batch::Batch;
use crate::record::Record;
use crate::refusal::Refusal;
use crate::state::State;

/// A state that is a pure function of the batches applied to it, in log order.
///
/// `apply` must be total and deterministic: every replica that applied the same batches holds the
/// same state, and a batch whose writer and sequence were seen before changes nothing.
pub trait ReplicatedState:
    Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// One decision or instruction.
    type Record: Clone + Debug + Serialize + DeserializeOwned + Send + Sync + 'static;
    /// What one record did.
    type Outcome: Clone + Debug + Send + 'static;
    /// What a batch did.
    type Report: Send;

    /// Most records in one append.
    const MAX_BATCH_RECORDS: usize;

    /// Offset of the next batch.
    fn offset(&self) -> u64;

    /// Applies the batch at `offset`, which must be the next one.
    fn apply_batch(&mut self, offset: u64, batch: &Batch<Self::Record>) -> Self::Report;

    /// The outcomes of a batch's records, in order.
    fn outcomes(report: &Self::Report) -> &[Self::Outcome];
}

impl ReplicatedState for State {
    type Record = Record;
    type Outcome = Result<Effect, Refusal>;
    type Report = BatchReport;

    const MAX_BATCH_RECORDS: usize = 1_024;

    fn offset(&self) -> u64 {
        self.offset
    }

    fn apply_batch(&mut self, offset: u64, batch: &Batch) -> BatchReport {
        self.apply(offset, batch)
    }

    fn outcomes(report: &BatchReport) -> &[Self::Outcome] {
        &report.results
    }
}
