//! A log client that caches the batches that this process appended.
//!
//! The log may drop its history before any replica has read the newest batches. The process that
//! appended them still has them in its cache and serves them to its own replica and to others, so
//! that no replica is left with a gap that no snapshot covers. The cache also serves reads while the
//! log accepts appends but returns no records to its readers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_resources::log_store::RetainedLog;
use tokio::sync::Notify;

/// Maximum number of cached batches. The target load is about 100 batches a second, and readers lag
/// by a second or two at most.
const MAX_CACHED_BATCHES: usize = 512;
/// Maximum total size of the cached batches, in bytes.
const MAX_CACHED_BYTES: usize = 2 * 1024 * 1024;

/// Time after which a batch that this process appended is served from the cache because no read has
/// returned it. Reads take about 4 ms.
const OWN_BATCH_READ_TIMEOUT: Duration = Duration::from_millis(60);

#[derive(Default)]
struct CachedBatches {
    bytes: usize,
    bodies: BTreeMap<u64, Bytes>,
}

impl CachedBatches {
    fn push(&mut self, offset: u64, body: Bytes) {
        self.bytes += body.len();
        self.bodies.insert(offset, body);
        while self.bodies.len() > MAX_CACHED_BATCHES || self.bytes > MAX_CACHED_BYTES {
            let Some((_, body)) = self.bodies.pop_first() else { return };
            self.bytes -= body.len();
        }
    }

    /// Bodies from `from` on, up to the first batch that another process appended.
    fn contiguous_from(&self, from: u64) -> Vec<Vec<u8>> {
        let numbered = (from..).zip(self.bodies.range(from..));
        let contiguous = numbered.take_while(|(expected, (offset, _))| expected == *offset);
        contiguous.map(|(_, (_, body))| body.to_vec()).collect()
    }
}

/// A log client that caches the latest batches appended through it.
pub struct CachingLog {
    inner: Arc<dyn LogStore>,
    cached: Mutex<CachedBatches>,
    /// Oldest offset that the log retains, as of the last read.
    oldest: AtomicU64,
    appended: Notify,
}

impl CachingLog {
    /// Caches the batches appended to `inner`.
    pub fn new(inner: Arc<dyn LogStore>) -> Self {
        Self { inner, cached: Mutex::default(), oldest: AtomicU64::new(0), appended: Notify::new() }
    }

    /// Cached batches from `from` on; `None` if the batch at `from` is not cached.
    pub fn page_from(&self, from: u64, oldest: u64) -> Option<LogPage> {
        let entries = self.cached().contiguous_from(from);
        (!entries.is_empty()).then(|| dropped_page(from, oldest, entries))
    }

    fn cache(&self, first: u64, bodies: Vec<Bytes>) {
        let mut cached = self.cached();
        (first..).zip(bodies).for_each(|(offset, body)| cached.push(offset, body));
        drop(cached);
        self.appended.notify_waiters();
    }

    /// Cached batches from `from` on, once a read should have returned them.
    async fn overdue_page(&self, from: u64) -> LogPage {
        loop {
            let appended = self.appended.notified();
            if self.cached().bodies.contains_key(&from) {
                tokio::time::sleep(OWN_BATCH_READ_TIMEOUT).await;
                if let Some(page) = self.page_from(from, self.oldest.load(Ordering::Relaxed)) {
                    return page;
                }
            }
            appended.await;
        }
    }

    /// Reads records, and serves cached batches if the log does not return them in time.
    async fn read_records(&self, from: u64, limit: u32, wait_ms: u32) -> Result<LogPage, LogError> {
        let page = tokio::select! {
            page = self.inner.read(LogStream::Records, from, limit, wait_ms) => page?,
            page = self.overdue_page(from) => return Ok(page),
        };
        self.oldest.store(page.oldest, Ordering::Relaxed);
        Ok(page)
    }

    fn cached(&self) -> MutexGuard<'_, CachedBatches> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A page of cached batches, which the log has dropped or has not returned in time. It does not show
/// where the log ends, so its `next` lies beyond its batches, which makes the reader ask again.
pub(crate) fn dropped_page(first: u64, oldest: u64, entries: Vec<Vec<u8>>) -> LogPage {
    let next = first + entries.len() as u64 + 1;
    LogPage { oldest, next, first, entries, waited_ms: 0, age_ms: 0 }
}

#[async_trait]
impl LogStore for CachingLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        let offset = self.inner.append(stream, body.clone()).await?;
        if stream == LogStream::Records {
            self.cache(offset, vec![body]);
        }
        Ok(offset)
    }

    async fn append_all(&self, stream: LogStream, bodies: Vec<Bytes>) -> Result<u64, LogError> {
        let first = self.inner.append_all(stream, bodies.clone()).await?;
        if stream == LogStream::Records {
            self.cache(first, bodies);
        }
        Ok(first)
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        if stream != LogStream::Records {
            return self.inner.read(stream, from, limit, wait_ms).await;
        }
        match self.read_records(from, limit, wait_ms).await {
            Err(LogError::Expired { oldest }) => {
                let Some(page) = self.page_from(from, oldest) else {
                    return Err(LogError::Expired { oldest });
                };
                log::info!(from, oldest, batches = page.entries.len(); "read dropped batches from the own cache");
                Ok(page)
            }
            result => result,
        }
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
