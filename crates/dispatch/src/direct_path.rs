//! Whether the log itself answers this process.
//!
//! A call that fails marks the path as broken; calls then go through entries at once, without
//! waiting for the log each time. An entry whose path is broken refuses to pass appends on, so that
//! whoever asked takes another way. Small reads in the background find out when the log answers
//! again; the first comes at once, since a single lost answer is no broken path.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;

/// Time between reads that try a broken path. A path that works again is used within half a second.
const PROBE_EVERY: Duration = Duration::from_millis(400);

/// The path from this process to the log.
pub struct DirectPath {
    pub(crate) log: Arc<dyn LogStore>,
    is_broken: Arc<AtomicBool>,
    end: Arc<AtomicU64>,
}

impl DirectPath {
    /// The path to `log`, taken to work.
    pub fn new(log: Arc<dyn LogStore>) -> Self {
        Self { log, is_broken: Arc::default(), end: Arc::default() }
    }

    /// Appends to the records, unless the path is broken.
    ///
    /// # Errors
    /// As [`LogStore::append`].
    pub(crate) async fn append(&self, body: Bytes) -> Result<u64, LogError> {
        if self.is_broken() {
            let reason = "the log does not answer this process".to_owned();
            return Err(LogError::Unavailable { reason });
        }
        let result = self.log.append(LogStream::Records, body).await;
        if let Err(error) = &result {
            self.note_failure(error);
        }
        result
    }

    pub(crate) fn is_broken(&self) -> bool {
        self.is_broken.load(Ordering::Acquire)
    }

    /// Notes where the log ends, which is where a probe reads.
    pub(crate) fn note_end(&self, end: u64) {
        self.end.store(end, Ordering::Relaxed);
    }

    /// Notes that a call failed. The first failure starts the probes.
    pub(crate) fn note_failure(&self, error: &LogError) {
        if self.is_broken.swap(true, Ordering::AcqRel) {
            return;
        }
        log::warn!("the log does not answer this process: {error}");
        let log = Arc::clone(&self.log);
        let (is_broken, end) = (Arc::clone(&self.is_broken), Arc::clone(&self.end));
        tokio::spawn(async move {
            loop {
                let from = end.load(Ordering::Relaxed);
                match log.read(LogStream::Records, from, 1, 0).await {
                    Ok(_) | Err(LogError::Expired { .. }) => break,
                    Err(LogError::Unavailable { .. } | LogError::Uncertain { .. }) => {}
                }
                tokio::time::sleep(PROBE_EVERY).await;
            }
            is_broken.store(false, Ordering::Release);
            log::info!("the log answers this process again");
        });
    }
}
