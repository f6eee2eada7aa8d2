//! Metrics of incoming links.

use std::sync::Arc;

use cuminbarrow_telemetry::meter_registry::MeterRegistry;

use crate::link_guard::LinkGuard;

/// Registers the metrics of incoming links.
pub fn register(registry: &MeterRegistry, links: &Arc<LinkGuard>) {
    let held = Arc::clone(links);
    let description = "Incoming links that have not proved possession of the key";
    registry.register_gauge("links_unproved", description, move || held.unproved());
    let refused = Arc::clone(links);
    let description = "Incoming links closed before the proof of the key, by reason";
    registry.register_reasons("links_refused", description, move || refused.refusals());
}
