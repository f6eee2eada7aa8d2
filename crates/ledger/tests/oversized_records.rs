//! Records that the log takes only in small batches, or not at all.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod write_completer;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::log_tail::LogTail;
use cuminbarrow_ledger::log_writer::LogWriter;
use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use smol_str::SmolStr;

use crate::write_completer::WriteCompleter;

/// Size of the largest entry that the users' log takes, in bytes.
const LARGEST_ENTRY: usize = 262_144;
const TIMEOUT: Duration = Duration::from_secs(5);

/// A log that rejects entries of more than `limit` bytes.
#[derive(Default)]
struct LimitedLog {
    limit: usize,
    entries: Mutex<Vec<Vec<u8>>>,
    rejected: Mutex<usize>,
    /// Whether the next append is left unanswered, without an effect.
    is_next_lost: Mutex<bool>,
}

#[async_trait]
impl LogStore for LimitedLog {
    async fn append(&self, _stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        // Records that are written at once queue up behind the first append.
        tokio::time::sleep(Duration::from_millis(10)).await;
        if std::mem::take(&mut *self.is_next_lost.lock().unwrap()) {
            return Err(LogError::Uncertain { reason: "the response was lost".to_owned() });
        }
        if body.len() > self.limit {
            *self.rejected.lock().unwrap() += 1;
            return Err(LogError::Rejected { reason: format!("{} bytes", body.len()) });
        }
        let mut entries = self.entries.lock().unwrap();
        entries.push(body.to_vec());
        Ok(entries.len() as u64 - 1)
    }

    async fn read(
        &self,
        _stream: LogStream,
        from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let entries = self.entries.lock().unwrap();
        let next = entries.len() as u64;
        let entries = entries.iter().skip(from as usize).cloned().collect();
        Ok(LogPage { next, first: from, entries, ..LogPage::default() })
    }
}

/// A writer to the log, with the replica that completes its writes.
fn start_writer(log: &Arc<LimitedLog>) -> LogWriter {
    let store = Arc::clone(log) as Arc<dyn LogStore>;
    let writer = LogWriter::spawn(Arc::clone(&store), 7, || 1);
    let observer = Arc::new(WriteCompleter(writer.clone()));
    tokio::spawn(async move { LogTail::default().run(store, observer).await });
    writer
}

fn record(number: u16, bytes: usize) -> Record {
    let address = ([127, 0, 0, 1], number).into();
    let region = SmolStr::new("r".repeat(bytes));
    Record::EntryJoined { instance: u64::from(number), region, address }
}

/// Guards against a batch that is larger than the log takes: it was refused each time it was sent, and
/// nothing of its writer got into the log any more.
#[tokio::test]
async fn records_that_exceed_an_entry_together_are_written_in_several() {
    let log = Arc::new(LimitedLog { limit: LARGEST_ENTRY, ..LimitedLog::default() });
    let writer = start_writer(&log);
    let records = (0..40).map(|number| record(number, 20_000)).collect();
    let results = writer.write_all(records, TIMEOUT).await;
    assert!(results.iter().all(Result::is_ok), "{results:?}");
    let offsets: Vec<u64> = results.into_iter().map(|result| result.unwrap().offset).collect();
    assert!(offsets.is_sorted(), "records are written in order: {offsets:?}");
    assert_eq!(*log.rejected.lock().unwrap(), 0, "no batch was larger than the log takes");
    assert!(log.entries.lock().unwrap().len() < 20, "records still share batches");
}

/// Guards against a single record that stops all others of its writer.
#[tokio::test]
async fn record_larger_than_an_entry_is_rejected_and_stops_no_other() {
    let log = Arc::new(LimitedLog { limit: LARGEST_ENTRY, ..LimitedLog::default() });
    let writer = start_writer(&log);
    let records = vec![record(0, 10), record(1, LARGEST_ENTRY), record(2, 10)];
    let results = writer.write_all(records, TIMEOUT).await;
    assert!(results[0].is_ok() && results[2].is_ok(), "{results:?}");
    assert_eq!(results[1], Err(WriteError::Rejected));
}

/// Guards against the same with a log whose limit is lower than the writer's.
#[tokio::test]
async fn record_that_the_log_rejects_stops_no_other() {
    let log = Arc::new(LimitedLog { limit: 1_000, ..LimitedLog::default() });
    let writer = start_writer(&log);
    let sizes = [10, 10, 2_000, 10, 900, 10, 3_000];
    let records = (0..).zip(sizes).map(|(number, bytes)| record(number, bytes)).collect();
    let results = writer.write_all(records, TIMEOUT).await;
    for (bytes, result) in sizes.into_iter().zip(results) {
        match result {
            Ok(_) => assert!(bytes < 1_000, "{bytes} bytes were written"),
            Err(error) => assert_eq!((error, bytes > 1_000), (WriteError::Rejected, true)),
        }
    }
}

/// Guards against saying that a record was certainly not written when only a repeated append of it was
/// rejected, and against the next batch being taken for a copy of it.
#[tokio::test]
async fn record_rejected_after_a_lost_response_is_of_unknown_outcome() {
    let log = LimitedLog { limit: 1_000, is_next_lost: Mutex::new(true), ..LimitedLog::default() };
    let log = Arc::new(log);
    let writer = start_writer(&log);
    let result = writer.write(record(0, 2_000), TIMEOUT).await;
    assert_eq!(result, Err(WriteError::Unknown));
    let applied = writer.write(record(1, 10), TIMEOUT).await.unwrap();
    assert!(applied.result.is_ok(), "{applied:?}");
    let entries = log.entries.lock().unwrap();
    let batch: Batch = cuminbarrow_ledger::codec::decode(&entries[0]).unwrap();
    assert_eq!(batch.sequence, 2, "the number of the batch before is used up");
}
