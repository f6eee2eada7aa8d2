//! Floods against the links of entries by peers without the shared key.

use std::time::Duration;
use std::time::Instant;

use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::message::PeerRequest;
use cuminbarrow_protocol::message::PeerResponse;
use cuminbarrow_protocol::shared_key::SharedKey;
use tokio::runtime::Runtime;

use crate::flood::FloodClients;
use crate::flood::FloodRequest;
use crate::served_process::Role;
use crate::served_process::SHARED_KEY;
use crate::served_process::ServedProcess;

/// Number of clients of a flood.
const CLIENTS: usize = 300;
/// Limit of the wait for a link with the key to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);
/// First bytes of an HTTP/2 connection, and empty settings.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// Largest payload of an HTTP/2 frame, in bytes.
const FRAME_BYTES: usize = 16_384;

/// An HTTP/2 frame of the first stream.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    [&length[1..], &[kind, 0], &1_u32.to_be_bytes(), payload].concat()
}

/// A request whose only header field is one of 15 MB, of which `frames` frames are sent.
fn endless_header(frames: usize) -> FloodRequest {
    // A literal field without indexing: its name "x", and the length of its value.
    let field = [&[0, 1, b'x', 0x7f][..], &[0x81, 0xc2, 0x93, 0x07]].concat();
    let mut first = field.clone();
    first.resize(FRAME_BYTES, b'x');
    let mut body = [PREFACE, &frame(1, &first)].concat();
    body.extend(frame(9, &[b'x'; FRAME_BYTES]).repeat(frames));
    FloodRequest { head: String::new(), body }
}

fn flood_links(name: &str, role: Role, request: &FloodRequest) {
    let mut entry = ServedProcess::start(role);
    let flood = FloodClients::send(entry.links, CLIENTS, request);
    entry.assert_unharmed(name);
    assert_opens(&entry, role);
    drop(flood);
    entry.assert_serves();
}

/// Waits until a link with the key opens.
fn assert_opens(entry: &ServedProcess, role: Role) {
    let kind = if role == Role::ProductEntry { LinkKind::Peer } else { LinkKind::Relay };
    let dialer = LinkDialer::new(SharedKey::new(SHARED_KEY), Default::default());
    let started = Instant::now();
    Runtime::new().unwrap().block_on(async {
        while dialer.open::<PeerRequest, PeerResponse>(entry.links, kind).await.is_err() {
            assert!(started.elapsed() < OPEN_TIMEOUT, "no link with the key opens");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Guards against connections without a proof of the key that are held for good.
#[test]
fn links_that_prove_nothing() {
    let request = FloodRequest { head: String::new(), body: PREFACE.to_vec() };
    flood_links("product, idle links", Role::ProductEntry, &request);
    flood_links("entry, idle links", Role::Entry, &request);
}

/// Guards against headers of up to 16 MB that are held before the proof of the key.
#[test]
fn links_whose_headers_do_not_end() {
    let request = endless_header(60);
    flood_links("product, endless headers of links", Role::ProductEntry, &request);
    flood_links("entry, endless headers of links", Role::Entry, &request);
}
