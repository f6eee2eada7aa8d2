//! The log writer and the replica with a log that loses responses, is down or has dropped old
//! records.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod write_completer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_ledger::log_tail::LogTail;
use cuminbarrow_ledger::log_tail::TailError;
use cuminbarrow_ledger::log_writer::LogWriter;
use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::snapshot::write_snapshot;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_standin::log_service::LogFaults;
use cuminbarrow_standin::log_service::LogService;
use smol_str::SmolStr;

use crate::write_completer::WriteCompleter;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A log that counts the batches that were read.
struct CountingLog {
    log: Arc<LogService>,
    batches: AtomicUsize,
}

#[async_trait]
impl LogStore for CountingLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        self.log.append(stream, body).await
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        let page = self.log.read(stream, from, limit, wait_ms).await?;
        if stream == LogStream::Records {
            self.batches.fetch_add(page.entries.len(), Ordering::Relaxed);
        }
        Ok(page)
    }
}

struct Instance {
    writer: LogWriter,
    tail: Arc<LogTail>,
}

fn instance(log: &Arc<LogService>, incarnation: u64) -> Instance {
    let store: Arc<dyn LogStore> = log.clone();
    let writer = LogWriter::spawn(Arc::clone(&store), incarnation, || 1);
    let tail = Arc::new(LogTail::default());
    let (running, observer) = (Arc::clone(&tail), Arc::new(WriteCompleter(writer.clone())));
    tokio::spawn(async move { running.run(store, observer).await });
    Instance { writer, tail }
}

fn entry_joined(instance: u64) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(instance).unwrap()));
    Record::EntryJoined { instance, region: SmolStr::new("r"), address }
}

async fn run_replica(log: &Arc<LogService>) -> TailError {
    let store: Arc<dyn LogStore> = log.clone();
    let writer = LogWriter::spawn(Arc::clone(&store), 99, || 1);
    LogTail::default().run(store, Arc::new(WriteCompleter(writer))).await
}

#[tokio::test(start_paused = true)]
async fn lost_append_responses_cause_no_second_effect() {
    let log = Arc::new(LogService::default());
    let own = instance(&log, 1);
    log.set_faults(LogFaults { lose_answers: 3, ..LogFaults::default() });
    let epoch = Record::PlannerClaimed { epoch: 1, instance: 1 };
    let applied = own.writer.write(epoch, TIMEOUT).await.unwrap();
    assert!(applied.result.is_ok());
    own.writer.write(entry_joined(2), TIMEOUT).await.unwrap();
    // The batch and the next record, plus a duplicate for each response that was lost before the
    // replica had applied the batch.
    assert!((2..=5).contains(&log.appends()), "{} appends", log.appends());
    assert!(own.tail.state().entries.contains_key(&2));
    assert_eq!(own.tail.state().planner.epoch, 1);
}

#[tokio::test(start_paused = true)]
async fn outage_returns_not_written_and_nothing_is_written_later() {
    let log = Arc::new(LogService::default());
    let own = instance(&log, 1);
    log.set_faults(LogFaults { is_down: true, ..LogFaults::default() });
    let refused = own.writer.write(entry_joined(2), TIMEOUT).await;
    assert_eq!(refused.unwrap_err(), WriteError::NotWritten);
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    log.set_faults(LogFaults::default());
    own.writer.write(entry_joined(3), TIMEOUT).await.unwrap();
    let entries: Vec<u64> = own.tail.state().entries.keys().copied().collect();
    assert_eq!(entries, [3], "a refused record never takes effect");
}

/// Reports of agents during an hour without the log are queued at the entry and written once.
#[tokio::test(start_paused = true)]
async fn backlog_of_an_hour_goes_into_few_appends() {
    let log = Arc::new(LogService::default());
    let own = instance(&log, 1);
    let hour = Duration::from_secs(3_600);
    log.set_faults(LogFaults { is_down: true, ..LogFaults::default() });
    let records: Vec<Record> = (1..=2_000).map(entry_joined).collect();
    let writer = own.writer.clone();
    let waiting = tokio::spawn(async move { writer.write_all(records, 2 * hour).await });
    tokio::time::sleep(hour).await;
    let tries = log.refused_appends();
    assert!(tries <= 3_600 + 10, "{tries} attempts in an hour are more than one a second");
    log.set_faults(LogFaults::default());
    let recovered = tokio::time::Instant::now();
    let results = waiting.await.unwrap();
    assert!(results.iter().all(Result::is_ok));
    assert!(log.appends() <= 3, "{} appends for 2,000 records", log.appends());
    assert!(recovered.elapsed() <= Duration::from_secs(4), "{:?} to drain", recovered.elapsed());
    assert_eq!(own.tail.state().entries.len(), 2_000);
}

