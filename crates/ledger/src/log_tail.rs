//! A replica of the state that follows the log.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::sync::watch;

use crate::batch::Batch;
use crate::batch::is_from_newer_release;
use crate::codec;
use crate::codec::CodecError;
use crate::replicated_state::ReplicatedState;
use crate::snapshot;
use crate::snapshot::SnapshotError;
use crate::state::State;

/// Maximum number of batches in one read.
const MAX_READ_BATCHES: u32 = 256;
/// Time that a read at the end of the log waits for the next batch at the log service, in ms.
const READ_POLL_TIMEOUT_MS: u32 = 10_000;
/// Number of bytes of a foreign record that are logged.
const MAX_LOGGED_BYTES: usize = 32;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Error after which a replica can't continue.
#[derive(Debug, Snafu)]
pub enum TailError {
    /// The next batches have expired and no snapshot covers them.
    #[snafu(display(
        "the log keeps records from offset {oldest} on, this replica needs {needed}, and no \
         snapshot covers the gap"
    ))]
    Gap {
        /// Offset of the next batch.
        needed: u64,
        /// Oldest offset that the log retains.
        oldest: u64,
    },
    /// A newer release wrote the record. It is never skipped, or replicas would diverge.
    #[snafu(display("the record at offset {offset} can't be read: {source}"))]
    Unreadable {
        /// Offset of the record.
        offset: u64,
        /// Underlying error.
        source: CodecError,
    },
}

/// Receives the changes of a replica, in log order, on the task that follows the log.
pub trait BatchObserver<F = State>: Send + Sync
where
    F: ReplicatedState,
{
    /// A batch was applied; `state` is the state just after it.
    fn batch_applied(&self, state: &F, offset: u64, batch: &Batch<F::Record>, report: &F::Report);

    /// The state was replaced with one from a snapshot or a peer.
    fn state_replaced(&self, state: &F);
}

/// A replica of the state that follows the log.
pub struct LogTail<F = State>
where
    F: ReplicatedState,
{
    state: RwLock<F>,
    offset: watch::Sender<u64>,
    oldest_offset: AtomicU64,
    is_current: AtomicBool,
}

impl<F> Default for LogTail<F>
where
    F: ReplicatedState,
{
    fn default() -> Self {
        Self::new(F::default())
    }
}

