//! Metrics of the agent.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cuminbarrow_protocol::byte_counter::ByteCounter;
use cuminbarrow_telemetry::meter_registry::MeterRegistry;

/// Values of the agent's metrics.
#[derive(Debug, Default)]
pub struct AgentMetrics {
    /// Number of attempts whose tasks run or may still run.
    pub running_attempts: AtomicU64,
    /// Total number of sessions opened with entries.
    pub sessions: AtomicU64,
    /// Log offset up to which the agent has acted.
    pub applied_offset: AtomicU64,
    /// Number of accelerators in use as the worker reports it, which lags behind.
    pub used_accelerators: AtomicU64,
}

impl AgentMetrics {
    /// Registers the agent's metrics and the byte counts of its links.
    pub fn register(self: &Arc<Self>, registry: &MeterRegistry, counter: &Arc<ByteCounter>) {
        let metrics = Arc::clone(self);
        registry.register_gauge("agent_running_attempts", "attempts whose tasks run", move || {
            metrics.running_attempts.load(Ordering::Relaxed)
        });
        let metrics = Arc::clone(self);
        registry.register_counter("agent_sessions", "sessions opened with entries", move || {
            metrics.sessions.load(Ordering::Relaxed)
        });
        let metrics = Arc::clone(self);
        registry.register_gauge("agent_applied_offset", "offset acted upon", move || {
            metrics.applied_offset.load(Ordering::Relaxed)
        });
        let metrics = Arc::clone(self);
        let description = "accelerators in use by the worker's own account, which lags";
        registry.register_gauge("worker_used_accelerators", description, move || {
            metrics.used_accelerators.load(Ordering::Relaxed)
        });
        let bytes = Arc::clone(counter);
        registry.register_counter("link_received_bytes", "bytes received over links", move || {
            bytes.received()
        });
        let bytes = Arc::clone(counter);
        registry.register_counter("link_sent_bytes", "bytes sent over links", move || bytes.sent());
    }
}
