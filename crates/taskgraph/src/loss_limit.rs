//! How much work of other jobs a step may destroy.
//!
//! Answers the load of a full service: urgent work may preempt, but must not cost others more than it is
//! worth, and work of medium priority may do so only once it would miss its objective otherwise.

use crate::job_terms::URGENT_PRIORITY;
use crate::step_queue::Timeliness;
use crate::step_queue::WaitingStep;

/// Maximum work of other jobs that urgent work beyond its team's guarantee may destroy, in percent
/// of its own work. No more work may be lost than is started in time.
const URGENT_LOSS_PERCENT: u64 = 100;
/// Maximum work of less urgent jobs that a non-urgent job may destroy once it is at risk of missing
/// its latency objective, in percent of its own work.
const AT_RISK_LOSS_PERCENT: u64 = 25;
/// A job is at risk once less than this part of its latency objective is left, in percent.
const AT_RISK_PERCENT: u64 = 60;

/// Whether so little of the latency objective is left that the step should not wait.
pub(crate) fn is_at_risk(waiting: &WaitingStep<'_>, now_ms: u64) -> bool {
    let remaining_ms = waiting.objective_at_ms.saturating_sub(now_ms);
    remaining_ms * 100 < waiting.job.objective_ms() * AT_RISK_PERCENT
}

/// Work of other jobs that the step may destroy, in core-ms; `None` if it may not preempt any.
/// Steps covered by a guarantee may preempt at any cost. Other steps may preempt only if they
/// can still meet their latency objective, and within a share of their own work.
pub(crate) fn max_loss(waiting: &WaitingStep<'_>, count: u32, now_ms: u64) -> Option<u64> {
    if waiting.is_guaranteed {
        return Some(u64::MAX);
    }
    if waiting.spec.long_running || waiting.timeliness != Timeliness::OnTime {
        return None;
    }
    let percent = if waiting.job.terms.priority == URGENT_PRIORITY {
        URGENT_LOSS_PERCENT
    } else if is_at_risk(waiting, now_ms) {
        AT_RISK_LOSS_PERCENT
    } else {
        return None;
    };
    let own = waiting.spec.resources.weight() * u64::from(count) / 1_000;
    Some(own * u64::from(waiting.spec.estimate_ms) * percent / 100)
}