#[tokio::test(start_paused = true)]
async fn slow_log_gets_all_queued_records_in_each_append() {
    let log = Arc::new(LogService::default());
    let own = instance(&log, 1);
    log.set_faults(LogFaults { delay_ms: 2_000, ..LogFaults::default() });
    let mut writes = Vec::new();
    for index in 1..=600 {
        let writer = own.writer.clone();
        let write = async move { writer.write(entry_joined(index), TIMEOUT).await };
        writes.push(tokio::spawn(write));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for write in writes {
        write.await.unwrap().unwrap();
    }
    assert!(log.appends() <= 32, "{} appends in a minute of 2 s each", log.appends());
}

/// With a log that takes 40 ms to refuse an append, most deadlines pass while one is in flight.
#[tokio::test(start_paused = true)]
async fn refusal_in_flight_at_the_deadline_is_reported_as_not_written() {
    let log = Arc::new(LogService::default());
    let own = instance(&log, 1);
    log.set_faults(LogFaults { is_down: true, delay_ms: 40, ..LogFaults::default() });
    for wait_ms in 1..=200 {
        let refused = own.writer.write(entry_joined(2), Duration::from_millis(wait_ms)).await;
        assert_eq!(refused.unwrap_err(), WriteError::NotWritten, "after {wait_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn queued_records_go_into_few_appends() {
    let log = Arc::new(LogService::default());
    let own = instance(&log, 1);
    log.set_faults(LogFaults { delay_ms: 100, ..LogFaults::default() });
    let records = (1..=1_000).map(entry_joined).collect();
    let results = own.writer.write_all(records, TIMEOUT).await;
    assert!(results.iter().all(Result::is_ok));
    assert!(log.appends() <= 3, "{} appends for 1,000 records", log.appends());
}

#[tokio::test(start_paused = true)]
async fn replica_behind_the_oldest_record_restores_from_a_snapshot() {
    let log = Arc::new(LogService::default());
    let own = instance(&log, 1);
    for index in 1..=20 {
        own.writer.write(entry_joined(index), TIMEOUT).await.unwrap();
    }
    let state = own.tail.state().clone();
    write_snapshot(&*log, 1, &state).await.unwrap();
    log.append(LogStream::Snapshots, Bytes::from_static(b"\x01broken")).await.unwrap();
    own.writer.write(entry_joined(21), TIMEOUT).await.unwrap();
    log.set_faults(LogFaults { retained_entries: 2, ..LogFaults::default() });
    let restored = instance(&log, 2);
    let mut offsets = restored.tail.offsets();
    offsets.wait_for(|offset| *offset == 21).await.unwrap();
    let digest = own.tail.state().digest().unwrap();
    assert_eq!(restored.tail.state().digest().unwrap(), digest);
}

/// Load pattern: all processes start at once after a power cut, and each reads what the log retains.
#[tokio::test(start_paused = true)]
async fn replica_that_starts_reads_only_the_history_after_the_snapshot() {
    let log = Arc::new(LogService::default());
    let own = instance(&log, 1);
    for index in 1..=2_000 {
        own.writer.write(entry_joined(index), TIMEOUT).await.unwrap();
    }
    let state = own.tail.state().clone();
    write_snapshot(&*log, 1, &state).await.unwrap();
    for index in 2_001..=2_100 {
        own.writer.write(entry_joined(index), TIMEOUT).await.unwrap();
    }
    let counting = Arc::new(CountingLog { log: Arc::clone(&log), batches: AtomicUsize::new(0) });
    let tail = Arc::new(LogTail::default());
    let mut offsets = tail.offsets();
    let (running, store) = (Arc::clone(&tail), Arc::clone(&counting) as Arc<dyn LogStore>);
    let observer = Arc::new(WriteCompleter(own.writer.clone()));
    tokio::spawn(async move { running.run(store, observer).await });
    offsets.wait_for(|offset| *offset == 2_100).await.unwrap();
    assert_eq!(counting.batches.load(Ordering::Relaxed), 100);
    let digest = own.tail.state().digest().unwrap();
    assert_eq!(tail.state().digest().unwrap(), digest);
}

#[tokio::test(start_paused = true)]
async fn replica_behind_the_oldest_record_without_a_snapshot_reports_a_gap() {
    let log = Arc::new(LogService::default());
    let own = instance(&log, 1);
    for index in 1..=5 {
        own.writer.write(entry_joined(index), TIMEOUT).await.unwrap();
    }
    log.set_faults(LogFaults { retained_entries: 2, ..LogFaults::default() });
    let error = run_replica(&log).await;
    assert!(matches!(error, TailError::Gap { needed: 0, oldest: 3 }), "{error}");
}

#[tokio::test(start_paused = true)]
async fn record_of_a_newer_format_stops_a_replica() {
    let log = Arc::new(LogService::default());
    log.append(LogStream::Records, Bytes::from_static(b"\x02newer")).await.unwrap();
    let error = run_replica(&log).await;
    assert_eq!(
        error.to_string(),
        "the record at offset 0 can't be read: the record has format version 2, this program \
         reads up to 1"
    );
}
