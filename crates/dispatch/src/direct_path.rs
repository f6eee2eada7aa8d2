//! Whether the log itself answers this process.
//!
//! A call that fails marks the path as broken; calls then go through entries at once, without
//! waiting for the log each time. An entry whose path is broken refuses to pass appends on, so that
//! whoever asked takes another way. Small reads in the background find out when the log answers
//! again; the first comes at once, since a single lost answer is no broken path. They do not wait for
//! one another: a call that the log received while it was silent is never answered.

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

/// Time between reads that try a broken path. A path that works again is used within half a second.
const PROBE_EVERY: Duration = Duration::from_millis(250);

/// The path from this process to the log.
pub struct DirectPath {
    pub(crate) log: Arc<dyn LogStore>,
    is_broken: watch::Sender<bool>,
    /// How far the log was read last, which is where a probe reads.
    read_to: Arc<AtomicU64>,
}

impl DirectPath {
    /// The path to `log`, taken to work.
    pub fn new(log: Arc<dyn LogStore>) -> Self {
        Self { log, is_broken: watch::Sender::new(false), read_to: Arc::default() }
    }

    /// Appends to the records, unless the path is broken.
    ///
    /// # Errors
    /// As [`LogStore::append`].
    pub(crate) async fn append(&self, body: Bytes) -> Result<u64, LogError> {
        if self.is_broken() {
            return Err(broken_path());
        }
        let result = self.log.append(LogStream::Records, body).await;
        if let Err(error) = &result {
            self.note_failure(error);
        }
        result
    }

    /// Reads records, over a path that works or has just come back. A read is given up once another
    /// call finds the path broken.
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
            Ok(page) => self.read_to.store(page.read_to(), Ordering::Relaxed),
            Err(LogError::Expired { .. }) => {}
            Err(error) => self.note_failure(error),
        }
        result
    }

    pub(crate) fn is_broken(&self) -> bool {
        *self.is_broken.borrow()
    }

    /// Waits until the path works, at most for `limit`. Tells whether it does.
    pub(crate) async fn wait_working(&self, limit: Duration) -> bool {
        let mut is_broken = self.is_broken.subscribe();
        let working = is_broken.wait_for(|is_broken| !is_broken);
        tokio::time::timeout(limit, working).await.is_ok_and(|result| result.is_ok())
    }

    /// Notes that a call failed. The first failure starts the probes.
    fn note_failure(&self, error: &LogError) {
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
        let next = tokio::time::sleep(PROBE_EVERY);
        tokio::select! {
            () = next => {}
            Some(Ok(true)) = probes.join_next() => return,
        }
    }
}

async fn is_answered(log: &dyn LogStore, from: u64) -> bool {
    match log.read(LogStream::Records, from, 1, 0).await {
        Ok(_) | Err(LogError::Expired { .. }) => true,
        Err(LogError::Unavailable { .. } | LogError::Uncertain { .. }) => false,
    }
}

pub(crate) fn broken_path() -> LogError {
    LogError::Unavailable { reason: "the log does not answer this process".to_owned() }
}
