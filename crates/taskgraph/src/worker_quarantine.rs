//! Quarantine of workers on which runs fail.
//!
//! Handles the load of a worker that fails everything for longer than a quarantine lasts, and knows it. A
//! failed run is evidence whatever the worker says; an unhealthy response alone is none, since it may be
//! false. Together they quarantine a worker sooner and for longer.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::capacity_map::CapacityMap;
use crate::capacity_map::MAX_QUARANTINED_DIVISOR;
use crate::capacity_map::QUARANTINE_DURATION_MS;
use crate::capacity_map::QUARANTINE_FAILURES;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::graph_state::GraphState;
use crate::job_terms::URGENT_PRIORITY;
use crate::planning_options::PlanningOptions;
use crate::worker_health::HealthReport;

/// Longest quarantine after a failed run, in ms. A worker may report itself as unhealthy for good although
/// it works, and must be tested at some time.
pub(crate) const MAX_QUARANTINE_MS: u64 = 4 * QUARANTINE_DURATION_MS;

/// What is known of the failures of one worker.
#[derive(Clone, Copy, Debug)]
pub struct FailureRecord {
    /// Number of failed and stalled runs since the last run that finished.
    pub consecutive_failures: u32,
    /// When a run last failed or stalled, in ms since the Unix epoch.
    pub last_failure_ms: u64,
    /// Latest response to a health check; `None` if there is none, or if it does not count.
    pub health: Option<HealthReport>,
}

impl FailureRecord {
    /// When the quarantine for these failures ends or ended, in ms since the Unix epoch; `None` if there is
    /// no reason for one.
    pub fn quarantine_end_ms(&self) -> Option<u64> {
        let by_failures = (self.consecutive_failures >= QUARANTINE_FAILURES)
            .then_some(self.last_failure_ms + QUARANTINE_DURATION_MS);
        let longest_ms = self.last_failure_ms + MAX_QUARANTINE_MS;
        let relevant = self.health.filter(|health| {
            self.consecutive_failures > 0
                && health.unhealthy_from_ms < longest_ms
                && health.unhealthy_until_ms() > self.last_failure_ms
        });
        let by_health = relevant.map(|health| health.unhealthy_until_ms().min(longest_ms));
        by_failures.max(by_health)
    }
}

/// A worker as one of its service.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineRecord<'a> {
    /// Service that the worker belongs to.
    pub service: &'a SmolStr,
    /// Whether the worker is quarantined.
    pub is_quarantined: bool,
    /// When the latest quarantine ends or ended, in ms since the Unix epoch.
    pub quarantine_end_ms: Option<u64>,
}

/// Chooses further workers that are due, as long as they and those in quarantine are at most a third of
/// their service. Failing jobs can't take more out of use.
pub fn choose_within_limit<D>(records: &[QuarantineRecord<'_>], is_due: D) -> Vec<bool>
where
    D: Fn(&QuarantineRecord<'_>) -> bool,
{
    let mut sizes: BTreeMap<&SmolStr, (usize, usize)> = BTreeMap::new();
    for record in records {
        let (all, quarantined) = sizes.entry(record.service).or_default();
        *all += 1;
        *quarantined += usize::from(record.is_quarantined);
    }
    let choose = |record: &QuarantineRecord<'_>| {
        let is_due = !record.is_quarantined && is_due(record);
        let Some((all, used)) = sizes.get_mut(record.service).filter(|_| is_due) else {
            return false;
        };
        let has_budget = *used < *all / MAX_QUARANTINED_DIVISOR;
        *used += usize::from(has_budget);
        has_budget
    };
    records.iter().map(choose).collect()
}

impl WorkerCapacity<'_> {
    fn quarantine_end_ms(&self) -> Option<u64> {
        let record = FailureRecord {
            consecutive_failures: self.state.consecutive_failures,
            last_failure_ms: self.state.last_failure_ms,
            health: self.health,
        };
        record.quarantine_end_ms()
    }

    /// Whether the step prefers other workers that are equal: a gang or an urgent step, whose failure costs
    /// most, on a worker that reports itself as unhealthy.
    pub(crate) fn is_doubtful(&self, request: &StepRequest<'_>) -> bool {
        let is_sensitive = request.spec.gang || request.terms.priority == URGENT_PRIORITY;
        self.is_unhealthy && is_sensitive
    }
}

/// Numbers of workers with doubts about them, as the planner sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DoubtfulWorkers {
    /// Workers that report themselves as unhealthy.
    pub unhealthy: usize,
    /// Workers on probation.
    pub on_probation: usize,
}

impl DoubtfulWorkers {
    /// Counts workers at the time of the state; 0 of what the options don't use.
    pub fn count(state: &GraphState, options: PlanningOptions) -> Self {
        let mut map = CapacityMap::new(state, state.clock_ms);
        map.use_doubts(state, options, state.clock_ms);
        let workers = || map.workers.iter();
        Self {
            unhealthy: workers().filter(|worker| worker.is_unhealthy).count(),
            on_probation: workers().filter(|worker| worker.is_on_probation).count(),
        }
    }
}

impl<'a> CapacityMap<'a> {
    /// Takes doubts about workers into account as far as the options use them.
    pub fn use_doubts(&mut self, state: &GraphState, options: PlanningOptions, now_ms: u64) {
        if options.worker_health {
            self.use_worker_health(state, now_ms);
        }
        if options.probation {
            self.use_probation(now_ms);
        }
    }

    /// Takes the workers' own reports of their health into account.
    fn use_worker_health(&mut self, state: &GraphState, now_ms: u64) {
        for worker in &mut self.workers {
            worker.health = state.worker_health.report(worker.key).copied();
            worker.is_unhealthy = worker.health.is_some_and(|health| health.is_unhealthy(now_ms));
        }
        let is_due = |record: &QuarantineRecord<'_>| {
            record.quarantine_end_ms.is_some_and(|end_ms| now_ms < end_ms)
        };
        self.mark_within_limit(is_due, |worker| worker.is_quarantined = true);
    }

    /// Marks workers that are due as far as the limit of their service permits. Workers of evacuated data
    /// centres don't count.
    pub(crate) fn mark_within_limit<D, M>(&mut self, is_due: D, mark: M)
    where
        D: Fn(&QuarantineRecord<'_>) -> bool,
        M: Fn(&mut WorkerCapacity<'a>),
    {
        let workers = self.workers.iter_mut().filter(|worker| !worker.is_evacuated);
        let mut workers: Vec<&mut WorkerCapacity<'a>> = workers.collect();
        let records: Vec<QuarantineRecord<'a>> = workers
            .iter()
            .map(|worker| QuarantineRecord {
                service: &worker.state.spec.service,
                is_quarantined: worker.is_quarantined,
                quarantine_end_ms: worker.quarantine_end_ms(),
            })
            .collect();
        let chosen = choose_within_limit(&records, is_due);
        let chosen = workers.iter_mut().zip(chosen).filter(|(_, is_chosen)| *is_chosen);
        chosen.for_each(|(worker, _)| mark(worker));
    }
}
