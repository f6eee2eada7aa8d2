//! Capacity that other work leaves free for urgent work.
//!
//! Answers the load of bursts of urgent jobs that come every few seconds: work that takes the capacity of
//! the last burst is stopped by the next one. Background work leaves what urgent work needed at once while
//! it recently reclaimed some. Where earlier preemptions count, it leaves that for as long as it can wait,
//! and medium work leaves it too while it has time. [`crate::overdue_turns`] bounds the wait of background work.

use crate::capacity_map::CapacityMap;
use crate::graph_state::GraphState;
use crate::job_terms::BACKGROUND_PRIORITY;
use crate::job_terms::URGENT_PRIORITY;
use crate::overdue_turns::OverdueTurns;
use crate::service_capacity::ServiceUsage;
use crate::step_queue::WaitingStep;
use crate::step_state::TaskState;
use crate::urgent_demand::MAX_RECLAIM_RETENTION_MS;
use crate::urgent_demand::RECLAIM_RETENTION_MS;

/// Maximum part of a service's accelerators that is reserved for urgent work, in percent. Work must
/// not wait while less than half of a service is in use.
const MAX_RESERVED_PERCENT: u32 = 40;
/// Part of its latency objective that a step of medium priority must have left to wait, in percent. It is at
/// risk below 60 %, and would then preempt others in place of being preempted: waiting until then
/// made such preemptions five times as frequent in a trial.
const MIN_REMAINING_PERCENT: u64 = 80;

/// What a step may take beside the capacity that it leaves to urgent work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StepAllowance {
    /// Number of the step's tasks that may be placed now.
    pub(crate) placeable_count: u32,
    /// Why none may be placed, if that is due to the capacity left.
    pub(crate) held_back: Option<&'static str>,
    /// Accelerators that the step leaves to urgent work.
    pub(crate) reserved: u32,
}

/// Capacity for urgent work, at one moment of a round.
pub(crate) struct UrgentReserve<'a> {
    pub(crate) state: &'a GraphState,
    pub(crate) map: &'a CapacityMap<'a>,
    /// Background jobs that leave no capacity free.
    pub(crate) turns: &'a OverdueTurns,
    /// Whether earlier preemptions count.
    pub(crate) uses_history: bool,
    pub(crate) now_ms: u64,
}

impl UrgentReserve<'_> {
    /// What the step may take. Tasks placed in the reserved capacity would only be stopped and their work
    /// lost.
    pub(crate) fn allowance(&self, waiting: &WaitingStep<'_>, count: u32) -> StepAllowance {
        let whole = StepAllowance { placeable_count: count, held_back: None, reserved: 0 };
        let each = waiting.spec.resources.accelerators;
        if each == 0 || !self.may_leave_capacity(waiting) || self.turns.has(waiting.key.job) {
            return whole;
        }
        let usage = ServiceUsage::of_usable(self.map, &waiting.job.terms.service);
        let Some(retention_ms) = self.retention_ms(waiting, &usage) else { return whole };
        let reserved = self.reserved_accelerators(waiting, &usage, retention_ms);
        let free = usage.free().accelerators;
        let placeable_count = (free.saturating_sub(reserved) / each).min(count);
        let placeable_count = placeable_count.max(self.lost_count(waiting).min(free / each));
        if placeable_count == 0 || (waiting.spec.gang && placeable_count < count) {
            let held_back = (reserved > 0).then(|| self.reason(waiting));
            return StepAllowance { placeable_count: 0, held_back, reserved };
        }
        StepAllowance { placeable_count, held_back: None, reserved }
    }

    /// Number of the step's waiting tasks whose runs ended in another way than by preemption, such as with
    /// their worker. They don't wait: such a task may have ended unknown to the log, and holds back the steps
    /// after it.
    fn lost_count(&self, waiting: &WaitingStep<'_>) -> u32 {
        let Some(known) = waiting.state().filter(|_| self.uses_history && !waiting.spec.gang)
        else {
            return 0;
        };
        let is_lost = |(index, task): &(u32, &TaskState)| {
            task.last_run > 0
                && task.is_waiting()
                && self.state.preemptions.count(waiting.key.task(*index)) == 0
        };
        u32::try_from(known.tasks().filter(is_lost).count()).unwrap_or(u32::MAX)
    }

    /// Why the step leaves capacity free.
    fn reason(&self, waiting: &WaitingStep<'_>) -> &'static str {
        if !self.uses_history {
            "room is kept for urgent work"
        } else if self.was_preempted_recently(waiting) {
            "room is kept for urgent work: the job was preempted recently"
        } else if !waiting.spec.saves_progress {
            "room is kept for urgent work: a stop would lose all work"
        } else {
            "room is kept for urgent work"
        }
    }

    /// Whether steps of this priority leave capacity free at all.
    fn may_leave_capacity(&self, waiting: &WaitingStep<'_>) -> bool {
        let priority = waiting.job.terms.priority;
        priority >= BACKGROUND_PRIORITY || (self.uses_history && priority != URGENT_PRIORITY)
    }

    /// For how long the step leaves the capacity that urgent work needed, in ms; `None` if it leaves none.
    fn retention_ms(&self, waiting: &WaitingStep<'_>, usage: &ServiceUsage) -> Option<u64> {
        let is_background = waiting.job.terms.priority >= BACKGROUND_PRIORITY;
        let usual_ms = is_background.then_some(RECLAIM_RETENTION_MS);
        // While less than half of a service is in use, no job may wait longer than usual. Without any
        // accelerators that can be used, none waits for the reserve.
        let is_half_used = usage.total.accelerators == 0 || usage.is_half_used();
        let can_wait = self.uses_history && waiting.spec.runs_to_completion() && is_half_used;
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

    /// Accelerators of the step's service that must be left free: as many as urgent work needed at once
    /// recently, less those that it holds.
    fn reserved_accelerators(
        &self,
        waiting: &WaitingStep<'_>,
        usage: &ServiceUsage,
        retention_ms: u64,
    ) -> u32 {
        let service = &waiting.job.terms.service;
        let needed = self.state.urgent_need_within(service, retention_ms, self.now_ms);
        if needed == 0 {
            return 0;
        }
        let workers = self.map.workers.iter();
        let of_service = workers.filter(|worker| worker.state.spec.service == *service);
        let in_use: u32 = of_service.map(|worker| worker.urgent_accelerators).sum();
        needed.saturating_sub(in_use).min(usage.total.accelerators * MAX_RESERVED_PERCENT / 100)
    }
}
