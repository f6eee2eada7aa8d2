//! Metrics of the requests that a process holds and refuses.

use std::sync::Arc;

use cuminbarrow_requests::request_counters::RefusalReason;
use cuminbarrow_requests::request_guard::RequestGuard;
use opentelemetry::KeyValue;

use crate::meter_registry::MeterRegistry;

/// Registers the metrics of requests held and refused.
pub fn register(registry: &MeterRegistry, guard: &Arc<RequestGuard>) {
    let meter = registry.meter();
    let bodies = Arc::clone(&guard.bodies);
    let description = "Bytes reserved for request bodies and decoded jobs";
    registry.register_gauge("request_bytes_held", description, move || bodies.held_bytes());
    let held = Arc::clone(guard);
    meter
        .u64_observable_gauge("request_connections")
        .with_description("Connections, by listener")
        .with_callback(move |observer| {
            for table in held.tables() {
                observer.observe(table.len() as u64, &[KeyValue::new("listener", table.name)]);
            }
        })
        .build();
    let counters = Arc::clone(&guard.counters);
    meter
        .u64_observable_counter("requests_refused")
        .with_description("Requests refused and connections closed to limit memory, by reason")
        .with_callback(move |observer| {
            for reason in RefusalReason::ALL {
                let label = KeyValue::new("reason", reason.name());
                observer.observe(counters.count(reason), &[label]);
            }
        })
        .build();
}
