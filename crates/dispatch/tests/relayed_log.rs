//! Calls that are relayed through an entry do not block each other, and their answers are not mixed up.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_dispatch::direct_path::DirectPath;
use cuminbarrow_dispatch::peer_list::PeerChoice;
use cuminbarrow_dispatch::peer_list::PeerList;
use cuminbarrow_dispatch::relayed_log::RelayedLog;
use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::accept_links;
use cuminbarrow_protocol::relay_message::RelayRequest;
use cuminbarrow_protocol::relay_message::RelayResponse;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_taskgraph::record::ProcessRole;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;

/// Timeout of a call; one that does not wait for an unresponsive peer takes a few ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A log that accepts records but no snapshots, and whose first reads fail without a complete answer,
/// as when the log store drops the connection.
#[derive(Default)]
struct FakeLog {
    broken_reads: AtomicU64,
    /// Reads fail until then.
    down_until: Option<Instant>,
}

#[async_trait]
impl LogStore for FakeLog {
    async fn append(&self, stream: LogStream, _body: Bytes) -> Result<u64, LogError> {
        if stream == LogStream::Snapshots {
            return Err(LogError::Unavailable { reason: "snapshots are not accepted".to_owned() });
        }
        Ok(7)
    }

    async fn read(
        &self,
        _stream: LogStream,
        from: u64,
        _limit: u32,
        _wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        let broken = self.broken_reads.load(Ordering::Relaxed);
        if self.down_until.is_some_and(|until| Instant::now() < until) {
            return Err(LogError::Uncertain { reason: "the log is down".to_owned() });
        }
        if broken > 0 {
            self.broken_reads.store(broken - 1, Ordering::Relaxed);
            return Err(LogError::Uncertain { reason: "the answer broke off".to_owned() });
        }
        let entries = vec![b"batch".to_vec()];
        Ok(LogPage { next: from + 1, first: from, entries, ..LogPage::default() })
    }
}

/// Starts an entry that answers appends and nothing else, and returns the requests that it receives.
async fn start_peer(key: SharedKey) -> (SocketAddr, mpsc::UnboundedReceiver<RelayRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (request_sender, requests) = mpsc::unbounded_channel();
    tokio::spawn(accept_links(listener, key, Arc::default(), move |incoming| {
        let request_sender = request_sender.clone();
        tokio::spawn(async move {
            let mut link: Link<RelayResponse, RelayRequest> = incoming.into_link();
            while let Ok(request) = link.receiver.receive().await {
                let is_append = matches!(request, RelayRequest::Append { .. });
                request_sender.send(request).unwrap();
                if is_append {
                    link.sender.send(&RelayResponse::Appended { offset: 9 }).await.unwrap();
                }
            }
        });
    }));
    (address, requests)
}

/// Appends while a snapshot waits for the unresponsive entry. Returns the append's offset.
async fn append_beside_snapshot(appenders: fn(SocketAddr) -> Vec<SocketAddr>) -> u64 {
    let key = SharedKey::new("key");
    let (peer, mut requests) = start_peer(key.clone()).await;
    let peers = Arc::new(PeerList::default());
    let choice =
        PeerChoice { appenders: appenders(peer), fallbacks: vec![peer], ..PeerChoice::default() };
    peers.set(choice);
    let direct = Arc::new(DirectPath::new(Arc::new(FakeLog::default())));
    let dialer = LinkDialer::new(key, Arc::default());
    let log = Arc::new(RelayedLog::new(direct, peers, &dialer, ProcessRole::Entry));
    let saver = Arc::clone(&log);
    tokio::spawn(async move { saver.save_snapshot(7, vec![Bytes::from_static(b"chunk")]).await });
    let request = requests.recv().await.unwrap();
    assert!(matches!(request, RelayRequest::SaveSnapshot { .. }), "{request:?}");
    let append = log.append(LogStream::Records, Bytes::from_static(b"batch"));
    timeout(CALL_TIMEOUT, append).await.expect("the append waits for the snapshot").unwrap()
}

#[tokio::test]
async fn a_direct_append_does_not_wait_for_a_relayed_snapshot() {
    assert_eq!(append_beside_snapshot(|_| Vec::new()).await, 7);
}

#[tokio::test]
async fn a_relayed_append_does_not_wait_for_a_relayed_snapshot() {
    assert_eq!(append_beside_snapshot(|peer| vec![peer]).await, 9);
}

