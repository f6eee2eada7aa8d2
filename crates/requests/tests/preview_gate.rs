//! Which requests for previews are served.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cuminbarrow_requests::preview_gate::PreviewGate;

/// Fails if previews run at the same time, follow each other too closely, or are refused for good.
#[test]
fn previews_run_one_at_a_time_and_at_most_one_a_second() {
    let gate = Arc::new(PreviewGate::default());
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let first = gate.enter(start);
    assert!(first.is_some());
    assert!(gate.enter(at(5_000)).is_none(), "the first one still runs");
    drop(first);
    assert!(gate.enter(at(999)).is_none(), "too early");
    let second = gate.enter(at(1_000));
    assert!(second.is_some());
    drop(second);
    assert!(gate.enter(at(1_500)).is_none(), "counted from the second one");
}
