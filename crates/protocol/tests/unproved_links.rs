//! Bounds of links before the proof of the shared key.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::link::accept_links;
use cuminbarrow_protocol::link_guard::LinkGuard;
use cuminbarrow_protocol::link_limits::LinkLimits;
use cuminbarrow_protocol::shared_key::SharedKey;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Limit of the waits of a test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn listen(limits: LinkLimits) -> (SocketAddr, Arc<LinkGuard>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let guard = Arc::new(LinkGuard::new(limits, Arc::default()));
    let accepting = accept_links(listener, SharedKey::new("key"), Arc::clone(&guard), |_| {});
    tokio::spawn(accepting);
    (address, guard)
}

async fn open(address: SocketAddr, key: &str) -> Result<(), LinkError> {
    let dialer = LinkDialer::new(SharedKey::new(key), Arc::default());
    dialer.open::<u8, u8>(address, LinkKind::Relay).await.map(drop)
}

/// Waits until the other side has closed a connection.
async fn closed(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut rest)).await;
    // Unread bytes make the close a reset.
    let _ = read.expect("the connection was not closed");
}

fn refused(guard: &LinkGuard, reason: &str) -> u64 {
    guard.refusals().into_iter().find(|(name, _)| *name == reason).unwrap().1
}

/// Guards against connections that wait for a proof without a limit of time.
#[tokio::test]
async fn a_connection_without_proof_is_closed_in_time() {
    let (address, guard) = listen(LinkLimits { proof_timeout_ms: 200, ..Default::default() }).await;
    let mut idle = TcpStream::connect(address).await.unwrap();
    closed(&mut idle).await;
    assert_eq!((refused(&guard, "timeout"), guard.unproved()), (1, 0));
}

/// Guards against reading without a limit before the proof.
#[tokio::test]
async fn a_connection_that_sends_too_much_before_the_proof_is_closed() {
    let limits = LinkLimits { proof_timeout_ms: 60_000, ..Default::default() };
    let (address, guard) = listen(limits).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The preface of HTTP/2, and pings with an acknowledgement, which need no answer.
    let ping = [0, 0, 8, 6, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    let preface = [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".as_slice(), &settings].concat();
    let _ = stream.write_all(&[preface, ping.repeat(2_000)].concat()).await;
    closed(&mut stream).await;
    assert_eq!(refused(&guard, "bytes"), 1);
}

/// Guards against a peer with a wrong key that keeps its connection, and against one with the key that
/// finds no place because of others without.
#[tokio::test]
async fn a_link_with_the_key_opens_while_others_hold_all_places() {
    let limits = LinkLimits { unproved: 4, proof_timeout_ms: 60_000, ..Default::default() };
    let (address, guard) = listen(limits).await;
    let mut idle = Vec::new();
    for _ in 0..20 {
        idle.push(TcpStream::connect(address).await.unwrap());
    }
    let opened =
        tokio::time::timeout(WAIT_TIMEOUT, async { while open(address, "key").await.is_err() {} });
    opened.await.expect("no link with the key opens");
    assert!(guard.unproved() <= 4);
    assert!(refused(&guard, "connections") > 0);
    let refusal = open(address, "wrong").await;
    assert!(matches!(refusal, Err(LinkError::Refused { .. })), "{refusal:?}");
    assert_eq!(refused(&guard, "key"), 1);
}
