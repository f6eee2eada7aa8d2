//! An observer that completes the writes of a writer, as a replica does.

use cuminbarrow_ledger::apply::BatchReport;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::log_tail::BatchObserver;
use cuminbarrow_ledger::log_writer::LogWriter;
use cuminbarrow_ledger::state::State;

pub(crate) struct WriteCompleter(pub(crate) LogWriter);

impl BatchObserver for WriteCompleter {
    fn batch_applied(&self, _: &State, offset: u64, batch: &Batch, report: &BatchReport) {
        self.0.complete_writes(offset, batch, report);
    }

    fn state_replaced(&self, _: &State) {}
}
