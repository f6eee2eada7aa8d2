//! Selects the workers to request advice on before an advised step is placed.

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::step_queue::WaitingStep;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// Maximum number of workers in one request; the answer takes longer with each.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// A request to the service that advises a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Key of the step.
    pub step: StepKey,
    /// Workers to request advice on.
    pub workers: Vec<WorkerKey>,
}

/// Requests advice on workers that might run an advised step but have no valid ticket: those with
/// free capacity first, and among these those on the step's preferred rack. If no such worker has
/// free capacity, only a guaranteed step makes a request, because it may preempt other work.
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