#[tokio::test]
async fn a_read_returns_to_the_log_while_an_entry_does_not_answer() {
    let key = SharedKey::new("key");
    let (peer, _requests) = start_peer(key.clone()).await;
    let peers = Arc::new(PeerList::default());
    peers.set(PeerChoice { fallbacks: vec![peer], ..PeerChoice::default() });
    let log = FakeLog { broken_reads: AtomicU64::new(1), ..FakeLog::default() };
    let direct = Arc::new(DirectPath::new(Arc::new(log)));
    let dialer = LinkDialer::new(key, Arc::default());
    let log = RelayedLog::new(direct, peers, &dialer, ProcessRole::Entry);
    let read = log.read(LogStream::Records, 3, 10, 1_000);
    let page = timeout(CALL_TIMEOUT, read).await.expect("the read waits for the entry").unwrap();
    assert_eq!((page.first, page.entries.len()), (3, 1));
}

/// Delay of the late entry's answers.
const ANSWER_DELAY: Duration = Duration::from_millis(200);
/// Timeout of the caller that abandons its read before the answer arrives.
const CALLER_TIMEOUT: Duration = Duration::from_millis(50);

/// Starts an entry that answers each read after `delay`. `answer` gets the number of reads before it and
/// the offset that it asks for.
async fn start_reading_peer<A>(key: SharedKey, delay: Duration, answer: A) -> SocketAddr
where
    A: Fn(u64, u64) -> RelayResponse + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (answer, reads) = (Arc::new(answer), Arc::new(AtomicU64::new(0)));
    tokio::spawn(accept_links(listener, key, Arc::default(), move |incoming| {
        let (answer, reads) = (Arc::clone(&answer), Arc::clone(&reads));
        tokio::spawn(async move {
            let mut link: Link<RelayResponse, RelayRequest> = incoming.into_link();
            while let Ok(RelayRequest::Read { from, .. }) = link.receiver.receive().await {
                tokio::time::sleep(delay).await;
                let response = answer(reads.fetch_add(1, Ordering::Relaxed), from);
                // A caller that abandoned its call has closed the link.
                if link.sender.send(&response).await.is_err() {
                    return;
                }
            }
        });
    }));
    address
}

/// Answer without batches. Its end of the log identifies the request.
fn empty_page(from: u64) -> RelayResponse {
    let (oldest, next, entries) = (0, from + 100, Vec::new());
    RelayResponse::Records { oldest, next, entries, waited_ms: 0, age_ms: 0 }
}

fn refusal() -> RelayResponse {
    RelayResponse::Refused { reason: "behind".to_owned() }
}

/// Starts an entry that answers each read late.
async fn start_late_peer(key: SharedKey) -> SocketAddr {
    start_reading_peer(key, ANSWER_DELAY, |_, from| empty_page(from)).await
}

/// An answer must not be taken for that of a later request, whose time it would then confirm.
#[tokio::test]
async fn an_answer_to_an_abandoned_read_is_not_returned_by_the_next_read() {
    let key = SharedKey::new("key");
    let peer = start_late_peer(key.clone()).await;
    let peers = Arc::new(PeerList::default());
    peers.set(PeerChoice { readers: vec![peer], ..PeerChoice::default() });
    let direct = Arc::new(DirectPath::new(Arc::new(FakeLog::default())));
    let dialer = LinkDialer::new(key, Arc::default());
    let log = RelayedLog::new(direct, peers, &dialer, ProcessRole::Agent);
    // The first read opens the link, so that the second is in flight when its caller abandons it.
    assert_eq!(log.read(LogStream::Records, 1, 10, 0).await.unwrap().next, 101);
    timeout(CALLER_TIMEOUT, log.read(LogStream::Records, 2, 10, 0)).await.unwrap_err();
    let page = log.read(LogStream::Records, 3, 10, 0).await.unwrap();
    assert_eq!((page.first, page.next), (3, 103));
}

/// Time that an entry which is behind takes to refuse a read.
const REFUSAL_DELAY: Duration = Duration::from_millis(100);
/// Number of entries of a large deployment.
const ENTRY_COUNT: usize = 40;

/// Starts an entry that refuses its first reads because it is behind, and then serves.
async fn start_recovering_peer(key: SharedKey, refusals: u64) -> SocketAddr {
    let answer = move |read, from| if read < refusals { refusal() } else { empty_page(from) };
    start_reading_peer(key, Duration::ZERO, answer).await
}

