//! Capacity that other work leaves free for urgent work.
//!
//! Answers the load of bursts of urgent jobs that come every few seconds: work that takes the capacity of
//! the last burst is stopped by the next one. Background work leaves what urgent work needed at once while
//! it recently reclaimed some. Where earlier preemptions count, it leaves that for as long as it can wait,
//! and medium work leaves it too while it has time.

use crate::capacity_map::CapacityMap;
use crate::capacity_map::WorkerCapacity;
use crate::graph_state::GraphState;
use crate::graph_state::MAX_RECLAIM_RETENTION_MS;
use crate::graph_state::RECLAIM_RETENTION_MS;
use crate::job_terms::BACKGROUND_PRIORITY;
use crate::job_terms::URGENT_PRIORITY;
use crate::step_queue::WaitingStep;

/// Maximum part of a service's accelerators that is reserved for urgent work, in percent. Work must
/// not wait while less than half of a service is in use.
const MAX_RESERVED_PERCENT: u32 = 40;
/// Part of its latency objective that a step of medium priority must have left to wait, in percent. It is at
/// risk below 60 %, and would then preempt others in place of being preempted: waiting until then
/// made such preemptions five times as frequent in a trial.
const MIN_REMAINING_PERCENT: u64 = 80;

/// Capacity for urgent work, at one moment of a round.
pub(crate) struct UrgentReserve<'a> {
    pub(crate) state: &'a GraphState,
    pub(crate) map: &'a CapacityMap<'a>,
    /// Whether earlier preemptions count.
    pub(crate) uses_history: bool,
    pub(crate) now_ms: u64,
}

impl UrgentReserve<'_> {
    /// Number of the step's tasks that may be placed now, because tasks placed in the capacity would only be
    /// stopped and their work lost.
    pub(crate) fn placeable_count(&self, waiting: &WaitingStep<'_>, count: u32) -> u32 {
        let each = waiting.spec.resources.accelerators;
        let Some(retention_ms) = self.retention_ms(waiting).filter(|_| each > 0) else {
            return count;
        };
        let usable = self.workers_of(waiting).filter(|worker| worker.is_usable());
        let free: u32 = usable.map(|worker| worker.free.accelerators).sum();
        let reserved = self.reserved_accelerators(waiting, retention_ms);
        let placeable_count = (free.saturating_sub(reserved) / each).min(count);
        let placeable_count = placeable_count.max(self.lost_count(waiting).min(free / each));
        if waiting.spec.gang && placeable_count < count { 0 } else { placeable_count }
    }

    /// Number of the step's waiting tasks whose runs ended in another way than by preemption, such as with
    /// their worker. They don't wait: such a task may have ended unknown to the log, and holds back the steps
    /// after it.
    fn lost_count(&self, waiting: &WaitingStep<'_>) -> u32 {
        let Some(known) = waiting.state().filter(|_| self.uses_history && !waiting.spec.gang)
        else {
            return 0;
        };
        let has_run = |index: &u32| {
            known.tasks.get(*index as usize).is_some_and(|task| task.last_run > 0)
                && self.state.preemptions.count(waiting.key.task(*index)) == 0
        };
        u32::try_from(waiting.tasks().filter(has_run).count()).unwrap_or(u32::MAX)
    }

    /// Why the step may leave capacity free; `None` if there is none to leave.
    pub(crate) fn reason(&self, waiting: &WaitingStep<'_>) -> Option<&'static str> {
        let retention_ms = self.retention_ms(waiting)?;
        if self.reserved_accelerators(waiting, retention_ms) == 0 {
            return None;
        }
        Some(if !self.uses_history {
            "room is kept for urgent work"
        } else if self.was_preempted_recently(waiting) {
            "room is kept for urgent work: the job was preempted recently"
        } else if !waiting.spec.saves_progress {
            "room is kept for urgent work: a stop would lose all work"
        } else {
            "room is kept for urgent work"
        })
    }

    /// For how long the step leaves the capacity that urgent work needed, in ms; `None` if it leaves none.
    fn retention_ms(&self, waiting: &WaitingStep<'_>) -> Option<u64> {
        let priority = waiting.job.terms.priority;
        let is_background = priority >= BACKGROUND_PRIORITY;
        let usual_ms = is_background.then_some(RECLAIM_RETENTION_MS);
        let can_wait = self.uses_history
            && priority != URGENT_PRIORITY
            && waiting.spec.runs_to_completion()
            && self.is_half_in_use(waiting);
        if !can_wait || (!is_background && !self.has_time(waiting)) {
            return usual_ms;
        }
        let objective_ms = waiting.job.objective_ms();
        Some(objective_ms.clamp(RECLAIM_RETENTION_MS, MAX_RECLAIM_RETENTION_MS))
    }

    /// Whether a step of medium priority has time to be placed elsewhere before it is at risk.
    fn has_time(&self, waiting: &WaitingStep<'_>) -> bool {
        let remaining_ms = waiting.objective_at_ms.saturating_sub(self.now_ms);
        remaining_ms * 100 >= waiting.job.objective_ms() * MIN_REMAINING_PERCENT
    }

    fn was_preempted_recently(&self, waiting: &WaitingStep<'_>) -> bool {
        let preemptions = self.state.preemptions.job(waiting.key.job);
        preemptions.is_some_and(|job| self.now_ms < job.last_ms + RECLAIM_RETENTION_MS)
    }

    /// Whether at least half of the service's accelerators are in use; otherwise no job may wait.
    fn is_half_in_use(&self, waiting: &WaitingStep<'_>) -> bool {
        let (mut free, mut all) = (0, 0);
        for worker in self.workers_of(waiting).filter(|worker| worker.is_usable()) {
            free += worker.free.accelerators;
            all += worker.state.spec.resources.accelerators;
        }
        free * 2 <= all
    }

    /// Accelerators of the step's service that must be left free: as many as urgent work needed at once
    /// recently, less those that it holds.
    fn reserved_accelerators(&self, waiting: &WaitingStep<'_>, retention_ms: u64) -> u32 {
        let service = &waiting.job.terms.service;
        let needed = self.state.urgent_need_within(service, retention_ms, self.now_ms);
        if needed == 0 {
            return 0;
        }
        let in_use: u32 = self.workers_of(waiting).map(|worker| worker.urgent_accelerators).sum();
        let usable = self.workers_of(waiting).filter(|worker| worker.is_usable());
        let all: u32 = usable.map(|worker| worker.state.spec.resources.accelerators).sum();
        needed.saturating_sub(in_use).min(all * MAX_RESERVED_PERCENT / 100)
    }

    /// Workers of the step's service.
    fn workers_of(&self, waiting: &WaitingStep<'_>) -> impl Iterator<Item = &WorkerCapacity<'_>> {
        let service = &waiting.job.terms.service;
        self.map.workers.iter().filter(move |worker| worker.state.spec.service == *service)
    }
}
