//! A process's replica of the state: applies the batches of the log, and appends records to it.

use std::sync::Arc;
use std::sync::RwLockReadGuard;
use std::time::Duration;

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::log_tail::BatchObserver;
use cuminbarrow_ledger::log_tail::LogTail;
use cuminbarrow_ledger::log_tail::TailError;
use cuminbarrow_ledger::log_writer::AppliedRecord;
use cuminbarrow_ledger::log_writer::LogWriter;
use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_taskgraph::graph_state::GraphOutcome;
use cuminbarrow_taskgraph::graph_state::GraphReport;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use tokio::sync::watch;

use crate::clock::BootClock;
use crate::confirmed_log::ConfirmedLog;
use crate::direct_path::DirectPath;
use crate::peer_list::PeerChoice;
use crate::peer_list::PeerList;
use crate::peer_list::ProcessLocation;
use crate::relayed_log::RelayedLog;

/// Delay before the log is read again when no snapshot covers the records that expired. A live
/// replica writes a snapshot soon after it notices that records have expired.
const GAP_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay before a record that a later version wrote is read again. The log retains records for 20 s.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Maximum age of the last confirmed read at which a replica counts as fresh, in ms: two reads of the
/// entry that reads the log directly, the waits of two relayed reads, and their answers.
const MAX_FRESH_AGE_MS: u64 = 2_500;

/// Timeout for a record of this process to be appended and applied.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Part of a limited write that is kept for the outcome of an append in flight.
const OUTCOME_GRACE_DIVISOR: u32 = 4;
/// Delay before a record that must get into the log is written again.
pub(crate) const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The replicated state of a process, with the clients that read the log and append to it.
pub struct Replica {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Boot-time clock of the instance.
    pub clock: Arc<dyn BootClock>,
    /// Client of the log, which records how fresh its reads are.
    pub log: Arc<ConfirmedLog>,
    /// Role and location of this process.
    pub location: ProcessLocation,
    direct: Arc<DirectPath>,
    peers: Arc<PeerList>,
    tail: LogTail<GraphState>,
    writer: LogWriter<GraphState>,
    /// Writer of records that are of use only if they are soon in the log.
    report_writer: LogWriter<GraphState>,
    applied: watch::Sender<u64>,
}

impl Replica {
    /// Creates an empty replica; [`Replica::run`] then follows the log, over `direct` or through the
    /// entries of `peers`.
    pub fn new(
        direct: Arc<DirectPath>,
        clock: Arc<dyn BootClock>,
        location: ProcessLocation,
        peers: Arc<PeerList>,
        dialer: &LinkDialer,
    ) -> Arc<Self> {
        let incarnation = rand::random();
        let store = Arc::new(RelayedLog::new(
            Arc::clone(&direct),
            Arc::clone(&peers),
            dialer,
            location.role,
        ));
        let log = Arc::new(ConfirmedLog::new(store, Arc::clone(&clock)));
        let spawn_writer = |incarnation| {
            LogWriter::spawn(Arc::clone(&log) as Arc<dyn LogStore>, incarnation, wall_ms)
        };
        let writer = spawn_writer(incarnation);
        let report_writer = spawn_writer(rand::random());
        let applied = watch::Sender::new(0);
        let tail = LogTail::default();
        Arc::new(Self {
            incarnation,
            clock,
            log,
            location,
            direct,
            peers,
            tail,
            writer,
            report_writer,
            applied,
        })
    }

