//! Snapshots that were written over one another, or read while one was being written.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::snapshot::encode_chunks;
use cuminbarrow_ledger::snapshot::read_latest;
use cuminbarrow_ledger::state::State;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use smol_str::SmolStr;

/// Number of bytes that each record adds to a snapshot.
const RECORD_BYTES: usize = 100 * 1024;

/// A log whose snapshot stream has these chunks.
struct FixedChunks(Vec<Bytes>);

#[async_trait]
impl LogStore for FixedChunks {
    async fn append(&self, _stream: LogStream, _body: Bytes) -> Result<u64, LogError> {
        Err(LogError::Unavailable { reason: "appends are not supported".to_owned() })
    }

    async fn read(
        &self,
        _stream: LogStream,
        _from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        Err(LogError::Unavailable { reason: "reads are not supported".to_owned() })
    }

    async fn load_snapshot_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        Ok(self.0.iter().map(|chunk| chunk.to_vec()).collect())
    }
}

/// The state after the given number of large records.
fn state_of(records: u64) -> State {
    let mut state = State::default();
    for (offset, port) in (0..records).zip(7_000..) {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let region = SmolStr::new("r".repeat(RECORD_BYTES));
        let records = vec![Record::EntryJoined { instance: offset, region, address }];
        state.apply(offset, &Batch { writer: 1, sequence: offset + 1, at_ms: 1, records });
    }
    state
}

async fn latest(chunks: Vec<Bytes>) -> Option<State> {
    read_latest(&FixedChunks(chunks)).await.unwrap()
}

/// Guards against a state that is assembled from the chunks of two snapshots.
#[tokio::test]
async fn chunks_of_two_snapshots_restore_no_state() {
    let older = encode_chunks(1, &state_of(5)).unwrap();
    for newer in [encode_chunks(1, &state_of(6)).unwrap(), encode_chunks(2, &state_of(5)).unwrap()]
    {
        assert!(older.len() > 2 && newer.len() > 2);
        for read in 1..older.len() {
            let mixed = [&older[..read], &newer[read..]].concat();
            assert!(latest(mixed).await.is_none(), "{read} chunks of the older one");
            let mixed = [&newer[..read], &older[read..]].concat();
            assert!(latest(mixed).await.is_none(), "{read} chunks of the newer one");
        }
    }
}

/// Guards against the chunks that a longer snapshot leaves behind the end of the next one.
#[tokio::test]
async fn shorter_snapshot_over_a_longer_one_is_restored() {
    let longer = encode_chunks(1, &state_of(7)).unwrap();
    let state = state_of(3);
    let shorter = encode_chunks(2, &state).unwrap();
    assert!(shorter.len() < longer.len());
    let stored = [&shorter[..], &longer[shorter.len()..]].concat();
    assert_eq!(latest(stored).await.unwrap(), state);
}
