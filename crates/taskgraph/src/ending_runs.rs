//! Runs that are about to end, and steps that can wait for them.
//!
//! Answers the load of urgent jobs that come when much of the running work is nearly done: stopping a run
//! takes about as long as its end and loses all of it. A step waits for such runs only as long as it can
//! still preempt them afterwards and begin in time.

use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;
use crate::step_queue::WaitingStep;
use crate::worker::HeldRun;
use crate::worker::WorkerKey;

/// Maximum time that a worker takes to stop a run, in ms.
pub const STOP_MS: u64 = 900;
/// Time beyond its typical run time for which a run still counts as about to end, in ms. Run times vary by
/// half, so a longer run tells little about its end.
const MAX_OVERDUE_MS: u64 = STOP_MS / 2;
/// Time from a decision to preempt until the stop reaches the worker, and from the end of the stop until
/// the start does, in ms: two planning rounds and appends.
pub(crate) const DISPATCH_MS: u64 = 300;
/// Time from acceptance within which all tasks of a guaranteed job's first step have started, in ms.
const GUARANTEED_START_MS: u64 = 2_700;

/// When a run is expected to end, in ms since the Unix epoch, if that is within the time that stopping it
/// takes; otherwise `None`.
pub(crate) fn ending_ms(
    state: &GraphState,
    job: &JobState,
    spec: &StepSpec,
    worker: WorkerKey,
    held: &HeldRun,
    now_ms: u64,
) -> Option<u64> {
    if !spec.runs_to_completion() || state.is_slow(worker, now_ms) {
        return None;
    }
    let ends_ms = held.placed_ms + state.typical_run_ms(job, spec);
    let is_ending = ends_ms <= now_ms + STOP_MS && now_ms <= ends_ms + MAX_OVERDUE_MS;
    is_ending.then_some(ends_ms.max(now_ms))
}

/// Until when a step can wait for capacity and still preempt other runs in time for its objective, and in
/// time for its guarantee, in ms since the Unix epoch.
pub(crate) fn latest_wait_ms(waiting: &WaitingStep<'_>) -> u64 {
    let path_ms = waiting.job.spec.path_from_ms(waiting.key.step);
    let start_ms = waiting.objective_at_ms.saturating_sub(path_ms);
    let guaranteed_ms = waiting.waiting_since_ms + GUARANTEED_START_MS;
    let is_bound = waiting.is_guaranteed && !waiting.job.has_started;
    let start_ms = if is_bound { start_ms.min(guaranteed_ms) } else { start_ms };
    start_ms.saturating_sub(STOP_MS + DISPATCH_MS)
}
