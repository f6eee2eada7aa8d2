//! Interface of a state that is replicated by applying the batches of a log.

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
/// [`Self::apply_batch`] must be total and deterministic: every replica that applied the same
/// batches holds the same state, and a batch whose writer and sequence number were applied before
/// changes nothing.
pub trait ReplicatedState:
    Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// Record type of the log.
    type Record: Clone + Debug + Serialize + DeserializeOwned + Send + Sync + 'static;
    /// Result of applying one record.
    type Outcome: Clone + Debug + Send + 'static;
    /// Result of applying one batch.
    type Report: Send;

    /// Maximum number of records in one append.
    const MAX_BATCH_RECORDS: usize;
    /// Maximum size of an encoded batch, in bytes: what the log takes in one entry.
    const MAX_BATCH_BYTES: usize = 240 * 1024;

    /// Offset of the next batch.
    fn offset(&self) -> u64;

    /// Applies the batch at `offset`, which must be the next one.
    fn apply_batch(&mut self, offset: u64, batch: &Batch<Self::Record>) -> Self::Report;

    /// Outcomes of a batch's records, in order.
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
