//! Metrics as operators read them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use cuminbarrow_telemetry::meter_registry::MeterRegistry;
use opentelemetry::KeyValue;

/// Guards against counters that are lost, or merged into one, because of their labels.
#[test]
fn labelled_counter_is_rendered_once_for_each_label() {
    let registry = MeterRegistry::new().unwrap();
    registry.register_labelled_counter("runs_preempted", "Runs", || {
        vec![(vec![KeyValue::new("team", "a")], 3), (vec![KeyValue::new("team", "b")], 4)]
    });
    let text = registry.render();
    for (team, value) in [("a", 3), ("b", 4)] {
        let is_line = |line: &str| {
            line.starts_with("runs_preempted_total{")
                && line.contains(&format!("team=\"{team}\""))
                && line.ends_with(&format!(" {value}"))
        };
        assert!(text.lines().any(is_line), "{text}");
    }
}
