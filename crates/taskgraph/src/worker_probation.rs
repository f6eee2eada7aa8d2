//! Probation of workers whose quarantine has ended.
//!
//! Handles the load of a worker that fails everything for longer than a quarantine lasts, while gangs keep
//! arriving: the first tasks placed after the quarantine test the worker, and if a member of a gang is
//! among them, its failure discards the runs of all members. On probation, a worker gets one task at a
//! time, and no member of a gang, until a run has completed there. A completed run resets the worker's
//! failures, so nothing is stored for this.

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::job_terms::URGENT_PRIORITY;
use crate::worker_quarantine::QuarantineRecord;

/// How long a probation lasts if no run completes, in ms. Tasks run for up to about ten seconds, so a task
/// that was placed within the first seconds has ended by then. Without a limit, a worker would stay on
/// probation as long as only gangs wait.
const PROBATION_DURATION_MS: u64 = 16_000;

/// Whether a worker is due for probation: its quarantine has ended, and no run has completed since.
pub fn is_probation_due(record: &QuarantineRecord<'_>, now_ms: u64) -> bool {
    let ended_ms = record.quarantine_end_ms.filter(|end_ms| now_ms >= *end_ms);
    ended_ms.is_some_and(|ended_ms| now_ms < ended_ms + PROBATION_DURATION_MS)
}

impl WorkerCapacity<'_> {
    /// How many of the step's tasks the worker's probation permits.
    pub(crate) fn probation_limit(&self, request: &StepRequest<'_>) -> u32 {
        if !self.is_on_probation || request.uses_probation {
            return u32::MAX;
        }
        if request.spec.gang || !request.spec.runs_to_completion() {
            return 0;
        }
        let mut runs = self.state.runs.values();
        let has_test_run = runs.any(|held| held.placed_ms > self.state.last_failure_ms);
        u32::from(!has_test_run && self.placed.is_empty())
    }

    /// Rank of the worker by its probation, the most suitable first: urgent work takes it after all others,
    /// and other work before them, so that it is known soon whether the worker works.
    pub(crate) fn probation_rank(&self, request: &StepRequest<'_>) -> u8 {
        match (self.is_on_probation, request.terms.priority) {
            (true, URGENT_PRIORITY) => 2,
            (false, _) => 1,
            (true, _) => 0,
        }
    }
}

impl CapacityMap<'_> {
    /// Puts workers on probation whose quarantine has ended. Quarantined workers and those on probation
    /// are together at most a third of a service.
    pub(crate) fn use_probation(&mut self, now_ms: u64) {
        let is_due = |record: &QuarantineRecord<'_>| is_probation_due(record, now_ms);
        self.mark_within_limit(is_due, |worker| worker.is_on_probation = true);
    }

    /// Whether any worker of a service is on probation.
    pub(crate) fn has_probation(&self, service: &str) -> bool {
        self.workers
            .iter()
            .any(|worker| worker.is_on_probation && worker.state.spec.service == service)
    }
}
