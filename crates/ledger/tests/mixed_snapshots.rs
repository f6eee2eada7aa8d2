//! Snapshots that were written one over the other, or read while one was written.

#![allow(clippy::unwrap_used, reason = "a test may fail where it stands")]

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

/// Bytes that each record adds to a snapshot.
const RECORD_BYTES: usize = 100 * 1024;

/// A log that keeps these chunks.
struct KeptChunks(Vec<Bytes>);

#[async_trait]
impl LogStore for KeptChunks {
    async fn append(&self, _stream: LogStream, _body: Bytes) -> Result<u64, LogError> {
        Err(LogError::Unavailable { reason: "no records are taken".to_owned() })
    }

    async fn read(
        &self,
        _stream: LogStream,
        _from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        Err(LogError::Unavailable { reason: "no records are told".to_owned() })
    }

    async fn load_snapshot_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        Ok(self.0.iter().map(|chunk| chunk.to_vec()).collect())
    }
}

/// A state after so many large records.
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
    read_latest(&KeptChunks(chunks)).await.unwrap()
}

/// Guards against a state put together from two snapshots.
#[tokio::test]
async fn chunks_of_two_snapshots_make_no_state() {
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

/// Guards against what is left of a longer snapshot beyond the end of the next.
#[tokio::test]
async fn a_shorter_snapshot_over_a_longer_one_is_whole() {
    let longer = encode_chunks(1, &state_of(7)).unwrap();
    let state = state_of(3);
    let shorter = encode_chunks(2, &state).unwrap();
    assert!(shorter.len() < longer.len());
    let kept = [&shorter[..], &longer[shorter.len()..]].concat();
    assert_eq!(latest(kept).await.unwrap(), state);
}
