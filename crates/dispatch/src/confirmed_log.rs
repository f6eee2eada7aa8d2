//! A log whose reads tell how fresh the replica is.
//!
//! A read that reaches the end of the log shows that nothing else stood there when the read was
//! asked for. Leases and answers that must not be stale rest on that moment, on the boot-time
//! clock; a read that is answered late, or an instance that was suspended, confirms nothing newer.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::BootClock;

/// Longest wait for a record in one read, in ms. Leases rest on reads, and a connection that went
/// silent shows only when a read is overdue.
const MAX_READ_WAIT_MS: u32 = 1_000;
/// Least time between reads. Records that come close together are read at once.
const READ_PACE: Duration = Duration::from_millis(25);

/// Up to where, and as of when, the log was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// When the read was asked for, on the boot-time clock, in ms.
    pub at_ms: u64,
    /// End of the log then.
    pub end: u64,
}

/// A log that notes its confirmed reads.
pub struct ConfirmedLog {
    inner: Arc<dyn LogStore>,
    clock: Arc<dyn BootClock>,
    latest: Mutex<Option<ConfirmedRead>>,
    paced: Mutex<Option<Instant>>,
    confirmed: Notify,
}

impl ConfirmedLog {
    /// Notes the reads of `inner`.
    pub fn new(inner: Arc<dyn LogStore>, clock: Arc<dyn BootClock>) -> Self {
        Self {
            inner,
            clock,
            latest: Mutex::new(None),
            paced: Mutex::new(None),
            confirmed: Notify::new(),
        }
    }

    /// The latest confirmed read.
    pub fn latest(&self) -> Option<ConfirmedRead> {
        *self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Age of the latest confirmed read, in ms; nothing before the first.
    pub fn age_ms(&self) -> Option<u64> {
        self.latest().map(|read| self.clock.now_ms().saturating_sub(read.at_ms))
    }

    /// Waits for the next confirmed read.
    pub async fn next_confirmed(&self) {
        self.confirmed.notified().await;
    }

    fn note(&self, at_ms: u64, end: u64) {
        *self.latest.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(ConfirmedRead { at_ms, end });
        self.confirmed.notify_waiters();
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
        let read_to = page.first + page.entries.len() as u64;
        if stream == LogStream::Records && read_to >= page.next {
            // An answer without records came only once the wait was over.
            let is_empty = page.entries.is_empty();
            let waited_ms = if is_empty { u64::from(wait_ms) } else { 0 };
            let at_ms = (asked_ms + waited_ms).min(self.clock.now_ms());
            self.note(at_ms, page.next);
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
