//! Disruption budgets: how many long-running tasks of a step the planner may still stop.
//!
//! A step may limit how many of its tasks the scheduler makes unavailable at once. Tasks that are
//! unavailable for other reasons count as well, so the budget shrinks while workers are lost.

use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::task_key::RunKey;
use crate::task_key::StepKey;

/// How long after its placement a task counts as unavailable, in ms. The platform counts a task as
/// unavailable once it has not been running for 5.5 s.
const SETTLE_MS: u64 = 5_500;

/// Runs of a step, and how many of them may be stopped now.
pub(crate) struct StepBudget {
    pub(crate) runs: Vec<RunKey>,
    pub(crate) stoppable: usize,
}

impl StepBudget {
    /// Budget of a step; `None` if it has no limit.
    pub(crate) fn of(state: &GraphState, step: StepKey, now_ms: u64) -> Option<Self> {
        let job = state.jobs.get(&step.job)?;
        let spec = job.step_spec(step.step)?;
        let max_unavailable = unavailability_limit(spec)?;
        let step_state = job.steps.get(&(step.occurrence, step.step))?;
        let mut runs = Vec::new();
        let mut unavailable = spec.count;
        for (index, task) in step_state.tasks() {
            for placement in &task.current {
                let run = RunKey { task: step.task(index), run: placement.run };
                let Some(worker) = state.workers.get(&placement.worker) else { continue };
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

/// Maximum number of unavailable tasks of a step; `None` if it has no limit. Only long-running
/// tasks can have one.
pub(crate) fn unavailability_limit(spec: &StepSpec) -> Option<u32> {
    spec.max_unavailable.filter(|_| spec.long_running)
}
