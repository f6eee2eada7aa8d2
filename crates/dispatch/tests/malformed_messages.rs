//! Malformed messages from another process close the link and have no other effect.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::link::accept_links;
use cuminbarrow_protocol::relay_message::RelayRequest;
use cuminbarrow_protocol::relay_message::RelayResponse;
use cuminbarrow_protocol::shared_key::SharedKey;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Length of the messages, in bytes.
const LENGTH: usize = 10;
/// Marker of an 8-byte integer in the encoding.
const LONG_LENGTH: u8 = 253;
/// Variant number of [`RelayResponse::Refused`], which contains a string.
const REFUSED: u8 = 5;

/// Receives a relay answer that consists of these bytes.
async fn receive_answer(body: [u8; LENGTH]) -> Result<RelayResponse, LinkError> {
    let key = SharedKey::new("key");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(accept_links(listener, key.clone(), Default::default(), move |incoming| {
        tokio::spawn(async move {
            let mut link: Link<[u8; LENGTH], RelayRequest> = incoming.into_link();
            while link.receiver.receive().await.is_ok() {
                link.sender.send(&body).await.unwrap();
            }
        });
    }));
    let dialer = LinkDialer::new(key, Default::default());
    let link = dialer.open(address, LinkKind::Relay).await;
    let mut link: Link<RelayRequest, RelayResponse> = link.unwrap();
    link.sender.send(&RelayRequest::LoadSnapshot).await.unwrap();
    timeout(Duration::from_secs(3), link.receiver.receive())
        .await
        .expect("the malformed answer was not rejected in time")
}

/// A string whose encoded length exceeded the memory aborted the process that received it.
#[tokio::test]
async fn an_answer_with_an_excessive_string_length_is_a_decoding_error() {
    for length in [1_u64 << 32, 1 << 40, 1 << 62, u64::MAX] {
        let mut body = [0; LENGTH];
        body[0] = REFUSED;
        body[1] = LONG_LENGTH;
        body[2..].copy_from_slice(&length.to_le_bytes());
        let result = receive_answer(body).await;
        assert!(matches!(result, Err(LinkError::Decode { .. })), "{length}: {result:?}");
    }
}

#[tokio::test]
async fn an_answer_of_an_unknown_variant_is_a_decoding_error() {
    for kind in [8, 100, 251, 253, 255] {
        let result = receive_answer([kind; LENGTH]).await;
        assert!(matches!(result, Err(LinkError::Decode { .. })), "{kind}: {result:?}");
    }
}
