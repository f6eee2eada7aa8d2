//! A log client that records how fresh its reads are.
//!
//! A read that reaches the end of the log proves that, at some moment, the log held nothing beyond
//! it. Leases and answers that must not be stale are based on that moment, taken on the boot-time
//! clock; neither a late answer nor a suspension of the instance confirms anything newer. The latest
//! batches are cached for processes that read through this one.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_resources::log_store::RetainedLog;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::BootClock;

/// Maximum time that one read waits for a record, in ms. Leases are based on reads, an answer without
/// records may confirm no later moment than that of its request, and a dead connection is noticed
/// only when a read is overdue. An idle planner renews its role more often than this.
const MAX_READ_WAIT_MS: u32 = 550;
/// Minimum time between reads, so that records appended in quick succession are read together.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of batches cached for processes that read through this one.
const MAX_RECENT_BATCHES: usize = 2_000;
/// Maximum total size of these batches, in bytes.
const MAX_RECENT_BYTES: usize = 4 * 1024 * 1024;

/// An end of the log, and a moment at which it was current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// A moment at which the log ended at `end`, on the boot-time clock in ms.
    pub at_ms: u64,
    /// Offset after the last batch in the log at that moment.
    pub end: u64,
}

#[derive(Default)]
struct RecentBatches {
    first: u64,
    oldest: u64,
    bytes: usize,
    bodies: VecDeque<Vec<u8>>,
}

impl RecentBatches {
    fn end(&self) -> u64 {
        self.first + self.bodies.len() as u64
    }

    fn push(&mut self, page: &LogPage) {
        self.oldest = page.oldest;
        if page.first != self.end() {
            *self = Self { first: page.first, oldest: page.oldest, ..Self::default() };
        }
        for body in &page.entries {
            self.bytes += body.len();
            self.bodies.push_back(body.clone());
        }
        while self.bodies.len() > MAX_RECENT_BATCHES || self.bytes > MAX_RECENT_BYTES {
            let Some(body) = self.bodies.pop_front() else { return };
            self.bytes -= body.len();
            self.first += 1;
        }
    }
}

/// A log client that records its confirmed reads and caches the latest batches.
pub struct ConfirmedLog {
    inner: Arc<dyn LogStore>,
    clock: Arc<dyn BootClock>,
    recent: Mutex<RecentBatches>,
    last_read_at: Mutex<Option<Instant>>,
    confirmed: watch::Sender<Option<ConfirmedRead>>,
    /// Number of pages read, whether they confirm the end of the log or not.
    pages: watch::Sender<u64>,
}

impl ConfirmedLog {
    /// Records the reads of `inner`.
    pub fn new(inner: Arc<dyn LogStore>, clock: Arc<dyn BootClock>) -> Self {
        Self {
            inner,
            clock,
            recent: Mutex::default(),
            last_read_at: Mutex::new(None),
            confirmed: watch::Sender::new(None),
            pages: watch::Sender::new(0),
        }
    }

    /// The latest confirmed read, if any.
    pub fn latest(&self) -> Option<ConfirmedRead> {
        *self.confirmed.borrow()
    }

    /// Watches the latest confirmed read.
    pub fn confirmed(&self) -> watch::Receiver<Option<ConfirmedRead>> {
        self.confirmed.subscribe()
    }

    /// Watches the number of pages read, including those that do not reach the end of the log.
    pub fn pages(&self) -> watch::Receiver<u64> {
        self.pages.subscribe()
    }

    /// Age of the latest confirmed read, in ms; `None` before the first.
    pub fn age_ms(&self) -> Option<u64> {
        self.latest().map(|read| self.clock.now_ms().saturating_sub(read.at_ms))
    }

    /// All batches from `from` on, with the age of the latest confirmed read; `None` if some of them
    /// are not cached.
    pub fn recent_page(&self, from: u64) -> Option<LogPage> {
        let age_ms = self.age_ms()?;
        let recent = self.recent();
        let skipped = usize::try_from(from.checked_sub(recent.first)?).ok()?;
        if skipped > recent.bodies.len() {
            return None;
        }
        Some(LogPage {
            oldest: recent.oldest,
            next: recent.end(),
            first: from,
            entries: recent.bodies.iter().skip(skipped).cloned().collect(),
            waited_ms: 0,
            age_ms,
        })
    }

    /// Whether an offset lies before the cached batches.
    pub fn is_before_recent(&self, from: u64) -> bool {
        from < self.first_recent_offset()
    }

    /// Offset of the first cached batch.
    pub fn first_recent_offset(&self) -> u64 {
        self.recent().first
    }

    fn recent(&self) -> MutexGuard<'_, RecentBatches> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the log ended at `end` at `at_ms`. For an end that is already known, the later
    /// of the two moments counts.
    fn record_confirmed(&self, at_ms: u64, end: u64) {
        self.confirmed.send_modify(|known| {
            let known_ms = known.filter(|known| known.end == end).map_or(0, |known| known.at_ms);
            *known = Some(ConfirmedRead { at_ms: at_ms.max(known_ms), end });
        });
    }

    /// Waits until the minimum time since the last read has passed.
    async fn wait_for_read_interval(&self) {
        let last = *self.last_read_at.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(last) = last {
            tokio::time::sleep_until(last + MIN_READ_INTERVAL).await;
        }
        *self.last_read_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }
}

#[async_trait]
impl LogStore for ConfirmedLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        self.inner.append(stream, body).await
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        self.wait_for_read_interval().await;
        let requested_ms = self.clock.now_ms();
        let wait_ms = wait_ms.min(MAX_READ_WAIT_MS);
        let page = self.inner.read(stream, from, limit, wait_ms).await?;
        if stream == LogStream::Records {
            self.recent().push(&page);
            if page.end_offset() >= page.next {
                let waited_ms = requested_ms.saturating_add(page.waited_ms);
                let at_ms = waited_ms.saturating_sub(page.age_ms).min(self.clock.now_ms());
                self.record_confirmed(at_ms, page.next);
            }
            self.pages.send_modify(|pages| *pages += 1);
        }
        Ok(page)
    }

    async fn save_snapshot(&self, offset: u64, chunks: Vec<Bytes>) -> Result<(), LogError> {
        self.inner.save_snapshot(offset, chunks).await
    }

    async fn load_snapshot_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        self.inner.load_snapshot_chunks().await
    }

    async fn load_retained(&self) -> Result<Option<RetainedLog>, LogError> {
        self.inner.load_retained().await
    }

    fn release_before(&self, offset: u64) {
        self.inner.release_before(offset);
    }
}
