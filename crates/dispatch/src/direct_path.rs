//! Whether the log itself answers this process.
//!
//! A call that fails marks the path as broken; calls then go through entries at once, without
//! waiting for the log each time. Small reads in the background find out when it answers again.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;

/// Time between reads that try a broken path. A path that works again is used within half a second.
const PROBE_EVERY: Duration = Duration::from_millis(400);

/// The path from this process to the log.
pub(crate) struct DirectPath {
    pub(crate) log: Arc<dyn LogStore>,
    is_broken: Arc<AtomicBool>,
    end: Arc<AtomicU64>,
}

impl DirectPath {
    pub(crate) fn new(log: Arc<dyn LogStore>) -> Self {
        Self { log, is_broken: Arc::default(), end: Arc::default() }
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
                tokio::time::sleep(PROBE_EVERY).await;
                let from = end.load(Ordering::Relaxed);
                match log.read(LogStream::Records, from, 1, 0).await {
                    Ok(_) | Err(LogError::Expired { .. }) => break,
                    Err(LogError::Unavailable { .. } | LogError::Uncertain { .. }) => {}
                }
            }
            is_broken.store(false, Ordering::Release);
            log::info!("the log answers this process again");
        });
    }
}
