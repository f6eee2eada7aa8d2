//! Which workers to ask about before an advised step is placed.

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::step_queue::WaitingStep;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// Workers named in one question. The answer takes longer with each.
const MAX_ASKED: usize = 30;

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
pub(crate) fn advice_wanted(
    map: &CapacityMap<'_>,
    waiting: &WaitingStep<'_>,
    request: &StepRequest<'_>,
) -> Option<AdviceRequest> {
    let advice = request.advice?;
    let anywhere = StepRequest { advice: None, ..*request };
    let near_rack = waiting.spec.preferred_rack.as_ref();
    let is_open = |room: &&WorkerCapacity<'_>| {
        let is_usual = room.is_fit(&anywhere) && !request.failed_on.contains(&room.key);
        is_usual && !advice.is_known(room.key)
    };
    let mut open: Vec<(bool, bool, WorkerKey)> = map
        .rooms
        .iter()
        .filter(is_open)
        .map(|room| {
            let is_far = near_rack.is_some_and(|near| room.state.spec.rack != *near);
            (room.fit(&anywhere) == 0, is_far, room.key)
        })
        .collect();
    open.sort_unstable();
    let has_room = open.first().is_some_and(|(is_full, _, _)| !is_full);
    if !has_room && !waiting.is_covered {
        return None;
    }
    let workers: Vec<WorkerKey> =
        open.into_iter().take(MAX_ASKED).map(|(_, _, worker)| worker).collect();
    (!workers.is_empty()).then_some(AdviceRequest { step: waiting.key, workers })
}
