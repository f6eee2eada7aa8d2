//! Probation of workers whose quarantine has ended.
//!
//! Handles the load of a worker that fails everything for longer than a quarantine lasts, while gangs keep
//! arriving: the first tasks placed after the quarantine test the worker, and if a member of a gang is
//! among them, its failure discards the runs of all members. On probation, a worker gets one task at a
//! time, and no member of a gang, until a run has completed there. A completed run resets the worker's
//! failures, so nothing is stored for this.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::capacity_map::CapacityMap;
use crate::capacity_map::MAX_QUARANTINED_DIVISOR;
use crate::capacity_map::QUARANTINE_DURATION_MS;
use crate::capacity_map::QUARANTINE_FAILURES;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::job_terms::URGENT_PRIORITY;

/// How long a probation lasts if no run completes, in ms. Tasks run for up to about ten seconds, so a task
/// that was placed within the first seconds has ended by then. Without a limit, a worker would stay on
/// probation as long as only gangs wait.
const PROBATION_DURATION_MS: u64 = 16_000;

/// What decides whether a worker is on probation.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineRecord<'a> {
    /// Service that the worker belongs to.
    pub service: &'a SmolStr,
    /// Whether the worker is quarantined now.
    pub is_quarantined: bool,
    /// When the latest quarantine ends or ended, in ms since the Unix epoch; `None` if a run has completed
    /// since its cause.
    pub quarantine_end_ms: Option<u64>,
}

/// Which of the workers are on probation. Quarantined workers and those on probation are together at most
/// a third of a service, so that failing jobs can't keep gangs from running.
pub fn workers_on_probation(records: &[QuarantineRecord<'_>], now_ms: u64) -> Vec<bool> {
    let mut sizes: BTreeMap<&SmolStr, (usize, usize)> = BTreeMap::new();
    for record in records {
        let (all, quarantined) = sizes.entry(record.service).or_default();
        *all += 1;
        *quarantined += usize::from(record.is_quarantined);
    }
    let budget_of = |(all, quarantined): (usize, usize)| {
        (all / MAX_QUARANTINED_DIVISOR).saturating_sub(quarantined)
    };
    let mut budgets: BTreeMap<&SmolStr, usize> =
        sizes.into_iter().map(|(service, sizes)| (service, budget_of(sizes))).collect();
    let is_due = |record: &QuarantineRecord<'_>| {
        !record.is_quarantined
            && record
                .quarantine_end_ms
                .is_some_and(|end_ms| (end_ms..end_ms + PROBATION_DURATION_MS).contains(&now_ms))
    };
    let is_on_probation = |record: &QuarantineRecord<'_>| {
        let budget = budgets.get_mut(record.service).filter(|budget| **budget > 0);
        budget.filter(|_| is_due(record)).map(|budget| *budget -= 1).is_some()
    };
    records.iter().map(is_on_probation).collect()
}

impl WorkerCapacity<'_> {
    /// When the latest quarantine of the worker ends or ended, in ms since the Unix epoch.
    fn quarantine_end_ms(&self) -> Option<u64> {
        let is_due = self.state.consecutive_failures >= QUARANTINE_FAILURES;
        is_due.then_some(self.state.last_failure_ms + QUARANTINE_DURATION_MS)
    }

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
    /// Puts workers on probation whose quarantine has ended.
    pub(crate) fn use_probation(&mut self, now_ms: u64) {
        let mut workers: Vec<&mut WorkerCapacity<'_>> =
            self.workers.iter_mut().filter(|worker| !worker.is_evacuated).collect();
        let records: Vec<QuarantineRecord<'_>> = workers
            .iter()
            .map(|worker| QuarantineRecord {
                service: &worker.state.spec.service,
                is_quarantined: worker.is_quarantined,
                quarantine_end_ms: worker.quarantine_end_ms(),
            })
            .collect();
        let on_probation = workers_on_probation(&records, now_ms);
        for (worker, is_on_probation) in workers.iter_mut().zip(on_probation) {
            worker.is_on_probation = is_on_probation;
        }
    }

    /// Whether any worker is on probation.
    pub(crate) fn has_probation(&self) -> bool {
        self.workers.iter().any(|worker| worker.is_on_probation)
    }
}
