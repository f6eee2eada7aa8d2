//! Agents' reports on their way to the log, each only once at a time.
//!
//! An agent repeats a report until it sees the effect. While the log is down the first copy waits
//! in the writer's queue, so the repeats are dropped here: a wave of ends takes as many places in
//! the queue as there are attempts, however long the outage.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;

use cuminbarrow_ledger::record::Record;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;

use crate::entry_core::SharedCore;
use crate::entry_core::lock;

/// What a report is about; repeats have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReportSubject {
    Draining(WorkerKey),
    Ended(AttemptKey),
    Leaving(WorkerKey),
    Started(AttemptKey),
}

/// Reports of one session that wait for the log.
#[derive(Clone, Default)]
pub(crate) struct PendingReports {
    pending: Arc<Mutex<BTreeSet<ReportSubject>>>,
}

impl PendingReports {
    /// Writes a report unless an earlier copy still waits.
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
