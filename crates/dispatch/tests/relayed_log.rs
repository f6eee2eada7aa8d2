//! Calls through an entry do not hold up one another.

#![allow(clippy::unwrap_used, reason = "a test may fail where it stands")]

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
use tokio::time::timeout;

/// A call that meets no silent peer takes some ms.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// A log that takes records but no snapshots, and breaks off its first answers to readers, as when
/// a store drops them.
#[derive(Default)]
struct FakeLog {
    broken_reads: AtomicU64,
}

#[async_trait]
impl LogStore for FakeLog {
    async fn append(&self, stream: LogStream, _body: Bytes) -> Result<u64, LogError> {
        if stream == LogStream::Snapshots {
            return Err(LogError::Unavailable { reason: "no snapshots are taken".to_owned() });
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
        if broken > 0 {
            self.broken_reads.store(broken - 1, Ordering::Relaxed);
            return Err(LogError::Uncertain { reason: "the answer broke off".to_owned() });
        }
        let entries = vec![b"batch".to_vec()];
        Ok(LogPage { next: from + 1, first: from, entries, ..LogPage::default() })
    }
}

/// An entry that appends and never answers anything else. Tells of each request that it got.
async fn start_peer(key: SharedKey) -> (SocketAddr, mpsc::UnboundedReceiver<RelayRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (seen, requests) = mpsc::unbounded_channel();
    tokio::spawn(accept_links(listener, key, Arc::default(), move |incoming| {
        let seen = seen.clone();
        tokio::spawn(async move {
            let mut link: Link<RelayResponse, RelayRequest> = incoming.typed();
            while let Ok(request) = link.receiver.receive().await {
                let is_append = matches!(request, RelayRequest::Append { .. });
                seen.send(request).unwrap();
                if is_append {
                    link.sender.send(&RelayResponse::Appended { offset: 9 }).await.unwrap();
                }
            }
        });
    }));
    (address, requests)
}

/// Appends while a snapshot waits for a silent entry. Gives the append's offset.
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
    tokio::spawn(async move { saver.save_chunks(vec![Bytes::from_static(b"chunk")]).await });
    let request = requests.recv().await.unwrap();
    assert!(matches!(request, RelayRequest::SaveChunks { .. }), "{request:?}");
    let append = log.append(LogStream::Records, Bytes::from_static(b"batch"));
    timeout(CALL_LIMIT, append).await.expect("the append waits for the snapshot").unwrap()
}

#[tokio::test]
async fn an_append_to_the_log_itself_does_not_wait_for_a_snapshot_that_is_passed_on() {
    assert_eq!(append_beside_snapshot(|_| Vec::new()).await, 7);
}

#[tokio::test]
async fn an_append_that_is_passed_on_does_not_wait_for_a_snapshot() {
    assert_eq!(append_beside_snapshot(|peer| vec![peer]).await, 9);
}

#[tokio::test]
async fn a_read_goes_back_to_the_log_while_an_entry_has_no_news() {
    let key = SharedKey::new("key");
    let (peer, _requests) = start_peer(key.clone()).await;
    let peers = Arc::new(PeerList::default());
    peers.set(PeerChoice { fallbacks: vec![peer], ..PeerChoice::default() });
    let log = FakeLog { broken_reads: AtomicU64::new(1) };
    let direct = Arc::new(DirectPath::new(Arc::new(log)));
    let dialer = LinkDialer::new(key, Arc::default());
    let log = RelayedLog::new(direct, peers, &dialer, ProcessRole::Entry);
    let read = log.read(LogStream::Records, 3, 10, 1_000);
    let page = timeout(CALL_LIMIT, read).await.expect("the read waits for the entry").unwrap();
    assert_eq!((page.first, page.entries.len()), (3, 1));
}

/// Time after which the entry below answers, and after which its first caller has given up.
const LATE_ANSWER: Duration = Duration::from_millis(200);
const GIVEN_UP: Duration = Duration::from_millis(50);

/// An entry that answers each read late, with an end that tells which one it was.
async fn start_late_peer(key: SharedKey) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(accept_links(listener, key, Arc::default(), move |incoming| {
        tokio::spawn(async move {
            let mut link: Link<RelayResponse, RelayRequest> = incoming.typed();
            while let Ok(RelayRequest::Read { from, .. }) = link.receiver.receive().await {
                tokio::time::sleep(LATE_ANSWER).await;
                let next = from + 100;
                let (oldest, entries) = (0, Vec::new());
                let records =
                    RelayResponse::Records { oldest, next, entries, waited_ms: 0, age_ms: 0 };
                // Who gave up has closed the link.
                if link.sender.send(&records).await.is_err() {
                    return;
                }
            }
        });
    }));
    address
}

/// Guards against an answer that is taken for that of a later request: it would confirm the later
/// request's time.
#[tokio::test]
async fn an_answer_to_a_read_that_was_given_up_is_not_taken_for_that_of_the_next() {
    let key = SharedKey::new("key");
    let peer = start_late_peer(key.clone()).await;
    let peers = Arc::new(PeerList::default());
    peers.set(PeerChoice { readers: vec![peer], ..PeerChoice::default() });
    let direct = Arc::new(DirectPath::new(Arc::new(FakeLog::default())));
    let dialer = LinkDialer::new(key, Arc::default());
    let log = RelayedLog::new(direct, peers, &dialer, ProcessRole::Agent);
    // The link is open by then, and the second read is on its way when its caller gives up.
    assert_eq!(log.read(LogStream::Records, 1, 10, 0).await.unwrap().next, 101);
    timeout(GIVEN_UP, log.read(LogStream::Records, 2, 10, 0)).await.unwrap_err();
    let page = log.read(LogStream::Records, 3, 10, 0).await.unwrap();
    assert_eq!((page.first, page.next), (3, 103));
}