/// Starts entries that are behind and refuse all reads.
async fn start_refusing_peers(key: &SharedKey) -> Vec<SocketAddr> {
    let mut peers = Vec::new();
    for _ in 0..ENTRY_COUNT {
        peers.push(start_reading_peer(key.clone(), REFUSAL_DELAY, |_, _| refusal()).await);
    }
    peers
}

/// Load pattern: the log is back after an outage in which all entries of a large deployment fell
/// behind. A process whose own path works must not first ask all of them.
#[tokio::test]
async fn log_that_is_back_is_read_within_a_second_beside_many_entries_that_are_behind() {
    let key = SharedKey::new("key");
    let peers = Arc::new(PeerList::default());
    peers.set(PeerChoice { fallbacks: start_refusing_peers(&key).await, ..PeerChoice::default() });
    let back_at = Instant::now() + Duration::from_millis(1_500);
    let log = FakeLog { down_until: Some(back_at), ..FakeLog::default() };
    let direct = Arc::new(DirectPath::new(Arc::new(log)));
    let dialer = LinkDialer::new(key, Arc::default());
    let log = RelayedLog::new(direct, peers, &dialer, ProcessRole::Entry);
    while log.read(LogStream::Records, 3, 10, 0).await.is_err() {
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let late = back_at.elapsed();
    assert!(late < Duration::from_secs(1), "read {late:?} after the log was back");
}

/// Load pattern: all entries near an agent are behind, and one far away is not. Reads give up after a
/// limited time, and still reach that entry.
#[tokio::test]
async fn reads_reach_the_last_of_many_entries() {
    let key = SharedKey::new("key");
    let peers = Arc::new(PeerList::default());
    let mut readers = start_refusing_peers(&key).await;
    readers.push(start_late_peer(key.clone()).await);
    peers.set(PeerChoice { readers, ..PeerChoice::default() });
    let direct = Arc::new(DirectPath::new(Arc::new(FakeLog::default())));
    let dialer = LinkDialer::new(key, Arc::default());
    let log = RelayedLog::new(direct, peers, &dialer, ProcessRole::Agent);
    let mut longest = Duration::ZERO;
    let page = loop {
        let began = Instant::now();
        let result = log.read(LogStream::Records, 3, 10, 0).await;
        longest = longest.max(began.elapsed());
        match result {
            Ok(page) if page.next == 103 => break page,
            _ => {}
        }
    };
    assert_eq!(page.first, 3);
    assert!(longest < Duration::from_secs(2), "a read took {longest:?}");
}

/// Guards against a read that waits for the process's own path to the log although entries can serve
/// again.
#[tokio::test]
async fn read_goes_through_an_entry_that_recovers_while_the_own_path_stays_broken() {
    let key = SharedKey::new("key");
    let peers = Arc::new(PeerList::default());
    let fallbacks = vec![start_recovering_peer(key.clone(), 3).await];
    peers.set(PeerChoice { fallbacks, ..PeerChoice::default() });
    let down_until = Some(Instant::now() + Duration::from_secs(3_600));
    let log = FakeLog { down_until, ..FakeLog::default() };
    let direct = Arc::new(DirectPath::new(Arc::new(log)));
    let dialer = LinkDialer::new(key, Arc::default());
    let log = RelayedLog::new(direct, peers, &dialer, ProcessRole::Entry);
    let reads = async {
        loop {
            if let Ok(page) = log.read(LogStream::Records, 3, 10, 0).await {
                return page;
            }
        }
    };
    let page = timeout(Duration::from_secs(10), reads).await.expect("no read goes through");
    assert_eq!(page.next, 103);
}

/// Guards against an agent that waits for a path to the log that it does not use yet: just after its
/// start it knows no entries, and knows them a moment later.
#[tokio::test]
async fn agent_without_entries_is_told_so_at_once() {
    let peers = Arc::new(PeerList::default());
    let direct = Arc::new(DirectPath::new(Arc::new(FakeLog::default())));
    let dialer = LinkDialer::new(SharedKey::new("key"), Arc::default());
    let log = RelayedLog::new(direct, peers, &dialer, ProcessRole::Agent);
    let read = timeout(CALL_TIMEOUT, log.read(LogStream::Records, 0, 10, 0)).await;
    assert!(read.expect("the read waits").is_err());
}
