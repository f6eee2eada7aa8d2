//! An entry never reports a later confirmed time to its readers than that of its own read.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_dispatch::caching_log::CachingLog;
use cuminbarrow_dispatch::clock::BootClock;
use cuminbarrow_dispatch::clock::SystemClock;
use cuminbarrow_dispatch::direct_path::DirectPath;
use cuminbarrow_dispatch::membership::Membership;
use cuminbarrow_dispatch::membership::MembershipError;
use cuminbarrow_dispatch::peer_list::PeerList;
use cuminbarrow_dispatch::peer_list::ProcessLocation;
use cuminbarrow_dispatch::relay_server::RelayServer;
use cuminbarrow_dispatch::replica::Replica;
use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::relay_message::RelayRequest;
use cuminbarrow_protocol::relay_message::RelayResponse;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_taskgraph::record::ProcessRole;
use tokio::net::TcpListener;

/// Time for which the entry stalls, in ms.
const STALL_MS: u64 = 300;
/// Wait that the reader requests, in ms.
const WAIT_MS: u32 = 100;
/// Time after which a batch is appended for which the reader waits, in ms.
const BATCH_DELAY_MS: u64 = 400;
/// Part of that time that the answer may leave out, in ms.
const MAX_UNCOUNTED_WAIT_MS: u64 = 200;

/// A log that answers the first read at once, the second with `batch` if there is one, and no more.
#[derive(Default)]
struct UnresponsiveLog {
    reads: AtomicU64,
    batch: Option<Vec<u8>>,
}

#[async_trait]
impl LogStore for UnresponsiveLog {
    async fn append(&self, _stream: LogStream, _body: Bytes) -> Result<u64, LogError> {
        std::future::pending().await
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        if stream == LogStream::Snapshots {
            return Ok(LogPage::default());
        }
        match (self.reads.fetch_add(1, Ordering::Relaxed), &self.batch) {
            (0, _) => Ok(LogPage { next: from, first: from, ..LogPage::default() }),
            (1, Some(batch)) => {
                tokio::time::sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
                let entries = vec![batch.clone()];
                Ok(LogPage { next: from + 1, first: from, entries, ..LogPage::default() })
            }
            _ => std::future::pending().await,
        }
    }
}

struct NoMembers;

#[async_trait]
impl Membership for NoMembers {
    async fn join(&self, _incarnation: u64) -> Result<(), MembershipError> {
        Ok(())
    }

    async fn members(&self) -> Result<BTreeSet<u64>, MembershipError> {
        Ok(BTreeSet::new())
    }
}

/// The clock of a process that stalls for `stall_ms` after each reading.
#[derive(Default)]
struct StallingClock {
    stall_ms: AtomicU64,
}

impl BootClock for StallingClock {
    fn now_ms(&self) -> u64 {
        let now_ms = SystemClock.now_ms();
        std::thread::sleep(Duration::from_millis(self.stall_ms.load(Ordering::Relaxed)));
        now_ms
    }
}

struct RelayingEntry {
    address: SocketAddr,
    replica: Arc<Replica>,
    clock: Arc<StallingClock>,
    dialer: LinkDialer,
}

/// Starts an entry and waits until it has read the log once.
async fn start_entry(log: UnresponsiveLog) -> RelayingEntry {
    let key = SharedKey::new("key");
    let dialer = LinkDialer::new(key.clone(), Arc::default());
    let caching_log = Arc::new(CachingLog::new(Arc::new(log)));
    let direct = Arc::new(DirectPath::new(Arc::clone(&caching_log) as Arc<dyn LogStore>));
    let peers = Arc::new(PeerList::default());
    let clock = Arc::new(StallingClock::default());
    let location = ProcessLocation {
        role: ProcessRole::Entry,
        instance: "entry".into(),
        region: "region".into(),
        data_centre: "dc".into(),
    };
    let replica = Replica::new(
        Arc::clone(&direct),
        Arc::clone(&clock) as Arc<dyn BootClock>,
        location,
        Arc::clone(&peers),
        &dialer,
    );
    let mut confirmed = replica.log.confirmed();
    tokio::spawn(Arc::clone(&replica).run());
    confirmed.wait_for(Option::is_some).await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let membership = Arc::new(NoMembers);
    let server =
        RelayServer { replica: Arc::clone(&replica), peers, direct, caching_log, membership };
    tokio::spawn(server.run(listener, key, Arc::default()));
    RelayingEntry { address, replica, clock, dialer }
}

/// A lease must not be based on a moment after the entry's own read. An entry that stalled between
/// taking the age of its read and measuring its wait reported a wait that the age did not cover.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stalls_before_its_answer_confirms_no_later_time() {
    let entry = start_entry(UnresponsiveLog::default()).await;
    let read_ms = entry.replica.log.latest().unwrap().at_ms;
    let mut link: Link<RelayRequest, RelayResponse> =
        entry.dialer.open(entry.address, LinkKind::Relay).await.unwrap();
    entry.clock.stall_ms.store(STALL_MS, Ordering::Relaxed);
    let requested_ms = SystemClock.now_ms();
    let request = RelayRequest::Read { from: 0, wait_ms: WAIT_MS, is_from_entry: false };
    link.sender.send(&request).await.unwrap();
    let response = link.receiver.receive().await.unwrap();
    let RelayResponse::Records { next: 0, waited_ms, age_ms, .. } = response else {
        panic!("{response:?}");
    };
    let confirmed_ms = requested_ms + waited_ms - age_ms;
    assert!(
        confirmed_ms <= read_ms,
        "the answer confirms {} ms after the entry's own read",
        confirmed_ms - read_ms
    );
}

/// A lease that rests on a read through an entry must not be shortened by the time that the entry
/// waited for a batch. The answer with the batch left this time out.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_batch_counts_the_wait_for_it() {
    let batch = b"a foreign record".to_vec();
    let entry = start_entry(UnresponsiveLog { batch: Some(batch), ..Default::default() }).await;
    let mut link: Link<RelayRequest, RelayResponse> =
        entry.dialer.open(entry.address, LinkKind::Relay).await.unwrap();
    let requested_ms = SystemClock.now_ms();
    let wait_ms = 2 * u32::try_from(BATCH_DELAY_MS).unwrap();
    let request = RelayRequest::Read { from: 0, wait_ms, is_from_entry: false };
    link.sender.send(&request).await.unwrap();
    let response = link.receiver.receive().await.unwrap();
    let RelayResponse::Records { next: 1, waited_ms, age_ms, .. } = response else {
        panic!("{response:?}");
    };
    let read_ms = entry.replica.log.latest().unwrap().at_ms;
    let confirmed_ms = requested_ms + waited_ms - age_ms;
    assert!(
        (read_ms.saturating_sub(MAX_UNCOUNTED_WAIT_MS)..=read_ms).contains(&confirmed_ms),
        "the answer confirms {confirmed_ms} ms, the entry's own read {read_ms} ms"
    );
}
