//! How many lasting tasks of a step the planner may still stop.
//!
//! A step may limit how many of its tasks are away at once by the scheduler's own doing. Tasks that
//! are away for any other cause count too, so the budget shrinks while workers are lost.

use std::collections::BTreeMap;

use crate::graph_state::GraphState;
use crate::task_key::StepKey;
use crate::worker::HeldRun;
use crate::worker::WorkerState;

/// Time after its placing for which a task counts as away, in ms. The platform counts a task that
/// is not at work for 5.5 s.
const SETTLING_MS: u64 = 5_500;

/// Tasks at work of each step that limits how many may be away.
#[derive(Debug, Default)]
pub(crate) struct DisruptionBudget {
    at_work: BTreeMap<StepKey, u32>,
}

impl DisruptionBudget {
    pub(crate) fn new(state: &GraphState, now_ms: u64) -> Self {
        let mut budget = Self::default();
        for worker in state.workers.values() {
            for (run, held) in &worker.runs {
                if is_at_work(worker, held, now_ms) {
                    *budget.at_work.entry(run.task.step).or_default() += 1;
                }
            }
        }
        budget
    }

    /// Tasks of a step that may be stopped now; nothing where the step sets no limit.
    pub(crate) fn stoppable(&self, state: &GraphState, step: StepKey) -> Option<usize> {
        let spec = state.jobs.get(&step.job)?.step_spec(step.step)?;
        let may_miss = spec.may_miss.filter(|_| spec.long_running)?;
        let at_work = self.at_work.get(&step).copied().unwrap_or(0);
        let away = spec.count.saturating_sub(at_work);
        Some(usize::try_from(may_miss.saturating_sub(away)).unwrap_or(usize::MAX))
    }
}

fn is_at_work(worker: &WorkerState, held: &HeldRun, now_ms: u64) -> bool {
    worker.is_ready() && held.stop.is_none() && now_ms >= held.placed_ms + SETTLING_MS
}
