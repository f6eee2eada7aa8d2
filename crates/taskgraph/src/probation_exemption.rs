//! Decides whether a step may use workers on probation as if they were not.

use crate::capacity_map::StepRequest;
use crate::capacity_map::is_complete;
use crate::ending_runs::latest_wait_ms;
use crate::job_terms::URGENT_PRIORITY;
use crate::loss_limit::max_loss;
use crate::plan_round::PlanningRound;
use crate::reclaim::PreemptionScope;
use crate::reclaim::ReclaimTerms;
use crate::reclaim::plan_reclaim;
use crate::step_queue::WaitingStep;

impl PlanningRound<'_> {
    /// Whether workers on probation count as others for the step: a gang that the other workers could not
    /// hold even if they were empty, or an urgent step for which they have no capacity, neither free nor
    /// to be preempted.
    pub(crate) fn uses_probation(
        &self,
        waiting: &WaitingStep<'_>,
        request: &StepRequest<'_>,
    ) -> bool {
        if !self.map.has_probation(&request.terms.service) {
            return false;
        }
        let is_urgent = request.terms.priority == URGENT_PRIORITY;
        (request.spec.gang && !self.fits_when_empty(request))
            || (is_urgent && !self.has_capacity(waiting, request))
    }

    /// Whether there is capacity for all of the step's tasks, free or to be preempted.
    fn has_capacity(&self, waiting: &WaitingStep<'_>, request: &StepRequest<'_>) -> bool {
        let count = waiting.round_count();
        if is_complete(&self.find_allocation(waiting, request, count), count) {
            return true;
        }
        let Some(limit) = max_loss(waiting, count, self.now_ms) else { return false };
        let terms = reclaim_terms(waiting, limit);
        let plan = plan_reclaim(&self.map, &self.victims, terms, request, count);
        plan.is_some_and(|plan| is_complete(&plan.allocation, count))
    }
}

/// What a step may preempt, if it destroys no more work than `max_loss`.
pub(crate) fn reclaim_terms(waiting: &WaitingStep<'_>, max_loss: u64) -> ReclaimTerms {
    let scope = if waiting.is_guaranteed {
        PreemptionScope::AllUnguaranteed
    } else {
        PreemptionScope::LessUrgentThan(waiting.job.terms.priority)
    };
    ReclaimTerms { scope, max_loss, latest_wait_ms: latest_wait_ms(waiting) }
}
