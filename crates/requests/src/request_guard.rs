//! Limits of one process: the body budget, the tables of its listeners and their counters.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::body_budget::BodyBudget;
use crate::connection_table::ConnectionTable;
use crate::request_counters::RefusalReason;
use crate::request_counters::RequestCounters;
use crate::request_limits::RequestLimits;

/// Interval at which slow bodies and readers are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between log lines on refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Limits of a process, shared by its listeners.
pub struct RequestGuard {
    /// Limits from the settings.
    pub limits: RequestLimits,
    /// Budget for bodies.
    pub bodies: Arc<BodyBudget>,
    /// Refusals by reason.
    pub counters: Arc<RequestCounters>,
    /// Connections of the main listener.
    pub main: Arc<ConnectionTable>,
    /// Connections of the readiness listener.
    pub readiness: Arc<ConnectionTable>,
    /// Connections of the metrics listener.
    pub metrics: Arc<ConnectionTable>,
}

impl RequestGuard {
    /// Limits of a process that holds nothing yet.
    pub fn new(limits: RequestLimits) -> Arc<Self> {
        let counters = Arc::new(RequestCounters::default());
        let table = |name, limit| {
            let min_rate = limits.min_body_bytes_per_s;
            ConnectionTable::new(name, limit, min_rate, Arc::clone(&counters))
        };
        Arc::new(Self {
            bodies: BodyBudget::new(limits.clone()),
            main: table("main", limits.connections),
            readiness: table("readiness", limits.probe_connections),
            metrics: table("metrics", limits.probe_connections),
            counters,
            limits,
        })
    }

    /// Tables of all listeners.
    pub fn tables(&self) -> [&Arc<ConnectionTable>; 3] {
        [&self.main, &self.readiness, &self.metrics]
    }

    /// Enforces rates and time limits, and logs refusals; never returns.
    pub async fn run(self: Arc<Self>) {
        let mut logged = self.counters.counts();
        let mut logged_at: Option<Instant> = None;
        let mut interval = tokio::time::interval(SWEEP_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.bodies.abort_slow();
            for table in self.tables() {
                table.close_stalled(self.limits.write_timeout_ms);
            }
            let counts = self.counters.counts();
            let is_due = logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
            if counts != logged && is_due {
                self.log_refusals(&logged);
                logged = counts;
                logged_at = Some(Instant::now());
            }
        }
    }

    /// Logs the refusals since the last line.
    fn log_refusals(&self, logged: &[u64]) {
        let since = |reason: RefusalReason| self.counters.count(reason) - logged[reason as usize];
        log::warn!(
            no_memory = since(RefusalReason::NoMemory),
            slow_body = since(RefusalReason::SlowBody),
            body_timeout = since(RefusalReason::BodyTimeout),
            too_large = since(RefusalReason::TooLarge),
            connections = since(RefusalReason::Connections),
            slow_reader = since(RefusalReason::SlowReader),
            held_bytes = self.bodies.held_bytes();
            "requests are refused or their connections closed"
        );
    }
}
