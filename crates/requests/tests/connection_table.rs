//! A full listener makes room for new connections.

use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_requests::connection_choice::ConnectionPhase;
use cuminbarrow_requests::connection_table::ConnectionTable;
use cuminbarrow_requests::request_counters::RefusalReason;
use cuminbarrow_requests::request_counters::RequestCounters;

/// Guards against a listener that waits for idle connections to time out.
#[tokio::test]
async fn idle_connection_is_closed_for_a_new_one() {
    let counters = Arc::new(RequestCounters::default());
    let table = ConnectionTable::new("main", 2, 1_024, Arc::clone(&counters));
    let idle = table.admit().await;
    let handled = table.admit().await;
    handled.slot.enter(ConnectionPhase::Handling);
    let _new = table.admit().await;
    idle.slot.closing().await;
    assert_eq!(table.len(), 2);
    assert_eq!(counters.count(RefusalReason::Connections), 1);
    drop(idle);
    assert_eq!(table.len(), 2, "its place was taken");
}

/// Guards against clients that keep all places by sending one request after another.
#[tokio::test]
async fn busy_connection_is_told_to_end_for_a_waiting_one() {
    let table = ConnectionTable::new("main", 1, 1_024, Arc::default());
    let busy = table.admit().await;
    busy.slot.enter(ConnectionPhase::Handling);
    assert!(!table.take_slot_request());
    let waiting = {
        let table = Arc::clone(&table);
        tokio::spawn(async move { table.admit().await })
    };
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(table.take_slot_request());
    drop(busy);
    assert!(waiting.await.is_ok());
}
