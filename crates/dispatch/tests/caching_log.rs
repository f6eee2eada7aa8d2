//! Batches that a process appended are served from its cache after the log dropped them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_dispatch::caching_log::CachingLog;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;

/// Oldest offset that the fake log retains.
const OLDEST: u64 = 40;

/// A log that has dropped all batches before [`OLDEST`]. The body of an append contains the offset at
/// which it is stored.
struct TruncatedLog;

#[async_trait]
impl LogStore for TruncatedLog {
    async fn append(&self, _stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        Ok(u64::from(body[0]))
    }

    async fn read(
        &self,
        _stream: LogStream,
        from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        if from < OLDEST {
            return Err(LogError::Expired { oldest: OLDEST });
        }
        Ok(LogPage { oldest: OLDEST, next: from, first: from, ..LogPage::default() })
    }
}

async fn log_with(offsets: &[&[u8]]) -> CachingLog {
    let log = CachingLog::new(Arc::new(TruncatedLog));
    for offsets in offsets {
        let bodies = offsets.iter().map(|offset| Bytes::copy_from_slice(&[*offset])).collect();
        log.append_all(LogStream::Records, bodies).await.unwrap();
    }
    log
}

#[tokio::test]
async fn cached_batches_are_read_up_to_the_first_of_another_process() {
    let log = log_with(&[&[36], &[37, 38], &[39]]).await;
    let page = log.read(LogStream::Records, 37, 10, 0).await.unwrap();
    assert_eq!(page.entries, [vec![37], vec![38], vec![39]]);
    let log = log_with(&[&[36], &[38]]).await;
    let page = log.read(LogStream::Records, 36, 10, 0).await.unwrap();
    assert_eq!(page.entries, [vec![36]]);
    let expired = log.read(LogStream::Records, 37, 10, 0).await;
    assert!(matches!(expired, Err(LogError::Expired { oldest: OLDEST })), "{expired:?}");
}

#[tokio::test]
async fn cached_batches_confirm_nothing_about_the_end_of_the_log() {
    let log = log_with(&[&[39]]).await;
    let page = log.read(LogStream::Records, 39, 10, 0).await.unwrap();
    assert!(page.end_offset() < page.next, "records after {} may exist", page.end_offset());
}

#[tokio::test]
async fn old_batches_are_evicted_for_new_ones() {
    let log = CachingLog::new(Arc::new(TruncatedLog));
    let body = |offset: u8| {
        let mut body = vec![0; 1024 * 1024];
        body[0] = offset;
        Bytes::from(body)
    };
    for offset in [36, 37, 38] {
        log.append(LogStream::Records, body(offset)).await.unwrap();
    }
    assert_eq!(log.page_from(36, OLDEST), None);
    assert_eq!(log.page_from(37, OLDEST).unwrap().entries.len(), 2);
}
