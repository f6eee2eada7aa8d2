//! An in-memory log service with fault injection.

use std::collections::BTreeMap;
use std::collections::VecDeque;
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
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// Faults of the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Fails every request without effect.
    pub is_down: bool,
    /// Delay before each request takes effect, in ms.
    pub delay_ms: u64,
    /// Number of appends that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Number of newest entries that a stream retains; 0 retains all.
    pub retained_entries: usize,
}

/// Retained entries of a stream; `oldest_offset` is the offset of the first one.
#[derive(Default)]
struct StreamEntries {
    oldest_offset: u64,
    entries: VecDeque<Vec<u8>>,
}

impl StreamEntries {
    fn next_offset(&self) -> u64 {
        self.oldest_offset + self.entries.len() as u64
    }

    fn trim(&mut self, retained: usize) {
        while retained > 0 && self.entries.len() > retained {
            self.entries.pop_front();
            self.oldest_offset += 1;
        }
    }

    fn page(&self, from: u64, limit: u32) -> LogPage {
        let skipped =
            usize::try_from(from.saturating_sub(self.oldest_offset)).unwrap_or(usize::MAX);
        let entries = self.entries.iter().skip(skipped).take(limit as usize).cloned().collect();
        LogPage {
            oldest: self.oldest_offset,
            next: self.next_offset(),
            first: from,
            entries,
            ..LogPage::default()
        }
    }
}

#[derive(Default)]
struct LogState {
    faults: LogFaults,
    streams: BTreeMap<LogStream, StreamEntries>,
    appends: u64,
    refused_appends: u64,
    appended_bytes: u64,
}

/// The in-memory log service.
#[derive(Default)]
pub struct LogService {
    state: Mutex<LogState>,
    appended: Notify,
}

impl LogService {
    /// Replaces the injected faults and applies the new retention to all streams.
    pub fn set_faults(&self, faults: LogFaults) {
        let mut state = self.lock();
        state.faults = faults;
        for stream in state.streams.values_mut() {
            stream.trim(faults.retained_entries);
        }
    }

    /// Number of appends that took effect.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    /// Number of appends that were refused.
    pub fn refused_appends(&self) -> u64 {
        self.lock().refused_appends
    }

    /// Total size of the appends that took effect, in bytes.
    pub fn appended_bytes(&self) -> u64 {
        self.lock().appended_bytes
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delays a request, and fails it if the service is down after the delay.
    async fn apply_faults(&self) -> Result<(), LogError> {
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.lock().faults.is_down {
            return Err(LogError::Unavailable { reason: "the service is down".to_owned() });
        }
        Ok(())
    }

    fn page(&self, stream: LogStream, from: u64, limit: u32) -> Result<LogPage, LogError> {
        let mut state = self.lock();
        let entries = state.streams.entry(stream).or_default();
        if from < entries.oldest_offset {
            return Err(LogError::Expired { oldest: entries.oldest_offset });
        }
        Ok(entries.page(from, limit))
    }
}

#[async_trait]
impl LogStore for LogService {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        self.apply_faults().await.inspect_err(|_| self.lock().refused_appends += 1)?;
        let offset = {
            let mut state = self.lock();
            let retained = state.faults.retained_entries;
            state.appends += 1;
            state.appended_bytes += body.len() as u64;
            let entries = state.streams.entry(stream).or_default();
            let offset = entries.next_offset();
            entries.entries.push_back(body.to_vec());
            entries.trim(retained);
            if state.faults.lose_answers > 0 {
                state.faults.lose_answers -= 1;
                Err(LogError::Uncertain { reason: "the answer was lost".to_owned() })
            } else {
                Ok(offset)
            }
        };
        self.appended.notify_waiters();
        offset
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        self.apply_faults().await?;
        let deadline = tokio::time::Instant::now() + Duration::from_millis(u64::from(wait_ms));
        loop {
            let appended = self.appended.notified();
            let page = self.page(stream, from, limit)?;
            if !page.entries.is_empty() || wait_ms == 0 {
                return Ok(page);
            }
            if tokio::time::timeout_at(deadline, appended).await.is_err() {
                return Ok(page);
            }
            self.apply_faults().await?;
        }
    }
}
