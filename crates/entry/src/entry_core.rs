//! What all parts of an entry share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cuminbarrow_ledger::apply::BatchReport;
use cuminbarrow_ledger::apply::Effect;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::log_tail::BatchObserver;
use cuminbarrow_ledger::log_tail::LogTail;
use cuminbarrow_ledger::log_writer::LogWriter;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::message::EntryMessage;
use cuminbarrow_protocol::message::LogProgress;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::access::TeamRateLimiter;
use crate::access::TokenTable;
use crate::api_error::ApiError;
use crate::assignment::assignment;
use crate::assignment::assignments;
use crate::entry_metrics::EntryMetrics;
use crate::entry_settings::EntrySettings;
use crate::job_waiters::JobWaiters;
use crate::recent_batches::RecentBatches;
use crate::session_table::SessionTable;

/// What all parts of an entry share.
pub struct EntryCore {
    pub(crate) settings: EntrySettings,
    pub(crate) instance: u64,
    pub(crate) tail: LogTail,
    pub(crate) writer: LogWriter,
    pub(crate) dialer: LinkDialer,
    pub(crate) recent_batches: Mutex<RecentBatches>,
    pub(crate) job_waiters: JobWaiters,
    pub(crate) sessions: SessionTable,
    pub(crate) tokens: TokenTable,
    pub(crate) limiter: TeamRateLimiter,
    pub(crate) metrics: EntryMetrics,
    pub(crate) batch_notify: Notify,
    pub(crate) closing: watch::Sender<bool>,
    pub(crate) tail_failure: Mutex<Option<String>>,
    pub(crate) planner_last_seen: Mutex<Instant>,
}

impl EntryCore {
    /// Writes a record and gives what it did.
    ///
    /// # Errors
    /// [`ApiError`] says what became of it.
    pub(crate) async fn write(&self, record: Record) -> Result<Effect, ApiError> {
        let applied = self.writer.write(record, self.write_timeout()).await?;
        Ok(applied.result?)
    }

    pub(crate) fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.write_timeout_ms)
    }

    pub(crate) fn session_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.session_timeout_ms)
    }

    pub(crate) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Returns once the entry begins to close.
    pub(crate) async fn closed(&self) {
        let _ = self.closing.subscribe().wait_for(|is_closing| *is_closing).await;
    }

    /// Why the entry should get no requests, or nothing.
    pub(crate) fn unready_reason(&self) -> Option<String> {
        if self.is_closing() {
            return Some("the entry is closing".to_owned());
        }
        if let Some(failure) = lock(&self.tail_failure).clone() {
            return Some(failure);
        }
        let has_no_state = self.tail.state().offset == 0 && !self.tail.is_current();
        has_no_state.then(|| "no state yet: the log does not answer and no peer has one".to_owned())
    }

    /// How far this entry has followed the log.
    pub(crate) fn progress(&self) -> LogProgress {
        let state = self.tail.state();
        LogProgress {
            offset: state.offset,
            is_current: self.tail.is_current(),
            sheet_version: state.sheet.version,
        }
    }

    /// Everything that the worker's agent is to do now.
    pub(crate) fn sync_message(&self, state: &State, worker: WorkerKey) -> EntryMessage {
        EntryMessage::Sync { worker, offset: state.offset, assignments: assignments(state, worker) }
    }

    fn push_assignment_changes(&self, state: &State, report: &BatchReport) {
        let mut attempts_by_worker: BTreeMap<WorkerKey, BTreeSet<AttemptKey>> = BTreeMap::new();
        for change in &report.attempt_changes {
            attempts_by_worker.entry(change.worker).or_default().insert(change.attempt);
        }
        for (worker, attempts) in attempts_by_worker {
            if !self.sessions.contains(worker) {
                continue;
            }
            let mut changed = Vec::new();
            let mut removed = Vec::new();
            for attempt in attempts {
                match assignment(state, attempt) {
                    None => removed.push(attempt),
                    Some(assignment) => changed.push(assignment),
                }
            }
            let update = EntryMessage::Update { offset: state.offset, changed, removed };
            self.sessions.send(worker, update);
        }
    }
}

impl BatchObserver for EntryCore {
    fn batch_applied(&self, state: &State, offset: u64, batch: &Batch, report: &BatchReport) {
        self.writer.complete_writes(offset, batch, report);
        if self.settings.is_log_in_other_region() {
            lock(&self.recent_batches).push(offset, batch);
        }
        for job in &report.ended_jobs {
            self.job_waiters.notify(*job);
        }
        self.push_assignment_changes(state, report);
        if state.planner.instance == Some(batch.writer) {
            *lock(&self.planner_last_seen) = Instant::now();
        }
        self.batch_notify.notify_one();
    }

    fn state_replaced(&self, state: &State) {
        lock(&self.recent_batches).clear();
        for worker in self.sessions.workers() {
            self.sessions.send(worker, self.sync_message(state, worker));
        }
        for (key, job) in &state.jobs {
            if job.outcome().is_some() {
                self.job_waiters.notify(*key);
            }
        }
    }
}

/// Locks, also when a holder panicked: the data are replaced whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Shorthand of the shared core.
pub(crate) type SharedCore = Arc<EntryCore>;
