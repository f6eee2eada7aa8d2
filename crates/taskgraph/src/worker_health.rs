//! Health that workers report of themselves: what agents record of it, and what the state keeps.
//!
//! Handles the load of workers that fail or stall everything and say so when they are asked, while others
//! say so falsely. Responses are evidence only beside failed runs, see [`crate::worker_quarantine`]. Only
//! unhealthy responses are repeated in the log, so healthy workers cost it nothing.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::graph_state::GraphEffect;
use crate::graph_state::GraphOutcome;
use crate::graph_state::GraphState;
use crate::worker::WorkerKey;
use crate::worker::WorkerState;
use crate::worker_quarantine::MAX_QUARANTINE_MS;

/// How long a recorded response counts, in ms. A worker whose agent is cut off counts as unknown then.
pub const HEALTH_TTL_MS: u64 = 8_000;
/// Time after which an unhealthy response is recorded again, in ms: half of the time for which it counts.
const REPEAT_INTERVAL_MS: u64 = HEALTH_TTL_MS / 2;
/// Minimum time between two records of one worker, in ms. Responses may flap, and each record reaches all
/// processes.
const MIN_RECORD_INTERVAL_MS: u64 = 2_000;

/// Latest recorded response of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Whether the worker considers itself healthy.
    pub is_healthy: bool,
    /// When the worker was first recorded as unhealthy without a break, in ms since the Unix epoch.
    pub unhealthy_from_ms: u64,
    /// When the response was recorded, in ms since the Unix epoch.
    pub seen_ms: u64,
}

impl HealthReport {
    /// End of the time in which the worker counts as unhealthy, in ms since the Unix epoch.
    pub fn unhealthy_until_ms(&self) -> u64 {
        if self.is_healthy { self.seen_ms } else { self.seen_ms.saturating_add(HEALTH_TTL_MS) }
    }

    /// Whether the worker counts as unhealthy.
    pub fn is_unhealthy(&self, now_ms: u64) -> bool {
        now_ms < self.unhealthy_until_ms()
    }
}

/// Latest recorded responses; only of workers that were unhealthy at some time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHealth {
    reports: BTreeMap<WorkerKey, HealthReport>,
}

impl WorkerHealth {
    /// Latest recorded response of a worker.
    pub fn report(&self, worker: WorkerKey) -> Option<&HealthReport> {
        self.reports.get(&worker)
    }

    fn record(&mut self, worker: WorkerKey, is_healthy: bool, now_ms: u64) {
        let known = self.reports.get(&worker);
        let unhealthy = known.filter(|known| known.is_unhealthy(now_ms));
        if is_healthy && unhealthy.is_none() {
            return;
        }
        let unhealthy_from_ms = unhealthy.map_or(now_ms, |known| known.unhealthy_from_ms);
        let report = HealthReport { is_healthy, unhealthy_from_ms, seen_ms: now_ms };
        self.reports.insert(worker, report);
    }

    /// Forgets a worker that is removed.
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        self.reports.remove(&worker);
    }
}

impl GraphState {
    /// Records that the response of a worker to health checks has changed, or that it is still unhealthy.
    pub(crate) fn health_changed(
        &mut self,
        writer: u64,
        worker: WorkerKey,
        is_healthy: bool,
    ) -> GraphOutcome {
        self.check_agent(writer, worker)?;
        self.worker_health.record(worker, is_healthy, self.clock_ms);
        Ok(GraphEffect::Done)
    }

    /// Whether an agent checks the health of its worker: it has runs, or has failed recently.
    pub fn needs_health_check(&self, worker: WorkerKey) -> bool {
        let known = self.workers.get(&worker);
        known.is_some_and(|known| {
            !known.runs.is_empty() || has_failed_recently(known, self.clock_ms)
        })
    }
}

fn has_failed_recently(worker: &WorkerState, now_ms: u64) -> bool {
    worker.consecutive_failures > 0 && now_ms < worker.last_failure_ms + MAX_QUARANTINE_MS
}

/// Decides which responses of its worker an agent records.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthWatch {
    /// When a response was last recorded, in ms.
    recorded_ms: Option<u64>,
}

impl HealthWatch {
    /// What to record of a response, which is `None` if the worker did not respond. `recorded` is the
    /// latest recorded response, and `state_ms` the time of the state that has it. The comparison is with
    /// the state, so a lost record is written again, and an agent that restarts goes on. `now_ms` is the
    /// agent's own clock.
    pub fn observe(
        &mut self,
        response: Option<bool>,
        recorded: Option<&HealthReport>,
        state_ms: u64,
        now_ms: u64,
    ) -> Option<bool> {
        let is_healthy = response?;
        let unhealthy = recorded.filter(|last| last.is_unhealthy(state_ms));
        let is_news = match unhealthy {
            None => !is_healthy,
            Some(last) => is_healthy || state_ms >= last.seen_ms + REPEAT_INTERVAL_MS,
        };
        let is_early =
            self.recorded_ms.is_some_and(|last_ms| now_ms < last_ms + MIN_RECORD_INTERVAL_MS);
        if !is_news || is_early {
            return None;
        }
        self.recorded_ms = Some(now_ms);
        Some(is_healthy)
    }
}
