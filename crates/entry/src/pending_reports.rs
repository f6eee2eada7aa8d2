//! Deduplicates reports of agents while they are being written to the log.
//!
//! An agent repeats a report until it sees the effect. While the log is unavailable, the first copy
//! waits in the writer's queue and the repeats are dropped here. Each attempt that ends during an
//! outage therefore takes only one slot of the queue, however long the outage lasts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;

use cuminbarrow_ledger::record::Record;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;

use crate::entry_core::SharedCore;
use crate::entry_core::lock;

/// Identifies a report; repeats of it have the same subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReportSubject {
    Draining(WorkerKey),
    Ended(AttemptKey),
    Leaving(WorkerKey),
    Started(AttemptKey),
}

/// Reports of one session that are being written to the log.
#[derive(Clone, Default)]
pub(crate) struct PendingReports {
    pending: Arc<Mutex<BTreeSet<ReportSubject>>>,
}

impl PendingReports {
    /// Writes a report in the background, unless an earlier copy is still being written.
    pub(crate) fn write(&self, core: SharedCore, subject: ReportSubject, record: Record) {
        if !lock(&self.pending).insert(subject) {
            return;
        }
        let pending = Arc::clone(&self.pending);
        tokio::spawn(async move {
            if let Err(error) = core.write(record).await {
                log::debug!("an agent's report was not applied: {}", error.detail);
            }
            lock(&pending).remove(&subject);
        });
    }
}
