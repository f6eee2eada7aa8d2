//! A process's replica of the log: it follows the log, and writes to it.

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

/// Wait before the log is tried again when no snapshot covers the records that expired. A living
/// replica writes a snapshot soon after it sees records expire.
const GAP_WAIT: Duration = Duration::from_millis(500);
/// Wait before a record of a later program is tried again. The log keeps records for 20 s.
const UNREADABLE_WAIT: Duration = Duration::from_secs(5);
/// Age of the last confirmed read beyond which a replica is not fresh, in ms: two reads of the entry
/// that reads the log itself, the waits of two relays, and their answers.
const FRESH_MS: u64 = 2_500;

/// Longest time for a record to be applied. Callers wait 3 s for their answer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Wait before a record that must get into the log is written again.
pub(crate) const WRITE_RETRY: Duration = Duration::from_millis(200);

/// What a process knows of the log, and its way to write to it.
pub struct Replica {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Boot-time clock.
    pub clock: Arc<dyn BootClock>,
    /// The log.
    pub log: Arc<ConfirmedLog>,
    /// Where this process stands.
    pub location: ProcessLocation,
    peers: Arc<PeerList>,
    tail: LogTail<GraphState>,
    writer: LogWriter<GraphState>,
    applied: watch::Sender<u64>,
}

impl Replica {
    /// A replica that has read nothing yet; [`Replica::run`] follows the log, which is reached
    /// `direct`ly or through the entries of `peers`.
    pub fn new(
        direct: Arc<DirectPath>,
        clock: Arc<dyn BootClock>,
        location: ProcessLocation,
        peers: Arc<PeerList>,
        dialer: &LinkDialer,
    ) -> Arc<Self> {
        let incarnation = rand::random();
        let store = Arc::new(RelayedLog::new(direct, Arc::clone(&peers), dialer, location.role));
        let log = Arc::new(ConfirmedLog::new(store, Arc::clone(&clock)));
        let writer = LogWriter::spawn(Arc::clone(&log) as Arc<dyn LogStore>, incarnation, wall_ms);
        let applied = watch::Sender::new(0);
        let tail = LogTail::default();
        Arc::new(Self { incarnation, clock, log, location, peers, tail, writer, applied })
    }

    /// Follows the log for good.
    pub async fn run(self: Arc<Self>) {
        loop {
            let store = Arc::clone(&self.log) as Arc<dyn LogStore>;
            let observer = Arc::clone(&self) as Arc<dyn BatchObserver<GraphState>>;
            match self.tail.run(store, observer).await {
                error @ TailError::Gap { .. } => {
                    log::warn!("waiting for a snapshot: {error}");
                    tokio::time::sleep(GAP_WAIT).await;
                }
                // Once the record has expired, a snapshot by a process that could read it covers it.
                error @ TailError::Unreadable { .. } => {
                    log::error!("this process is too old to go on: {error}");
                    tokio::time::sleep(UNREADABLE_WAIT).await;
                }
            }
        }
    }

    fn choose_peers(&self, state: &GraphState) {
        self.peers.set(PeerChoice::of(state, self.incarnation, &self.location));
    }

    /// The state as applied so far.
    pub fn state(&self) -> RwLockReadGuard<'_, GraphState> {
        self.tail.state()
    }

    /// Tells of each batch that was applied.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// Oldest offset that the log keeps, as last seen.
    pub fn oldest(&self) -> u64 {
        self.tail.oldest_offset()
    }

    /// Whether the log was read to its end a short while ago.
    pub fn is_fresh(&self) -> bool {
        self.log.age_ms().is_some_and(|age_ms| age_ms <= FRESH_MS)
    }

    /// When the newest read was confirmed that is applied, on the boot-time clock in ms.
    pub fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_state().map(|(confirmed_ms, _)| confirmed_ms)
    }

    /// The state, with a moment on the boot-time clock in ms at which the log held nothing beyond it.
    /// What is decided on the state may rest on that moment; a state looked at before may not.
    pub fn confirmed_state(&self) -> Option<(u64, RwLockReadGuard<'_, GraphState>)> {
        let read = self.log.latest()?;
        let state = self.state();
        (state.offset >= read.end).then_some((read.at_ms, state))
    }

    /// Writes a record and waits for a while until it is applied here.
    ///
    /// # Errors
    /// [`WriteError`] says whether the record is certainly not written.
    pub async fn write(&self, record: GraphRecord) -> Result<GraphOutcome, WriteError> {
        self.writer.write(record, WRITE_TIMEOUT).await.map(|settled| settled.result)
    }

    /// Writes records that belong together and waits for each.
    pub async fn write_all(
        &self,
        records: Vec<GraphRecord>,
    ) -> Vec<Result<GraphOutcome, WriteError>> {
        let results = self.writer.write_all(records, WRITE_TIMEOUT).await;
        let outcome = |settled: AppliedRecord<GraphOutcome>| settled.result;
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
        if state.processes_changed_offset == state.offset {
            self.choose_peers(state);
        }
        self.applied.send_replace(state.offset);
    }

    fn state_replaced(&self, state: &GraphState) {
        self.choose_peers(state);
        self.applied.send_replace(state.offset);
    }
}
