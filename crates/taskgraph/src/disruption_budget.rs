//! How many lasting tasks of a step the planner may still stop.
//!
//! A step may limit how many of its tasks are away at once by the scheduler's own doing. Tasks that
//! are away for any other cause count too, so the budget shrinks while workers are lost.

use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::task_key::RunKey;
use crate::task_key::StepKey;

/// Time after its placing for which a task counts as away, in ms. The platform counts a task that
/// is not at work for 5.5 s.
const SETTLE_MS: u64 = 5_500;

/// Runs of a step, and how many of them may be stopped now.
pub(crate) struct StepBudget {
    pub(crate) runs: Vec<RunKey>,
    pub(crate) stoppable: usize,
}

impl StepBudget {
    /// The budget of a step; nothing where it sets no limit.
    pub(crate) fn of(state: &GraphState, step: StepKey, now_ms: u64) -> Option<Self> {
        let job = state.jobs.get(&step.job)?;
        let spec = job.step_spec(step.step)?;
        let max_unavailable = unavailability_limit(spec)?;
        let tasks = &job.steps.get(&(step.occurrence, step.step))?.tasks;
        let mut runs = Vec::new();
        let mut unavailable = spec.count;
        for (index, task) in (0..).zip(tasks) {
            for place in &task.current {
                let run = RunKey { task: step.task(index), run: place.run };
                let Some(worker) = state.workers.get(&place.worker) else { continue };
                let Some(held) = worker.runs.get(&run) else { continue };
                let is_settled = now_ms >= held.placed_ms + SETTLE_MS;
                if worker.is_ready() && held.stop_cause.is_none() && is_settled {
                    unavailable = unavailable.saturating_sub(1);
                }
                runs.push(run);
            }
        }
        let stoppable =
            usize::try_from(max_unavailable.saturating_sub(unavailable)).unwrap_or(usize::MAX);
        Some(Self { runs, stoppable })
    }
}

/// How many tasks of a step may be away at once; nothing where that is not limited.
pub(crate) fn unavailability_limit(spec: &StepSpec) -> Option<u32> {
    spec.max_unavailable.filter(|_| spec.long_running)
}
