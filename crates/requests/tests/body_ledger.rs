//! Which bodies are held, refused and aborted under floods.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use cuminbarrow_requests::body_ledger::BodyLedger;
use cuminbarrow_requests::body_ledger::BudgetExhausted;
use cuminbarrow_requests::request_limits::RequestLimits;

const LARGE: u64 = 262_144;

/// Room for three large bodies, and a quarter for small ones.
fn limits() -> RequestLimits {
    RequestLimits {
        body_bytes: 4 * LARGE,
        small_part_bytes: LARGE,
        small_body_bytes: 16_384,
        min_body_bytes_per_s: 1_024,
        body_timeout_ms: 3_000,
        ..RequestLimits::default()
    }
}

/// A ledger full of large bodies that stopped a byte short at once.
fn stalled_flood() -> (BodyLedger, Vec<u64>) {
    let mut ledger = BodyLedger::new(limits());
    let ids: Vec<u64> = (0..3).map(|_| ledger.open(0, LARGE).unwrap().0).collect();
    ids.iter().for_each(|id| ledger.record(1, *id, LARGE - 1));
    (ledger, ids)
}

/// Guards against a budget that is exceeded, or aborts bodies that have only just begun.
#[test]
fn young_bodies_are_kept_and_further_ones_refused() {
    let (mut ledger, _) = stalled_flood();
    assert_eq!(ledger.open(100, LARGE), Err(BudgetExhausted));
    assert_eq!(ledger.held_bytes(), 3 * LARGE);
}

/// Guards against large bodies that keep small ones out.
#[test]
fn small_bodies_have_their_part() {
    let (mut ledger, _) = stalled_flood();
    let small = |ledger: &mut BodyLedger| ledger.open(100, 16_384);
    for _ in 0..16 {
        assert_eq!(small(&mut ledger).unwrap().1, Vec::<u64>::new());
    }
    assert_eq!(small(&mut ledger), Err(BudgetExhausted));
    assert_eq!(ledger.held_bytes(), 4 * LARGE);
}

/// Guards against stalled bodies that keep others out until their time limit.
#[test]
fn least_progressed_body_gives_way() {
    let (mut ledger, ids) = stalled_flood();
    // The second one is dripped, the third one ends in time at its rate.
    for step in 0..10 {
        ledger.record(500 + step * 50, ids[1], 1);
        ledger.record(500 + step * 50, ids[2], 8_000);
    }
    assert_eq!(ledger.open(1_000, LARGE).unwrap().1, [ids[0]]);
    assert_eq!(ledger.open(1_000, LARGE).unwrap().1, [ids[1]]);
    assert_eq!(ledger.open(1_000, LARGE), Err(BudgetExhausted), "the third one is on course");
    assert!(!ledger.complete(ids[0]));
    assert!(ledger.complete(ids[2]));
}

/// Guards against aborting a request whose job may have been handed on.
#[test]
fn complete_bodies_are_never_aborted() {
    let (mut ledger, ids) = stalled_flood();
    ids.iter().for_each(|id| assert!(ledger.complete(*id)));
    assert_eq!(ledger.open(60_000, LARGE), Err(BudgetExhausted));
    assert_eq!(ledger.abort_slow(60_000), Vec::<u64>::new());
}

/// Guards against aborting small bodies for a large one, to which they give no room.
#[test]
fn small_bodies_are_not_aborted_for_a_large_one() {
    let (mut ledger, ids) = stalled_flood();
    ids.iter().for_each(|id| assert!(ledger.complete(*id)));
    ledger.open(0, 16_384).unwrap();
    assert_eq!(ledger.open(60_000, LARGE), Err(BudgetExhausted));
    assert_eq!(ledger.held_bytes(), 3 * LARGE + 16_384);
}

/// Guards against chunked bodies that grow past the budget, and against bytes that are not given back.
#[test]
fn growing_and_closing_keep_the_count() {
    let mut ledger = BodyLedger::new(limits());
    let (id, _) = ledger.open(0, 4_096).unwrap();
    for bytes in [8_192, 16_384, 32_768, LARGE] {
        assert_eq!(ledger.resize(0, id, bytes), Ok(vec![]));
        assert_eq!(ledger.held_bytes(), bytes);
    }
    assert_eq!(ledger.resize(0, id, 4 * LARGE), Err(BudgetExhausted));
    assert_eq!(ledger.resize(0, id, 1_000), Ok(vec![]));
    assert_eq!(ledger.held_bytes(), 1_000);
    ledger.close(id);
    ledger.close(id);
    assert_eq!(ledger.held_bytes(), 0);
    assert_eq!(ledger.resize(0, id, 1), Err(BudgetExhausted));
}

/// Guards against a minimum rate that refuses a slow request when load is low, or spares none when it
/// is high.
#[test]
fn minimum_rate_applies_only_when_the_budget_is_short() {
    let mut ledger = BodyLedger::new(limits());
    let (first, _) = ledger.open(0, LARGE).unwrap();
    assert_eq!(ledger.abort_slow(2_900), Vec::<u64>::new());
    let (slow, _) = ledger.open(2_000, LARGE).unwrap();
    let (small, _) = ledger.open(2_000, 300).unwrap();
    for step in 0..10 {
        ledger.record(2_000 + step * 100, slow, 500);
        ledger.record(2_000 + step * 100, small, 15);
    }
    assert_eq!(ledger.abort_slow(2_900), [first], "the others arrive as fast as they need to");
    assert_eq!(ledger.held_bytes(), LARGE + 300);
}
