//! Which workers to ask about before an advised step is placed.

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::step_queue::WaitingStep;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// Workers named in one question. The answer takes longer with each.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// A question for the service that advises a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Workers to ask about.
    pub workers: Vec<WorkerKey>,
}

/// Workers without a good ticket on which an advised step might run: those with free room first, and
/// of these those on its rack. Where none has room, only a step that may stop any other work asks.
pub(crate) fn advice_request_for(
    map: &CapacityMap<'_>,
    waiting: &WaitingStep<'_>,
    request: &StepRequest<'_>,
) -> Option<AdviceRequest> {
    let advice = request.advice?;
    let any_worker = StepRequest { advice: None, ..*request };
    let preferred_rack = waiting.spec.preferred_rack.as_ref();
    let is_unknown = |worker: &&WorkerCapacity<'_>| {
        let is_candidate =
            worker.is_feasible(&any_worker) && !request.failed_workers.contains(&worker.key);
        is_candidate && !advice.is_known(worker.key)
    };
    let mut candidates: Vec<(bool, bool, WorkerKey)> = map
        .workers
        .iter()
        .filter(is_unknown)
        .map(|worker| {
            let is_off_rack =
                preferred_rack.is_some_and(|preferred| worker.state.spec.rack != *preferred);
            (worker.fit_count(&any_worker) == 0, is_off_rack, worker.key)
        })
        .collect();
    candidates.sort_unstable();
    let has_free_capacity = candidates.first().is_some_and(|(is_full, _, _)| !is_full);
    if !has_free_capacity && !waiting.is_guaranteed {
        return None;
    }
    let workers: Vec<WorkerKey> =
        candidates.into_iter().take(MAX_WORKERS_PER_REQUEST).map(|(_, _, worker)| worker).collect();
    (!workers.is_empty()).then_some(AdviceRequest { step: waiting.key, workers })
}
