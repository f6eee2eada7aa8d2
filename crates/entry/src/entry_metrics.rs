//! Metrics of an entry.

use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cuminbarrow_protocol::byte_counter::ByteCounter;
use cuminbarrow_telemetry::meter_registry::MeterRegistry;

use crate::entry_core::EntryCore;

/// Counters that the entry increments itself.
#[derive(Debug, Default)]
pub(crate) struct EntryMetrics {
    pub(crate) submissions: AtomicU64,
    pub(crate) refusals: AtomicU64,
    pub(crate) decisions: AtomicU64,
    pub(crate) planning_us: AtomicU64,
    pub(crate) rounds: AtomicU64,
}

impl EntryMetrics {
    pub(crate) fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }
}

/// Reads the value of a metric.
type CoreMetric = fn(&EntryCore) -> u64;

/// Registers all metrics of an entry.
pub(crate) fn register(
    core: &Arc<EntryCore>,
    registry: &MeterRegistry,
    counter: &Arc<ByteCounter>,
) {
    let gauges: [(&'static str, &'static str, CoreMetric); 6] = [
        ("entry_applied_offset", "offset of the next batch", |core| core.tail.state().offset),
        ("entry_is_current", "1 at the end of a log that answers", |core| {
            u64::from(core.tail.is_current())
        }),
        ("entry_pending_jobs", "jobs that wait", |core| core.tail.state().pending.len() as u64),
        ("entry_placed_jobs", "jobs that are placed", |core| core.tail.state().placed.len() as u64),
        ("entry_sessions", "agents connected here", |core| core.sessions.workers().len() as u64),
        ("entry_sheet_version", "version of the sheet in force", |core| {
            core.tail.state().sheet.version
        }),
    ];
    for (name, description, read) in gauges {
        let core = Arc::downgrade(core);
        registry.register_gauge(name, description, move || read_weak(&core, read));
    }
    let counters: [(&'static str, &'static str, CoreMetric); 6] = [
        ("entry_appends", "appends that took effect", |core| core.writer.appends()),
        ("entry_decisions", "placement decisions written", |core| {
            core.metrics.decisions.load(Ordering::Relaxed)
        }),
        ("entry_planning_us", "time spent planning, in microseconds", |core| {
            core.metrics.planning_us.load(Ordering::Relaxed)
        }),
        ("entry_planning_rounds", "planning rounds", |core| {
            core.metrics.rounds.load(Ordering::Relaxed)
        }),
        ("entry_refusals", "requests refused", |core| {
            core.metrics.refusals.load(Ordering::Relaxed)
        }),
        ("entry_submissions", "jobs submitted here", |core| {
            core.metrics.submissions.load(Ordering::Relaxed)
        }),
    ];
    for (name, description, read) in counters {
        let core = Arc::downgrade(core);
        registry.register_counter(name, description, move || read_weak(&core, read));
    }
    let bytes = Arc::clone(counter);
    registry.register_counter("link_received_bytes", "bytes received over links", move || {
        bytes.received()
    });
    let bytes = Arc::clone(counter);
    registry.register_counter("link_sent_bytes", "bytes sent over links", move || bytes.sent());
}

/// Reads a metric through a weak reference, so that the registry does not keep the entry alive;
/// returns 0 once the entry is dropped.
fn read_weak(core: &Weak<EntryCore>, read: CoreMetric) -> u64 {
    core.upgrade().map(|core| read(&core)).unwrap_or_default()
}
