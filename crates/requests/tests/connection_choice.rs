//! Which connection gives way when a listener is full.

use cuminbarrow_requests::connection_choice::ConnectionPhase;
use cuminbarrow_requests::connection_choice::ConnectionProgress;
use cuminbarrow_requests::connection_choice::connection_to_close;

const MIN_RATE: u64 = 1_024;

fn idle_since(ms: u64) -> ConnectionProgress {
    ConnectionProgress::new(ms)
}

/// A request that receives `bytes` each 50 ms.
fn receiving(bytes: u64) -> ConnectionProgress {
    let mut connection = ConnectionProgress::new(0);
    for step in 0..40 {
        connection.received(step * 50, bytes);
    }
    connection
}

fn handled() -> ConnectionProgress {
    let mut connection = receiving(1);
    connection.enter(100, ConnectionPhase::Handling);
    connection
}

/// Guards against a listener that answers nobody while idle connections take all its places.
#[test]
fn longest_idle_gives_way() {
    let connections = [(1, idle_since(500)), (2, idle_since(200)), (3, idle_since(900))];
    assert_eq!(connection_to_close(2_000, MIN_RATE, connections), Some(2));
}

/// Guards against clients that send as little as keeps their connection open.
#[test]
fn dripping_request_gives_way_and_progressing_one_does_not() {
    let connections = [(1, receiving(8_000)), (2, receiving(1))];
    assert_eq!(connection_to_close(2_000, MIN_RATE, connections), Some(2));
    assert_eq!(connection_to_close(2_000, MIN_RATE, [connections[0]]), None);
}

/// Guards against closing a connection whose job was handed on, or that was only just accepted.
#[test]
fn handled_and_young_connections_are_kept() {
    let connections = [(1, handled()), (2, idle_since(1_900))];
    assert_eq!(connection_to_close(2_000, MIN_RATE, connections), None);
}

/// Guards against a client that reads nothing of its answers, and against closing one that reads.
#[test]
fn write_is_stalled_only_while_nothing_is_taken() {
    let mut connection = idle_since(0);
    connection.sent(1_000, true);
    connection.sent(2_000, true);
    assert!(!connection.is_write_stalled(6_000, 5_000));
    assert!(connection.is_write_stalled(6_001, 5_000));
    connection.sent(6_002, false);
    assert!(!connection.is_write_stalled(60_000, 5_000));
}