impl<F> LogTail<F>
where
    F: ReplicatedState,
{
    /// Creates a replica with an initial state.
    pub fn new(state: F) -> Self {
        let offset = watch::Sender::new(state.offset());
        Self {
            state: RwLock::new(state),
            offset,
            oldest_offset: AtomicU64::new(0),
            is_current: AtomicBool::new(false),
        }
    }

    /// Locks the current state for reading.
    pub fn state(&self) -> RwLockReadGuard<'_, F> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to the offset of the next batch.
    pub fn offsets(&self) -> watch::Receiver<u64> {
        self.offset.subscribe()
    }

    /// Whether the last read succeeded and reached the end of the log.
    pub fn is_current(&self) -> bool {
        self.is_current.load(Ordering::Acquire)
    }

    /// Oldest offset that the log retained at the last read.
    pub fn oldest_offset(&self) -> u64 {
        self.oldest_offset.load(Ordering::Relaxed)
    }

    /// Follows the log and retries failed reads; returns when it can't continue.
    ///
    /// # Errors
    /// [`TailError`] when the next state can't be determined.
    pub async fn run(
        &self,
        store: Arc<dyn LogStore>,
        observer: Arc<dyn BatchObserver<F>>,
    ) -> TailError {
        if self.state().offset() == 0 {
            self.restore_at_start(&*store, &*observer).await;
        }
        loop {
            let from = self.state().offset();
            let wait_ms = if self.is_current() { READ_POLL_TIMEOUT_MS } else { 0 };
            let result = match store.read(LogStream::Records, from, MAX_READ_BATCHES, wait_ms).await
            {
                Err(LogError::Expired { oldest }) => {
                    self.restore(&*store, &*observer, from, oldest).await
                }
                Err(error) => {
                    self.wait_after_failure(&error).await;
                    Ok(())
                }
                Ok(page) => self.apply_page(&page, &*observer),
            };
            if let Err(error) = result {
                self.is_current.store(false, Ordering::Release);
                return error;
            }
        }
    }

    /// Marks the replica as not current, logs the first of several failed reads, and waits before the
    /// next one.
    async fn wait_after_failure(&self, error: &LogError) {
        if self.is_current.swap(false, Ordering::AcqRel) {
            log::warn!("the log can't be read: {error}");
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }

    fn apply_page(&self, page: &LogPage, observer: &dyn BatchObserver<F>) -> Result<(), TailError> {
        self.oldest_offset.store(page.oldest, Ordering::Relaxed);
        for (offset, body) in (page.first..).zip(&page.entries) {
            self.apply_batch(offset, &decode_batch(offset, body)?, observer);
        }
        let is_current = self.state().offset() >= page.next;
        self.is_current.store(is_current, Ordering::Release);
        Ok(())
    }

    fn apply_batch(&self, offset: u64, batch: &Batch<F::Record>, observer: &dyn BatchObserver<F>) {
        let report = {
            let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
            state.apply_batch(offset, batch)
        };
        observer.batch_applied(&self.state(), offset, batch, &report);
        self.offset.send_replace(offset + 1);
    }

    /// Restores the latest snapshot, if there is one. The log may retain far more history than was
    /// appended since that snapshot, and all of it takes many reads.
    async fn restore_at_start(&self, store: &dyn LogStore, observer: &dyn BatchObserver<F>) {
        match snapshot::read_latest::<F>(store).await {
            Err(error) => log::info!("starting without a snapshot: {error}"),
            Ok(None) => {}
            Ok(Some(state)) => {
                log::info!("starting from the snapshot at offset {}", state.offset());
                self.restore_state(state, observer);
            }
        }
    }

    /// Restores the latest snapshot, if it is newer than the current state and leaves no gap before
    /// the oldest batch of the log, and otherwise what the log retains beyond its history.
    async fn restore(
        &self,
        store: &dyn LogStore,
        observer: &dyn BatchObserver<F>,
        needed: u64,
        oldest: u64,
    ) -> Result<(), TailError> {
        match snapshot::read_latest::<F>(store).await {
            Err(SnapshotError::Log { source }) => {
                self.wait_after_failure(&source).await;
                Ok(())
            }
            Ok(Some(state)) if state.offset() >= oldest && state.offset() > needed => {
                log::info!("restored the snapshot at offset {}", state.offset());
                self.restore_state(state, observer);
                Ok(())
            }
            Err(SnapshotError::Codec { .. } | SnapshotError::Unreadable { .. }) | Ok(_) => {
                self.restore_retained(store, observer, needed, oldest).await
            }
        }
    }

    /// Applies the batches that the log retains beyond its history. If the latest snapshot is newer than
    /// the current state, the state is replaced with it first.
    async fn restore_retained(
        &self,
        store: &dyn LogStore,
        observer: &dyn BatchObserver<F>,
        needed: u64,
        oldest: u64,
    ) -> Result<(), TailError> {
        let retained = match store.load_retained().await {
            Err(error) => {
                self.wait_after_failure(&error).await;
                return Ok(());
            }
            Ok(None) => return GapSnafu { needed, oldest }.fail(),
            Ok(Some(retained)) => retained,
        };
        let snapshot = match snapshot::decode_latest::<F>(&retained.snapshot_chunks) {
            Err(error) => {
                log::error!(needed, oldest; "the retained batches can't be used: {error}");
                return GapSnafu { needed, oldest }.fail();
            }
            Ok(snapshot) => snapshot,
        };
        // Without a snapshot, the log may not have dropped any batch.
        let is_complete = snapshot.is_some() || retained.entries.len() as u64 == retained.end;
        let snapshot_offset = snapshot.as_ref().map_or(0, F::offset);
        if !is_complete || retained.end <= needed {
            return GapSnafu { needed, oldest }.fail();
        }
        self.is_current.store(false, Ordering::Release);
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.offset() > needed) {
            self.restore_state(snapshot, observer);
        }
        let from = self.state().offset();
        for offset in from..retained.end {
            // The snapshot covers every batch that was dropped. An offset that is missing after it is
            // that of a record which only drops keys.
            let body = retained.entries.get(&offset).map_or(&[][..], Vec::as_slice);
            self.apply_batch(offset, &decode_batch(offset, body)?, observer);
        }
        let batches = retained.entries.range(from..).count();
        log::info!(from, snapshot_offset, end = retained.end, batches; "restored the batches that outlast the log's history");
        Ok(())
    }

    /// Replaces the state with one from a snapshot and informs the observer.
    fn restore_state(&self, state: F, observer: &dyn BatchObserver<F>) {
        self.replace(state);
        observer.state_replaced(&self.state());
    }

    /// Replaces the state with one from a snapshot or a peer, if that is newer.
    pub fn replace(&self, state: F) {
        let mut current = self.state.write().unwrap_or_else(PoisonError::into_inner);
        if state.offset() > current.offset() {
            self.offset.send_replace(state.offset());
            *current = state;
        }
    }
}

/// Decodes the batch at an offset. An entry without bytes and bytes that no release of this program
/// wrote yield an empty batch, on every replica alike.
fn decode_batch<R>(offset: u64, body: &[u8]) -> Result<Batch<R>, TailError>
where
    R: DeserializeOwned,
{
    if body.is_empty() {
        return Ok(Batch::empty());
    }
    match codec::decode(body) {
        Ok(batch) => Ok(batch),
        Err(source) if is_from_newer_release(body) => Err(TailError::Unreadable { offset, source }),
        Err(error) => {
            let begins = body[..body.len().min(MAX_LOGGED_BYTES)].escape_ascii().to_string();
            log::error!(offset, bytes = body.len(), begins; "skipping a foreign record: {error}");
            Ok(Batch::empty())
        }
    }
}
