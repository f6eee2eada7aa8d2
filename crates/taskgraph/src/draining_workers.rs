//! Selects runs to stop on draining workers.

use crate::graph_state::GraphState;
use crate::task_key::RunKey;
use crate::worker::WorkerStatus;

/// Runs that won't finish before their draining worker leaves, so that they restart elsewhere sooner.
pub(crate) fn draining_runs(state: &GraphState, now_ms: u64) -> Vec<RunKey> {
    let mut runs = Vec::new();
    for worker in state.workers.values() {
        let WorkerStatus::Draining { until_ms } = worker.status else { continue };
        for (run, held) in &worker.runs {
            let job = state.jobs.get(&run.task.step.job).filter(|job| job.is_active());
            let Some(job) = job.filter(|_| held.stop_cause.is_none()) else { continue };
            let mean_ms =
                state.durations.get(&job.terms.queue).map_or(0, |duration| duration.mean_ms);
            let ends_ms = held.placed_ms + u64::from(mean_ms);
            let outlives_worker = ends_ms > until_ms.max(now_ms);
            let is_long_running =
                job.step_spec(run.task.step.step).is_some_and(|spec| spec.long_running);
            if outlives_worker || is_long_running {
                runs.push(*run);
            }
        }
    }
    runs
}
