//! State shared by all tasks of an entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::StatusCode;
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
use cuminbarrow_requests::preview_gate::PreviewGate;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::access::CallerIdentity;
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

/// State shared by all tasks of an entry.
pub struct EntryCore {
    pub(crate) settings: EntrySettings,
    /// Random identifier of this process; a restarted entry has a new one.
    pub(crate) instance: u64,
    /// Replica of the state, which follows the log.
    pub(crate) tail: LogTail,
    pub(crate) writer: LogWriter,
    pub(crate) dialer: LinkDialer,
    /// Latest log batches, served to other entries of the region. Filled only if the log service is
    /// in another region.
    pub(crate) recent_batches: Mutex<RecentBatches>,
    pub(crate) job_waiters: JobWaiters,
    pub(crate) sessions: SessionTable,
    pub(crate) tokens: TokenTable,
    pub(crate) limiter: TeamRateLimiter,
    /// Limits previews of jobs.
    pub(crate) preview_gate: Arc<PreviewGate>,
    pub(crate) metrics: EntryMetrics,
    /// Wakes the planner loop after each applied batch.
    pub(crate) batch_notify: Notify,
    /// True once the entry starts to close.
    pub(crate) closing: watch::Sender<bool>,
    /// Error that ended following the log; the entry then refuses requests.
    pub(crate) tail_failure: Mutex<Option<String>>,
    /// When a batch written by the current planner was last applied.
    pub(crate) planner_last_seen: Mutex<Instant>,
}

impl EntryCore {
    /// Writes a record to the log and returns its effect once it is applied.
    ///
    /// # Errors
    /// [`ApiError`] if the record was refused or could not be written; its `outcome` says whether
    /// the record may still take effect.
    pub(crate) async fn write(&self, record: Record) -> Result<Effect, ApiError> {
        let applied = self.writer.write(record, self.write_timeout()).await?;
        Ok(applied.result?)
    }

    /// Identifies the caller of a request, once this entry serves callers.
    ///
    /// # Errors
    /// [`ApiError`] if the entry is not ready, or the token is missing or unknown.
    pub(crate) fn identify(&self, headers: &HeaderMap) -> Result<CallerIdentity, ApiError> {
        if let Some(reason) = self.unready_reason().filter(|_| !self.is_closing()) {
            return Err(ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", reason));
        }
        self.tokens.identify_bearer(headers).ok_or_else(|| {
            let detail = "a known token is needed: Authorization: Bearer TOKEN";
            ApiError::not_run(StatusCode::UNAUTHORIZED, "unauthorized", detail)
        })
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

    /// Waits until the entry starts to close.
    pub(crate) async fn closed(&self) {
        let _ = self.closing.subscribe().wait_for(|is_closing| *is_closing).await;
    }

    /// Why the entry is not ready to serve requests; `None` if it is ready.
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

    /// Log progress of this entry.
    pub(crate) fn progress(&self) -> LogProgress {
        let state = self.tail.state();
        LogProgress {
            offset: state.offset,
            is_current: self.tail.is_current(),
            sheet_version: state.sheet.version,
        }
    }

    /// Builds the message with all current assignments of a worker.
    pub(crate) fn sync_message(&self, state: &State, worker: WorkerKey) -> EntryMessage {
        EntryMessage::Sync { worker, offset: state.offset, assignments: assignments(state, worker) }
    }

    /// Sends each connected agent the assignments that a batch changed or removed.
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

/// Locks a mutex, ignoring poisoning: each critical section replaces its data as a whole, so a
/// panic can't leave them inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reference-counted [`EntryCore`].
pub(crate) type SharedCore = Arc<EntryCore>;
