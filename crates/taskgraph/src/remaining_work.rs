//! What is left to do for the results that callers wait for, according to the state.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::capacity_forecast::HeldCapacity;
use crate::capacity_forecast::ServiceShape;
use crate::graph_state::GraphState;
use crate::job_state::JobState;
use crate::service_capacity::ready_workers;
use crate::service_capacity::workers_of;
use crate::step_queue::TOO_LATE_FACTOR;
use crate::step_queue::WaitingStep;
use crate::step_state::StepState;
use crate::task_key::StepKey;
use crate::waiting_cost::WaitingWork;

/// A run that holds capacity of a service.
#[derive(Clone, Debug)]
pub struct RunningWork<'a> {
    /// Priority of the job.
    pub priority: u8,
    /// Team of the job.
    pub team: &'a SmolStr,
    /// Capacity that the run holds, and for how long.
    pub held: HeldCapacity,
    /// Whether the run was asked to stop.
    pub is_stopping: bool,
    /// Whether the run was placed after the job had missed its objective.
    pub is_late: bool,
}

/// Shape and runs of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoad<'a> {
    /// Shapes of the workers that can be used.
    pub shape: ServiceShape,
    /// Runs of known jobs.
    pub running: Vec<RunningWork<'a>>,
    /// Longest time until a run of a step ends, in ms.
    remaining_ms: BTreeMap<StepKey, u64>,
}

impl<'a> ServiceLoad<'a> {
    /// Load of a service. The times until runs end follow from the queues' measured run times.
    pub fn new(state: &'a GraphState, service: &str, now_ms: u64) -> Self {
        let mut load = Self::default();
        ready_workers(state, service).for_each(|worker| load.shape.add_worker(worker));
        for (run, known) in workers_of(state, service).flat_map(|worker| &worker.runs) {
            let step = run.task.step;
            let Some(job) = state.jobs.get(&step.job) else { continue };
            let spec = job.step_spec(step.step);
            let remaining_ms = match spec {
                _ if known.stop_cause.is_some() => 0,
                Some(spec) if !spec.runs_to_completion() => u64::MAX,
                Some(spec) => {
                    let ends_ms = known.placed_ms.saturating_add(state.expected_run_ms(job, spec));
                    ends_ms.saturating_sub(now_ms)
                }
                None => 0,
            };
            let size = load.shape.size(&known.resources);
            let held = HeldCapacity { remaining_ms, size };
            let (priority, team) = (job.terms.priority, &job.terms.team);
            let is_stopping = known.stop_cause.is_some();
            let is_late = known.placed_ms > job.objective_at_ms(step.occurrence);
            load.running.push(RunningWork { priority, team, held, is_stopping, is_late });
            if !is_stopping {
                let longest_ms = load.remaining_ms.entry(step).or_default();
                *longest_ms = remaining_ms.max(*longest_ms);
            }
        }
        load
    }

    /// Capacity that the waiting tasks of a step need at once.
    pub fn needed_capacity(&mut self, waiting: &WaitingStep<'_>) -> u64 {
        let size = self.shape.size(&waiting.spec.held_resources());
        size.saturating_mul(u64::from(waiting.count))
    }

    /// Capacity that must be free at once for a step to begin.
    pub fn first_size(&mut self, waiting: &WaitingStep<'_>) -> u64 {
        let size = self.shape.size(&waiting.spec.held_resources());
        if waiting.spec.gang { size.saturating_mul(u64::from(waiting.count)) } else { size }
    }

    /// What is left to do for the occurrence of a waiting step. Steps that wait for others count too.
    pub fn waiting_work(&mut self, state: &GraphState, waiting: &WaitingStep<'_>) -> WaitingWork {
        let job = waiting.job;
        let objective_ms = job.objective_ms();
        let first_size = self.first_size(waiting);
        let (work, path_ms) = self.remaining(state, waiting.key, job);
        WaitingWork {
            objective_at_ms: waiting.objective_at_ms,
            useless_at_ms: waiting.waiting_since_ms.saturating_add(TOO_LATE_FACTOR * objective_ms),
            work,
            path_ms,
            first_size,
            is_begun: !job.steps.is_empty(),
            is_above_share: false,
        }
    }

    /// Work of an occurrence that is not placed, in capacity times ms, and the length of the longest
    /// chain of its steps that are not done, in ms.
    fn remaining(&mut self, state: &GraphState, key: StepKey, job: &JobState) -> (u128, u64) {
        let mut work = 0;
        let mut ends: Vec<u64> = Vec::with_capacity(job.spec.steps.len());
        for (step, spec) in (0..).zip(&job.spec.steps) {
            let starts = spec.depends_on.iter().filter_map(|step| ends.get(usize::from(*step)));
            let start_ms = starts.max().copied().unwrap_or(0);
            let step_state = job.steps.get(&(key.occurrence, step));
            let count = step_state.map_or(spec.count, StepState::waiting_count);
            let run_ms =
                if spec.runs_to_completion() { state.expected_run_ms(job, spec) } else { 0 };
            let resources = spec.held_resources();
            let slots = self.shape.slots(&resources).max(1);
            let size = self.shape.size(&resources);
            work += u128::from(size) * u128::from(count) * u128::from(run_ms);
            let waves_ms = u64::from(count.div_ceil(slots)) * run_ms;
            let step_key = StepKey { step, ..key };
            let running_ms = self.remaining_ms.get(&step_key).copied().unwrap_or(0);
            let running_ms = if spec.runs_to_completion() { running_ms } else { 0 };
            ends.push(start_ms.saturating_add(waves_ms.max(running_ms)));
        }
        (work, ends.into_iter().max().unwrap_or(0))
    }
}
