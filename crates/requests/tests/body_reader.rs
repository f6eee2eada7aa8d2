//! Reading bodies within the budget, and giving back what they reserved.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminbarrow_requests::body_budget::BodyBudget;
use cuminbarrow_requests::body_reader::BodyRefusal;
use cuminbarrow_requests::body_reader::read_body;
use cuminbarrow_requests::request_limits::RequestLimits;
use http_body_util::Full;
use http_body_util::channel::Channel;

const LIMIT: usize = 262_144;
const TIMEOUT: Duration = Duration::from_secs(3);

fn budget(body_bytes: u64) -> Arc<BodyBudget> {
    let limits = RequestLimits { body_bytes, small_part_bytes: 16_384, ..Default::default() };
    BodyBudget::new(limits)
}

/// Guards against a body that is kept in pieces, or whose reservation outlives its request.
#[tokio::test]
async fn chunks_become_one_buffer_and_the_reservation_ends_with_it() {
    let budget = budget(1_000_000);
    let (mut sender, body) = Channel::<Bytes, Infallible>::new(1);
    tokio::spawn(async move {
        for _ in 0..5_000 {
            sender.send_data(Bytes::from_static(b"ab")).await.unwrap();
        }
    });
    let (bytes, reservation) = read_body(body, LIMIT, TIMEOUT, &budget).await.unwrap();
    assert_eq!(bytes, b"ab".repeat(5_000));
    assert_eq!(budget.held_bytes(), 16_384);
    drop(reservation);
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against bytes that stay reserved after a refusal.
#[tokio::test]
async fn refused_bodies_give_their_bytes_back() {
    let budget = budget(300_000);
    let (_sender, unfinished) = Channel::<Bytes, Infallible>::new(1);
    let refusal = read_body(unfinished, LIMIT, Duration::from_millis(20), &budget).await.err();
    assert_eq!(refusal, Some(BodyRefusal::Timeout));
    let large = || Full::new(Bytes::from(vec![0; LIMIT]));
    assert_eq!(
        read_body(large(), LIMIT - 1, TIMEOUT, &budget).await.err(),
        Some(BodyRefusal::TooLarge)
    );
    assert_eq!(budget.held_bytes(), 0);
    let held = read_body(large(), LIMIT, TIMEOUT, &budget).await.unwrap();
    let refusal = read_body(large(), LIMIT, TIMEOUT, &budget).await.err();
    assert_eq!(refusal, Some(BodyRefusal::NoMemory));
    drop(held);
    assert_eq!(budget.held_bytes(), 0);
    assert!(read_body(large(), LIMIT, TIMEOUT, &budget).await.is_ok());
}

/// Guards against a task that goes on reading a body which was aborted for another.
#[tokio::test]
async fn stalled_body_is_aborted_for_another() {
    let budget = budget(20_480);
    let (_sender, stalled) = Channel::<Bytes, Infallible>::new(1);
    let reading = {
        let budget = Arc::clone(&budget);
        tokio::spawn(async move { read_body(stalled, LIMIT, TIMEOUT, &budget).await.err() })
    };
    tokio::time::sleep(Duration::from_millis(600)).await;
    let small = Full::new(Bytes::from(vec![0; 16_384]));
    let held = read_body(small.clone(), LIMIT, TIMEOUT, &budget).await.unwrap();
    assert!(!reading.is_finished(), "there is room for both");
    let second = read_body(Full::new(Bytes::from(vec![0; 4_096])), LIMIT, TIMEOUT, &budget).await;
    assert!(second.is_ok());
    assert_eq!(reading.await.unwrap(), Some(BodyRefusal::TooSlow));
    drop((held, second));
    assert_eq!(budget.held_bytes(), 0);
}
