//! What reads confirm about the end of the log, and what processes that read through this one learn of
//! it.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_dispatch::clock::BootClock;
use cuminbarrow_dispatch::confirmed_log::ConfirmedLog;
use cuminbarrow_dispatch::confirmed_log::ConfirmedRead;
use cuminbarrow_dispatch::direct_path::DirectPath;
use cuminbarrow_dispatch::peer_list::PeerList;
use cuminbarrow_dispatch::peer_list::ProcessLocation;
use cuminbarrow_dispatch::replica::Replica;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_taskgraph::record::ProcessRole;
use tokio::sync::watch;

/// Time between request and answer, in ms.
const ANSWER_DELAY_MS: u64 = 700;

struct ManualClock(AtomicU64);

impl ManualClock {
    fn advance(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::Relaxed);
    }
}

impl BootClock for ManualClock {
    fn now_ms(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A log that answers reads with the given pages, and does not answer after the last one.
struct PagedLog {
    clock: Arc<ManualClock>,
    pages: Mutex<VecDeque<LogPage>>,
}

#[async_trait]
impl LogStore for PagedLog {
    async fn append(&self, _stream: LogStream, _body: Bytes) -> Result<u64, LogError> {
        std::future::pending().await
    }

    async fn read(
        &self,
        stream: LogStream,
        _from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        if stream == LogStream::Snapshots {
            return Ok(LogPage::default());
        }
        let page = self.pages.lock().unwrap().pop_front();
        let Some(page) = page else { return std::future::pending().await };
        self.clock.advance(ANSWER_DELAY_MS);
        Ok(page)
    }
}

fn paged_log(pages: impl IntoIterator<Item = LogPage>) -> (Arc<PagedLog>, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock(AtomicU64::new(50_000)));
    let pages = Mutex::new(pages.into_iter().collect());
    (Arc::new(PagedLog { clock: Arc::clone(&clock), pages }), clock)
}

/// A page of `batches` batches from offset `first` on, of a log that ends at `next`.
fn page(first: u64, batches: usize, next: u64) -> LogPage {
    LogPage { next, first, entries: vec![b"batch".to_vec(); batches], ..LogPage::default() }
}

/// Reads pages one after the other. Returns the latest confirmed read after each.
async fn read_all(pages: &[LogPage]) -> (ConfirmedLog, Arc<ManualClock>, Vec<ConfirmedRead>) {
    let (log, clock) = paged_log(pages.iter().cloned());
    let log = ConfirmedLog::new(log, Arc::clone(&clock) as Arc<dyn BootClock>);
    let mut confirmed = Vec::new();
    for page in pages {
        log.read(LogStream::Records, page.first, 10, 0).await.unwrap();
        confirmed.extend(log.latest());
    }
    (log, clock, confirmed)
}

fn confirmed(at_ms: u64, end: u64) -> ConfirmedRead {
    ConfirmedRead { at_ms, end }
}

/// A read must confirm the time of its request: the log may have grown before the answer arrived.
#[tokio::test]
async fn a_read_confirms_the_time_of_its_request() {
    let (_, _, reads) = read_all(&[page(0, 2, 2), page(2, 0, 2)]).await;
    assert_eq!(reads, [confirmed(50_000, 2), confirmed(50_000 + ANSWER_DELAY_MS, 2)]);
}

/// The age that an entry reports must be subtracted from the confirmed time, and a reported wait must
/// not move that time beyond the answer.
#[tokio::test]
async fn a_read_through_an_entry_confirms_no_later_time_than_the_entrys_own_read() {
    let waited = LogPage { waited_ms: 600, age_ms: 450, ..page(0, 0, 0) };
    let (_, _, reads) = read_all(&[waited]).await;
    assert_eq!(reads, [confirmed(50_150, 0)]);
    let endless = LogPage { waited_ms: 60_000, ..page(0, 0, 0) };
    let (_, _, reads) = read_all(&[endless]).await;
    assert_eq!(reads, [confirmed(50_000 + ANSWER_DELAY_MS, 0)]);
}

/// A lease must not be based on a page that ends before the log does, such as a truncated page or
/// batches from the own cache.
#[tokio::test]
async fn a_page_that_ends_before_the_log_confirms_nothing() {
    let (log, clock, reads) = read_all(&[page(0, 1, 1), page(1, 3, 5)]).await;
    assert_eq!(reads, [confirmed(50_000, 1); 2]);
    // Processes that read through this one get the batches with the age of the last read that reached
    // the end.
    clock.advance(100);
    let served = log.recent_page(0).unwrap();
    assert_eq!((served.next, served.entries.len()), (4, 4));
    assert_eq!(served.age_ms, 2 * ANSWER_DELAY_MS + 100);
}

/// After a gap in the pages read, the end reported to readers must not lie before the confirmed one.
#[tokio::test]
async fn after_a_gap_the_recent_batches_end_at_the_confirmed_end() {
    let (log, _, reads) = read_all(&[page(0, 2, 2), page(7, 1, 8)]).await;
    assert_eq!(reads.last(), Some(&confirmed(50_000 + ANSWER_DELAY_MS, 8)));
    assert_eq!(log.recent_page(7).unwrap().next, 8);
    assert_eq!(log.recent_page(2), None, "batches 2 to 6 are not cached");
    assert!(log.is_before_recent(2));
}

/// First byte of a record of a later version.
const LATER_VERSION: u8 = 15;

async fn wait_read(reads: &mut watch::Receiver<Option<ConfirmedRead>>, end: u64) {
    let read = reads.wait_for(|read| read.is_some_and(|read| read.end == end));
    tokio::time::timeout(Duration::from_secs(5), read).await.unwrap().unwrap();
}

/// A lease must not be based on a read whose batches are not applied yet, because one of them may
/// suspect the worker.
#[tokio::test]
async fn a_read_counts_for_leases_only_once_its_batches_are_applied() {
    // The record on the second page is from a later version and can't be applied, so the replica's
    // offset does not advance.
    let later = LogPage { entries: vec![vec![LATER_VERSION]], ..page(0, 1, 1) };
    let (log, clock) = paged_log([page(0, 0, 0), later]);
    let direct = Arc::new(DirectPath::new(log));
    let dialer = LinkDialer::new(SharedKey::new("key"), Arc::default());
    let location = ProcessLocation {
        role: ProcessRole::Entry,
        instance: "entry".into(),
        region: "region".into(),
        data_centre: "dc".into(),
    };
    let peers = Arc::new(PeerList::default());
    let replica = Replica::new(direct, clock, location, peers, &dialer);
    let mut reads = replica.log.confirmed();
    assert_eq!(replica.confirmed_ms(), None);
    tokio::spawn(Arc::clone(&replica).run());
    wait_read(&mut reads, 0).await;
    assert_eq!(replica.confirmed_ms(), Some(50_000));
    wait_read(&mut reads, 1).await;
    assert_eq!(replica.state().offset, 0);
    assert_eq!(replica.confirmed_ms(), None, "the batch at offset 0 is not applied");
}
