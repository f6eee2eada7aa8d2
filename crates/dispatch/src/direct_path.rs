//! Circuit breaker for direct calls to the log.
//!
//! A failed call marks the path as broken. Calls then go through entries at once instead of each
//! waiting for the log to time out. An entry whose path is broken refuses to relay appends, so that
//! the caller tries another entry. Small background reads probe whether the log answers again. The
//! first probe is sent immediately, because a single lost answer does not mean that the path is
//! broken. Probes run concurrently, because a call that reached the log during an outage is never
//! answered.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Time between probes of a broken path. A path that works again is used within half a second.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// The direct path from this process to the log, with its circuit breaker.
pub struct DirectPath {
    pub(crate) log: Arc<dyn LogStore>,
    is_broken: watch::Sender<bool>,
    /// Offset up to which the log was read last; probes read from there.
    read_to: Arc<AtomicU64>,
}

impl DirectPath {
    /// Creates a path to `log` that is assumed to work.
    pub fn new(log: Arc<dyn LogStore>) -> Self {
        Self { log, is_broken: watch::Sender::new(false), read_to: Arc::default() }
    }

    /// Appends to the record stream, unless the path is broken.
    ///
    /// # Errors
    /// As [`LogStore::append`].
    pub(crate) async fn append(&self, body: Bytes) -> Result<u64, LogError> {
        if self.is_broken() {
            return Err(broken_path());
        }
        let result = self.log.append(LogStream::Records, body).await;
        match &result {
            // The log has answered; another entry may be taken.
            Ok(_) | Err(LogError::Rejected { .. }) => {}
            Err(error) => self.record_failure(error),
        }
        result
    }

    /// Reads records. Fails if the path is broken, and as soon as another call marks it as broken.
    ///
    /// # Errors
    /// As [`LogStore::read`].
    pub(crate) async fn read(
        &self,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        let mut is_broken = self.is_broken.subscribe();
        let result = tokio::select! {
            result = self.log.read(LogStream::Records, from, limit, wait_ms) => result,
            Ok(_) = is_broken.wait_for(|is_broken| *is_broken) => Err(broken_path()),
        };
        match &result {
            Ok(page) => self.read_to.store(page.end_offset(), Ordering::Relaxed),
            Err(LogError::Expired { .. }) => {}
            Err(error) => self.record_failure(error),
        }
        result
    }

    pub(crate) fn is_broken(&self) -> bool {
        *self.is_broken.borrow()
    }

    /// Waits until the path works.
    pub(crate) async fn working(&self) {
        let mut is_broken = self.is_broken.subscribe();
        // Never fails, because the sender lives as long as `self`.
        let _ = is_broken.wait_for(|is_broken| !is_broken).await;
    }

    /// Waits up to `limit` for the path to work, and returns whether it does.
    pub(crate) async fn wait_until_working(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.working()).await.is_ok()
    }

    /// Marks the path as broken. The first failure starts the probes.
    fn record_failure(&self, error: &LogError) {
        if self.is_broken.send_replace(true) {
            return;
        }
        log::warn!("the log does not answer this process: {error}");
        let (log, read_to) = (Arc::clone(&self.log), Arc::clone(&self.read_to));
        let is_broken = self.is_broken.clone();
        tokio::spawn(async move {
            probe_until_answered(&log, &read_to).await;
            is_broken.send_replace(false);
            log::info!("the log answers this process again");
        });
    }
}

async fn probe_until_answered(log: &Arc<dyn LogStore>, read_to: &AtomicU64) {
    let mut probes = JoinSet::new();
    loop {
        let (log, from) = (Arc::clone(log), read_to.load(Ordering::Relaxed));
        probes.spawn(async move { is_answered(&*log, from).await });
        let next = tokio::time::sleep(PROBE_INTERVAL);
        tokio::select! {
            () = next => {}
            Some(Ok(true)) = probes.join_next() => return,
        }
    }
}

async fn is_answered(log: &dyn LogStore, from: u64) -> bool {
    match log.read(LogStream::Records, from, 1, 0).await {
        Ok(_) | Err(LogError::Expired { .. }) => true,
        Err(
            LogError::Unavailable { .. } | LogError::Rejected { .. } | LogError::Uncertain { .. },
        ) => false,
    }
}

pub(crate) fn broken_path() -> LogError {
    LogError::Unavailable { reason: "the log does not answer this process".to_owned() }
}
