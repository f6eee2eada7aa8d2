//! Restoring what a log retains of each key after it has dropped its history.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_ledger::apply::BatchReport;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::codec;
use cuminbarrow_ledger::log_tail::BatchObserver;
use cuminbarrow_ledger::log_tail::LogTail;
use cuminbarrow_ledger::log_tail::TailError;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::snapshot::encode_chunks;
use cuminbarrow_ledger::state::State;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_resources::log_store::RetainedLog;
use smol_str::SmolStr;

/// Number of batches ever appended.
const END: u64 = 6;
/// Offset at which the snapshot was taken.
const SNAPSHOT_OFFSET: u64 = 3;
/// Limit of the time for restoring a few batches.
const RESTORE_LIMIT: Duration = Duration::from_secs(5);

/// A log without history.
struct ForgetfulLog(RetainedLog);

#[async_trait]
impl LogStore for ForgetfulLog {
    async fn append(&self, _: LogStream, _: Bytes) -> Result<u64, LogError> {
        Err(LogError::Unavailable { reason: "appends are not supported".to_owned() })
    }

    async fn read(
        &self,
        _: LogStream,
        from: u64,
        _: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        if from < END {
            return Err(LogError::Expired { oldest: END });
        }
        tokio::time::sleep(Duration::from_millis(u64::from(wait_ms))).await;
        Ok(LogPage { oldest: END, next: END, first: from, ..LogPage::default() })
    }

    async fn load_snapshot_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        Ok(self.0.snapshot_chunks.clone())
    }

    async fn load_retained(&self) -> Result<Option<RetainedLog>, LogError> {
        Ok(Some(self.0.clone()))
    }
}

struct NoObserver;

impl BatchObserver for NoObserver {
    fn batch_applied(&self, _: &State, _: u64, _: &Batch, _: &BatchReport) {}

    fn state_replaced(&self, _: &State) {}
}

/// Batch at an offset, each by another writer.
fn batch_at(offset: u64) -> Batch {
    let address = ([127, 0, 0, 1], 7_000).into();
    let record = Record::EntryJoined { instance: offset, region: SmolStr::new("r"), address };
    Batch { writer: offset + 1, sequence: 1, at_ms: 1, records: vec![record] }
}

/// State after the batches before `end`.
fn state_before(end: u64) -> State {
    let mut state = State::default();
    for offset in 0..end {
        state.apply(offset, &batch_at(offset));
    }
    state
}

/// A log that retains the batches at these offsets.
fn retained(offsets: &[u64], snapshot_chunks: Vec<Vec<u8>>) -> RetainedLog {
    let entry = |offset: &u64| (*offset, codec::encode(&batch_at(*offset)).unwrap());
    RetainedLog { entries: offsets.iter().map(entry).collect(), end: END, snapshot_chunks }
}

fn snapshot() -> Vec<Vec<u8>> {
    let chunks = encode_chunks(1, &state_before(SNAPSHOT_OFFSET)).unwrap();
    chunks.iter().map(|chunk| chunk.to_vec()).collect()
}

/// State that a new replica restores from the log.
async fn restore(retained: RetainedLog) -> Result<State, TailError> {
    let tail = LogTail::<State>::default();
    let mut offsets = tail.offsets();
    let run = tail.run(Arc::new(ForgetfulLog(retained)), Arc::new(NoObserver));
    let result = tokio::select! {
        error = run => Err(error),
        _ = offsets.wait_for(|offset| *offset >= END) => Ok(()),
        () = tokio::time::sleep(RESTORE_LIMIT) => panic!("nothing was restored"),
    };
    result.map(|()| tail.state().clone())
}

/// Guards against a replica that waits for a newer snapshot although the log retains every batch
/// after the latest one.
#[tokio::test]
async fn batches_after_the_snapshot_are_restored_without_history() {
    let state = restore(retained(&[1, 3, 4, 5], snapshot())).await.unwrap();
    assert_eq!(state, state_before(END));
}

/// Guards against batches that are lost because the log went before the first snapshot.
#[tokio::test]
async fn all_batches_are_restored_if_there_was_no_snapshot() {
    let state = restore(retained(&[0, 1, 2, 3, 4, 5], Vec::new())).await.unwrap();
    assert_eq!(state, state_before(END));
}

/// Guards against a state that lacks batches: without a snapshot, none may have been dropped.
#[tokio::test]
async fn dropped_batches_that_no_snapshot_covers_are_a_gap() {
    let error = restore(retained(&[3, 4, 5], Vec::new())).await.unwrap_err();
    assert!(matches!(error, TailError::Gap { needed: 0, oldest: END }), "{error}");
}

/// Guards against a state that lacks the batches which a snapshot covers that can't be read.
#[tokio::test]
async fn batches_after_an_unreadable_snapshot_are_a_gap() {
    let mut chunks = snapshot();
    let mut newer = encode_chunks(1, &state_before(SNAPSHOT_OFFSET + 1)).unwrap()[0].to_vec();
    *newer.last_mut().unwrap() ^= 1;
    chunks.push(newer);
    let error = restore(retained(&[4, 5], chunks)).await.unwrap_err();
    assert!(matches!(error, TailError::Gap { oldest: END, .. }), "{error}");
}
