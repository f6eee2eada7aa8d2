//! Answers of the log that never come, although the append took effect.

#![allow(clippy::unwrap_used, reason = "a test may fail where it stands")]

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_ledger::apply::BatchReport;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::log_tail::BatchObserver;
use cuminbarrow_ledger::log_tail::LogTail;
use cuminbarrow_ledger::log_writer::LogWriter;
use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::state::State;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;

/// A log that appends and never answers.
#[derive(Default)]
struct MuteLog {
    entries: Mutex<Vec<Vec<u8>>>,
}

impl MuteLog {
    fn entries(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl LogStore for MuteLog {
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

/// A log that takes its first append twice: at once, and again together with the second, whose
/// answer never comes.
#[derive(Default)]
struct RepeatingLog {
    taken: MuteLog,
}

#[async_trait]
impl LogStore for RepeatingLog {
    async fn append(&self, _stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        let count = {
            let mut entries = self.taken.entries();
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
        self.taken.read(stream, from, limit, wait_ms).await
    }
}

/// A log whose first answer is lost, and that refuses everything from then on.
#[derive(Default)]
struct RefusingLog {
    taken: MuteLog,
}

#[async_trait]
impl LogStore for RefusingLog {
    async fn append(&self, _stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        let reason = "the answer was lost".to_owned();
        let mut entries = self.taken.entries();
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

struct Settler(LogWriter);

impl BatchObserver for Settler {
    fn batch_applied(&self, _state: &State, offset: u64, batch: &Batch, report: &BatchReport) {
        self.0.complete_writes(offset, batch, report);
    }

    fn state_replaced(&self, _state: &State) {}
}

#[tokio::test]
async fn the_next_batch_does_not_wait_for_an_answer_that_the_log_itself_gave() {
    let store: Arc<dyn LogStore> = Arc::new(MuteLog::default());
    let writer = LogWriter::spawn(Arc::clone(&store), 7, || 1);
    let settler = Arc::new(Settler(writer.clone()));
    tokio::spawn(async move { LogTail::default().run(store, settler).await });
    let began = Instant::now();
    for epoch in 1..=5 {
        let record = Record::PlannerClaimed { epoch, instance: 7 };
        let settled =
            writer.write(record, Duration::from_secs(2)).await.expect("the record is written");
        assert_eq!(settled.offset, epoch - 1);
    }
    assert!(began.elapsed() < Duration::from_secs(1));
}

/// Guards against a late copy of an earlier batch that hides from the writer that its last one is
/// in the log, so that what waits is held up until an answer is overdue.
#[tokio::test]
async fn the_next_batch_does_not_wait_because_an_earlier_one_came_again() {
    let store: Arc<dyn LogStore> = Arc::new(RepeatingLog::default());
    let writer = LogWriter::spawn(Arc::clone(&store), 7, || 1);
    let settler = Arc::new(Settler(writer.clone()));
    tokio::spawn(async move { LogTail::default().run(store, settler).await });
    for epoch in 1..=3 {
        let record = Record::PlannerClaimed { epoch, instance: 7 };
        let written = writer.write(record, Duration::from_secs(1)).await;
        written.unwrap_or_else(|error| panic!("epoch {epoch}: {error}")).result.unwrap();
    }
}

/// Guards against "not written" for a record that may be carried out seconds later: refusals that
/// follow a lost answer say nothing of the try before.
#[tokio::test]
async fn a_record_that_was_refused_after_a_lost_answer_is_not_told_as_not_written() {
    let store: Arc<dyn LogStore> = Arc::new(RefusingLog::default());
    let writer: LogWriter = LogWriter::spawn(store, 7, || 1);
    let record = Record::PlannerClaimed { epoch: 1, instance: 7 };
    let written = writer.write(record, Duration::from_millis(300)).await;
    assert_eq!(written.unwrap_err(), WriteError::Unknown);
}
