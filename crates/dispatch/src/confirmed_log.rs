//! A log whose reads tell how fresh the replica is.
//!
//! A read that reaches the end of the log shows that nothing else stood there at some moment.
//! Leases and answers that must not be stale rest on that moment, on the boot-time clock; a read
//! that is answered late, or an instance that was suspended, confirms nothing newer. The batches
//! read last are kept for those that read through this process.

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
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::BootClock;

/// Longest wait for a record in one read, in ms. Leases rest on reads, an answer without records may
/// confirm no more than when it was asked for, and a connection that went silent shows only when a
/// read is overdue. An idle planner renews its role in less.
const MAX_READ_WAIT_MS: u32 = 550;
/// Least time between reads. Records that come close together are read at once.
const READ_PACE: Duration = Duration::from_millis(25);
/// Batches kept for those that read through this process.
const RECENT_BATCHES: usize = 2_000;
/// Bytes of them at most.
const RECENT_BYTES: usize = 4 * 1024 * 1024;

/// Up to where, and as of when, the log was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// A moment at which the log ended at `end`, on the boot-time clock, in ms.
    pub at_ms: u64,
    /// End of the log then.
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
        while self.bodies.len() > RECENT_BATCHES || self.bytes > RECENT_BYTES {
            let Some(body) = self.bodies.pop_front() else { return };
            self.bytes -= body.len();
            self.first += 1;
        }
    }
}

/// A log that notes its confirmed reads.
pub struct ConfirmedLog {
    inner: Arc<dyn LogStore>,
    clock: Arc<dyn BootClock>,
    recent: Mutex<RecentBatches>,
    paced: Mutex<Option<Instant>>,
    confirmed: watch::Sender<Option<ConfirmedRead>>,
    /// Pages read, confirmed or not.
    pages: watch::Sender<u64>,
}

impl ConfirmedLog {
    /// Notes the reads of `inner`.
    pub fn new(inner: Arc<dyn LogStore>, clock: Arc<dyn BootClock>) -> Self {
        Self {
            inner,
            clock,
            recent: Mutex::default(),
            paced: Mutex::new(None),
            confirmed: watch::Sender::new(None),
            pages: watch::Sender::new(0),
        }
    }

    /// The latest confirmed read.
    pub fn latest(&self) -> Option<ConfirmedRead> {
        *self.confirmed.borrow()
    }

    /// Tells of each confirmed read.
    pub fn confirmed(&self) -> watch::Receiver<Option<ConfirmedRead>> {
        self.confirmed.subscribe()
    }

    /// Tells of each page read, which may also be one that confirms nothing.
    pub fn pages(&self) -> watch::Receiver<u64> {
        self.pages.subscribe()
    }

    /// Age of the latest confirmed read, in ms; nothing before the first.
    pub fn age_ms(&self) -> Option<u64> {
        self.latest().map(|read| self.clock.now_ms().saturating_sub(read.at_ms))
    }

    /// The batches kept from an offset on, with their age; nothing where they are not all there.
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

    /// Whether an offset lies before the batches kept.
    pub fn is_before_recent(&self, from: u64) -> bool {
        from < self.recent_first()
    }

    /// Offset of the first batch kept.
    pub fn recent_first(&self) -> u64 {
        self.recent().first
    }

    fn recent(&self) -> MutexGuard<'_, RecentBatches> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the log ended at `end` at `at_ms`; an older moment than the one known for the
    /// same end is of no use.
    fn note(&self, at_ms: u64, end: u64) {
        self.confirmed.send_modify(|known| {
            let known_ms = known.filter(|known| known.end == end).map_or(0, |known| known.at_ms);
            *known = Some(ConfirmedRead { at_ms: at_ms.max(known_ms), end });
        });
    }

    async fn pace(&self) {
        let last = *self.paced.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(last) = last {
            tokio::time::sleep_until(last + READ_PACE).await;
        }
        *self.paced.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
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
        self.pace().await;
        let asked_ms = self.clock.now_ms();
        let wait_ms = wait_ms.min(MAX_READ_WAIT_MS);
        let page = self.inner.read(stream, from, limit, wait_ms).await?;
        if stream == LogStream::Records {
            self.recent().push(&page);
            if page.read_to() >= page.next {
                let waited_ms = asked_ms.saturating_add(page.waited_ms);
                let at_ms = waited_ms.saturating_sub(page.age_ms).min(self.clock.now_ms());
                self.note(at_ms, page.next);
            }
            self.pages.send_modify(|pages| *pages += 1);
        }
        Ok(page)
    }

    async fn save_chunks(&self, chunks: Vec<Bytes>) -> Result<(), LogError> {
        self.inner.save_chunks(chunks).await
    }

    async fn load_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        self.inner.load_chunks().await
    }
}
