//! Responses of the log service that never arrive, although the append took effect.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod write_completer;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_ledger::log_tail::LogTail;
use cuminbarrow_ledger::log_writer::LogWriter;
use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;

use crate::write_completer::WriteCompleter;

/// A log that appends and never responds.
#[derive(Default)]
struct UnresponsiveLog {
    entries: Mutex<Vec<Vec<u8>>>,
}

impl UnresponsiveLog {
    fn entries(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl LogStore for UnresponsiveLog {
    async fn append(&self, _stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        self.entries().push(body.to_vec());
        std::future::pending().await
    }

    async fn read(
        &self,
        _stream: LogStream,
        from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let entries = self.entries();
        let next = entries.len() as u64;
        let entries = entries.iter().skip(from as usize).cloned().collect();
        Ok(LogPage { next, first: from, entries, ..LogPage::default() })
    }
}

/// A log that appends its first batch again together with the second one, and never responds to
/// that second append.
#[derive(Default)]
struct DuplicatingLog {
    inner: UnresponsiveLog,
}

#[async_trait]
impl LogStore for DuplicatingLog {
    async fn append(&self, _stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        let count = {
            let mut entries = self.inner.entries();
            entries.push(body.to_vec());
            if entries.len() == 2 {
                let copy = entries[0].clone();
                entries.push(copy);
            }
            entries.len()
        };
        if count > 1 {
            std::future::pending::<()>().await;
        }
        Ok(0)
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        self.inner.read(stream, from, limit, wait_ms).await
    }
}

/// A log whose first response is lost, and that refuses all later appends.
#[derive(Default)]
struct RefusingLog {
    inner: UnresponsiveLog,
}

#[async_trait]
impl LogStore for RefusingLog {
    async fn append(&self, _stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        let reason = "the response was lost".to_owned();
        let mut entries = self.inner.entries();
        entries.push(body.to_vec());
        if entries.len() > 1 {
            return Err(LogError::Unavailable { reason: "status 503".to_owned() });
        }
        Err(LogError::Uncertain { reason })
    }

    async fn read(
        &self,
        _stream: LogStream,
        _from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        std::future::pending().await
    }
}

#[tokio::test]
async fn next_batch_does_not_wait_for_lost_response_of_applied_batch() {
    let store: Arc<dyn LogStore> = Arc::new(UnresponsiveLog::default());
    let writer = LogWriter::spawn(Arc::clone(&store), 7, || 1);
    let observer = Arc::new(WriteCompleter(writer.clone()));
    tokio::spawn(async move { LogTail::default().run(store, observer).await });
    let began = Instant::now();
    for epoch in 1..=5 {
        let record = Record::PlannerClaimed { epoch, instance: 7 };
        let applied =
            writer.write(record, Duration::from_secs(2)).await.expect("the record is written");
        assert_eq!(applied.offset, epoch - 1);
    }
    assert!(began.elapsed() < Duration::from_secs(1));
}

/// Guards against a duplicate of an earlier batch that lowers the sequence number the writer waits
/// for: the writer then misses that its last batch is in the log, and delays all queued records
/// until the append times out.
#[tokio::test]
async fn next_batch_does_not_wait_after_duplicate_of_earlier_batch() {
    let store: Arc<dyn LogStore> = Arc::new(DuplicatingLog::default());
    let writer = LogWriter::spawn(Arc::clone(&store), 7, || 1);
    let observer = Arc::new(WriteCompleter(writer.clone()));
    tokio::spawn(async move { LogTail::default().run(store, observer).await });
    for epoch in 1..=3 {
        let record = Record::PlannerClaimed { epoch, instance: 7 };
        let written = writer.write(record, Duration::from_secs(1)).await;
        written.unwrap_or_else(|error| panic!("epoch {epoch}: {error}")).result.unwrap();
    }
}

/// Guards against [`WriteError::NotWritten`] for a record that may take effect seconds later:
/// refusals that follow a lost response do not tell whether the earlier append took effect.
#[tokio::test]
async fn record_refused_after_lost_response_is_reported_as_unknown() {
    let store: Arc<dyn LogStore> = Arc::new(RefusingLog::default());
    let writer: LogWriter = LogWriter::spawn(store, 7, || 1);
    let record = Record::PlannerClaimed { epoch: 1, instance: 7 };
    let written = writer.write(record, Duration::from_millis(300)).await;
    assert_eq!(written.unwrap_err(), WriteError::Unknown);
}
