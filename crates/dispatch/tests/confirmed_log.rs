//! What reads confirm about the end of the log, and what those that read through are told of it.

#![allow(clippy::unwrap_used, reason = "a test may fail where it stands")]

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
const ANSWERED_MS: u64 = 700;

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

/// A log that answers reads with pages laid down before, and is silent after the last.
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
        _stream: LogStream,
        _from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        let page = self.pages.lock().unwrap().pop_front();
        let Some(page) = page else { return std::future::pending().await };
        self.clock.advance(ANSWERED_MS);
        Ok(page)
    }
}

fn paged_log(pages: impl IntoIterator<Item = LogPage>) -> (Arc<PagedLog>, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock(AtomicU64::new(50_000)));
    let pages = Mutex::new(pages.into_iter().collect());
    (Arc::new(PagedLog { clock: Arc::clone(&clock), pages }), clock)
}

/// A page of batches from an offset on, of a log that ends at `next`.
fn page(first: u64, batches: usize, next: u64) -> LogPage {
    LogPage { next, first, entries: vec![b"batch".to_vec(); batches], ..LogPage::default() }
}

/// Reads pages one after the other. Gives what is confirmed after each.
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

/// Guards against a read that confirms the time of its answer.
#[tokio::test]
async fn a_read_confirms_its_request_however_late_the_answer_is() {
    let (_, _, reads) = read_all(&[page(0, 2, 2), page(2, 0, 2)]).await;
    assert_eq!(reads, [confirmed(50_000, 2), confirmed(50_000 + ANSWERED_MS, 2)]);
}

/// Guards against an age left out of what was read through an entry, and against a wait that reaches
/// beyond the answer.
#[tokio::test]
async fn a_read_through_an_entry_is_as_old_as_the_entrys_own() {
    let waited = LogPage { waited_ms: 600, age_ms: 450, ..page(0, 0, 0) };
    let (_, _, reads) = read_all(&[waited]).await;
    assert_eq!(reads, [confirmed(50_150, 0)]);
    let endless = LogPage { waited_ms: 60_000, ..page(0, 0, 0) };
    let (_, _, reads) = read_all(&[endless]).await;
    assert_eq!(reads, [confirmed(50_000 + ANSWERED_MS, 0)]);
}

/// Guards against a lease that rests on a page which ends before the log does: one that was cut, or
/// own batches that nobody read yet.
#[tokio::test]
async fn a_page_that_ends_before_the_log_confirms_nothing() {
    let (log, clock, reads) = read_all(&[page(0, 1, 1), page(1, 3, 5)]).await;
    assert_eq!(reads, [confirmed(50_000, 1); 2]);
    // Who reads through gets the batches with the age of the last read that reached the end.
    clock.advance(100);
    let told = log.recent_page(0).unwrap();
    assert_eq!((told.next, told.entries.len()), (4, 4));
    assert_eq!(told.age_ms, 2 * ANSWERED_MS + 100);
}

/// Guards against an end told to readers that lies before the one that was confirmed.
#[tokio::test]
async fn an_entry_that_began_anew_further_on_tells_no_end_before_its_confirmed_one() {
    let (log, _, reads) = read_all(&[page(0, 2, 2), page(7, 1, 8)]).await;
    assert_eq!(reads.last(), Some(&confirmed(50_000 + ANSWERED_MS, 8)));
    assert_eq!(log.recent_page(7).unwrap().next, 8);
    assert_eq!(log.recent_page(2), None, "batches 2 to 6 are not there");
    assert!(log.is_before_recent(2));
}

/// First byte of a record of a later program.
const LATER_VERSION: u8 = 15;

async fn wait_read(reads: &mut watch::Receiver<Option<ConfirmedRead>>, end: u64) {
    let read = reads.wait_for(|read| read.is_some_and(|read| read.end == end));
    tokio::time::timeout(Duration::from_secs(5), read).await.unwrap().unwrap();
}

/// Guards against a lease that rests on a read whose batches were not applied yet; one of them may be
/// a suspicion.
#[tokio::test]
async fn a_read_counts_for_leases_only_once_its_batches_are_applied() {
    // The second page can't be applied, as its record is a later program's: the replica stays at its
    // offset.
    let later = LogPage { entries: vec![vec![LATER_VERSION]], ..page(0, 1, 1) };
    let (log, clock) = paged_log([page(0, 0, 0), later]);
    let direct = Arc::new(DirectPath::new(log));
    let dialer = LinkDialer::new(SharedKey::new("key"), Arc::default());
    let place = ProcessLocation {
        role: ProcessRole::Entry,
        instance: "entry".into(),
        region: "region".into(),
        data_centre: "dc".into(),
    };
    let peers = Arc::new(PeerList::default());
    let replica = Replica::new(direct, clock, place, peers, &dialer);
    let mut reads = replica.log.confirmed();
    assert_eq!(replica.confirmed_ms(), None);
    tokio::spawn(Arc::clone(&replica).run());
    wait_read(&mut reads, 0).await;
    assert_eq!(replica.confirmed_ms(), Some(50_000));
    wait_read(&mut reads, 1).await;
    assert_eq!(replica.state().offset, 0);
    assert_eq!(replica.confirmed_ms(), None, "the batch at offset 0 is not applied");
}