    /// Follows the log; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            let store = Arc::clone(&self.log) as Arc<dyn LogStore>;
            let observer = Arc::clone(&self) as Arc<dyn BatchObserver<GraphState>>;
            match self.tail.run(store, observer).await {
                error @ TailError::Gap { .. } => {
                    log::warn!("waiting for a snapshot: {error}");
                    tokio::time::sleep(GAP_RETRY_DELAY).await;
                }
                // Once the record has expired, it is covered by a snapshot of a process that could read
                // it.
                error @ TailError::Unreadable { .. } => {
                    log::error!("this version can't read a record of a later one: {error}");
                    tokio::time::sleep(UNREADABLE_RETRY_DELAY).await;
                }
            }
        }
    }

    fn choose_peers(&self, state: &GraphState) {
        self.peers.set(PeerChoice::of(state, self.incarnation, &self.location));
    }

    /// The state after all batches applied so far.
    pub fn state(&self) -> RwLockReadGuard<'_, GraphState> {
        self.tail.state()
    }

    /// Whether the log does not answer this process's own calls.
    pub fn is_log_path_broken(&self) -> bool {
        self.direct.is_broken()
    }

    /// Whether this process holds the planner role.
    pub fn is_planner(&self) -> bool {
        self.state().planner.instance == Some(self.incarnation)
    }

    /// Watches the offset of the next batch to apply.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// Oldest offset that the log retains, as of the last read.
    pub fn oldest(&self) -> u64 {
        self.tail.oldest_offset()
    }

    /// Whether a read has confirmed the end of the log recently.
    pub fn is_fresh(&self) -> bool {
        self.log.age_ms().is_some_and(|age_ms| age_ms <= MAX_FRESH_AGE_MS)
    }

    /// Time of the latest confirmed read, on the boot-time clock in ms; `None` while its batches are
    /// not all applied.
    pub fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_state().map(|(confirmed_ms, _)| confirmed_ms)
    }

    /// The state, with a moment on the boot-time clock in ms at which the log held nothing beyond it;
    /// `None` while the batches of the latest confirmed read are not all applied. Decisions based on
    /// the returned state may rely on that moment; decisions based on a state read earlier may not.
    pub fn confirmed_state(&self) -> Option<(u64, RwLockReadGuard<'_, GraphState>)> {
        let read = self.log.latest()?;
        let state = self.state();
        (state.offset >= read.end).then_some((read.at_ms, state))
    }

    /// Appends a record and waits until it is applied here or the timeout has passed.
    ///
    /// # Errors
    /// [`WriteError`], which shows whether the record was certainly not written.
    pub async fn write(&self, record: GraphRecord) -> Result<GraphOutcome, WriteError> {
        self.writer.write(record, WRITE_TIMEOUT).await.map(|applied| applied.result)
    }

    /// Like [`Replica::write`], for a record that may be lost. An append of it that gets no answer delays
    /// no other record of this process.
    ///
    /// # Errors
    /// [`WriteError`], which shows whether the record was certainly not written.
    pub async fn write_report(&self, record: GraphRecord) -> Result<GraphOutcome, WriteError> {
        self.report_writer.write(record, WRITE_TIMEOUT).await.map(|applied| applied.result)
    }

    /// Like [`Replica::write`], with a result after `limit` at the latest.
    ///
    /// # Errors
    /// [`WriteError`], which shows whether the record was certainly not written.
    pub async fn write_within(
        &self,
        record: GraphRecord,
        limit: Duration,
    ) -> Result<GraphOutcome, WriteError> {
        let grace = limit / OUTCOME_GRACE_DIVISOR;
        let result = self.writer.write_with_grace(record, limit - grace, grace).await;
        result.map(|applied| applied.result)
    }

    /// Appends related records and waits for each as [`Replica::write`] does.
    pub async fn write_all(
        &self,
        records: Vec<GraphRecord>,
    ) -> Vec<Result<GraphOutcome, WriteError>> {
        let results = self.writer.write_all(records, WRITE_TIMEOUT).await;
        let outcome = |applied: AppliedRecord<GraphOutcome>| applied.result;
        results.into_iter().map(|result| result.map(outcome)).collect()
    }
}

impl BatchObserver<GraphState> for Replica {
    fn batch_applied(
        &self,
        state: &GraphState,
        offset: u64,
        batch: &Batch<GraphRecord>,
        report: &GraphReport,
    ) {
        self.writer.complete_writes(offset, batch, report);
        self.report_writer.complete_writes(offset, batch, report);
        if state.processes_changed_offset == state.offset {
            self.choose_peers(state);
        }
        self.log.release_before(state.snapshot_offset);
        self.applied.send_replace(state.offset);
    }

    fn state_replaced(&self, state: &GraphState) {
        self.choose_peers(state);
        self.log.release_before(state.snapshot_offset);
        self.applied.send_replace(state.offset);
    }
}
