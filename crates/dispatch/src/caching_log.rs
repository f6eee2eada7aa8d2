//! A log that keeps what this process appended.
//!
//! The log may drop its history before anyone read the newest batches. Whoever appended them still
//! has them, and gives them to its own replica and to others, so that no replica is left with a gap
//! that no snapshot covers. For the same reason a read need not wait for a log that takes records and
//! tells its readers nothing.

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
use tokio::sync::Notify;

/// Batches kept. The target load is some 100 a second, and readers are a second or two behind at
/// most.
const KEPT_BATCHES: usize = 512;
/// Bytes of them at most.
const KEPT_BYTES: usize = 2 * 1024 * 1024;

/// Time that a read has to give a batch which this process appended. Reads take some 4 ms.
const OVERDUE: Duration = Duration::from_millis(60);

#[derive(Default)]
struct KeptBatches {
    bytes: usize,
    bodies: BTreeMap<u64, Bytes>,
}

impl KeptBatches {
    fn push(&mut self, offset: u64, body: Bytes) {
        self.bytes += body.len();
        self.bodies.insert(offset, body);
        while self.bodies.len() > KEPT_BATCHES || self.bytes > KEPT_BYTES {
            let Some((_, body)) = self.bodies.pop_first() else { return };
            self.bytes -= body.len();
        }
    }

    /// Bodies from an offset on, up to the first that another process appended.
    fn run_from(&self, from: u64) -> Vec<Vec<u8>> {
        let numbered = (from..).zip(self.bodies.range(from..));
        let run = numbered.take_while(|(expected, (offset, _))| expected == *offset);
        run.map(|(_, (_, body))| body.to_vec()).collect()
    }
}

/// A log whose appends are kept for a while.
pub struct CachingLog {
    inner: Arc<dyn LogStore>,
    kept: Mutex<KeptBatches>,
    /// Oldest offset that the log keeps, as last seen.
    oldest: AtomicU64,
    appended: Notify,
}

impl CachingLog {
    /// Keeps the appends to `inner`.
    pub fn new(inner: Arc<dyn LogStore>) -> Self {
        Self { inner, kept: Mutex::default(), oldest: AtomicU64::new(0), appended: Notify::new() }
    }

    /// Batches from an offset on that this process appended; nothing where there are none.
    pub fn page_from(&self, from: u64, oldest: u64) -> Option<LogPage> {
        let entries = self.kept().run_from(from);
        (!entries.is_empty()).then(|| lost_page(from, oldest, entries))
    }

    fn keep(&self, first: u64, bodies: Vec<Bytes>) {
        let mut kept = self.kept();
        (first..).zip(bodies).for_each(|(offset, body)| kept.push(offset, body));
        drop(kept);
        self.appended.notify_waiters();
    }

    /// Own batches from an offset on, once a read should have given them.
    async fn overdue_page(&self, from: u64) -> LogPage {
        loop {
            let appended = self.appended.notified();
            if self.kept().bodies.contains_key(&from) {
                tokio::time::sleep(OVERDUE).await;
                if let Some(page) = self.page_from(from, self.oldest.load(Ordering::Relaxed)) {
                    return page;
                }
            }
            appended.await;
        }
    }

    /// Reads records; own batches are given where the log does not tell them in time.
    async fn read_records(&self, from: u64, limit: u32, wait_ms: u32) -> Result<LogPage, LogError> {
        let page = tokio::select! {
            page = self.inner.read(LogStream::Records, from, limit, wait_ms) => page?,
            page = self.overdue_page(from) => return Ok(page),
        };
        self.oldest.store(page.oldest, Ordering::Relaxed);
        Ok(page)
    }

    fn kept(&self) -> MutexGuard<'_, KeptBatches> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A page of batches that the log no longer has. It tells nothing of where the log ends, so its
/// `next` lies beyond its batches: a reader has to ask again.
pub(crate) fn lost_page(first: u64, oldest: u64, entries: Vec<Vec<u8>>) -> LogPage {
    let next = first + entries.len() as u64 + 1;
    LogPage { oldest, next, first, entries, waited_ms: 0, age_ms: 0 }
}

#[async_trait]
impl LogStore for CachingLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        let offset = self.inner.append(stream, body.clone()).await?;
        if stream == LogStream::Records {
            self.keep(offset, vec![body]);
        }
        Ok(offset)
    }

    async fn append_all(&self, stream: LogStream, bodies: Vec<Bytes>) -> Result<u64, LogError> {
        let first = self.inner.append_all(stream, bodies.clone()).await?;
        if stream == LogStream::Records {
            self.keep(first, bodies);
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
                log::info!(from, oldest, batches = page.entries.len(); "read own lost batches");
                Ok(page)
            }
            result => result,
        }
    }

    async fn save_chunks(&self, chunks: Vec<Bytes>) -> Result<(), LogError> {
        self.inner.save_chunks(chunks).await
    }

    async fn load_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        self.inner.load_chunks().await
    }
}
