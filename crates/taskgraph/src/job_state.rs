//! State of a job and of its steps and tasks, as recorded in the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::job_spec::JobSpec;
use crate::job_spec::StepSpec;
use crate::job_terms::JobTerms;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// Maximum number of workers that are remembered per task because the task failed there.
const MAX_FAILED_WORKERS: usize = 8;

/// Phase of a job's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// The job is waiting or running.
    Active,
    /// Every task is done.
    Completed {
        /// When the job ended, in ms since the Unix epoch.
        at_ms: u64,
    },
    /// A task used up its attempts.
    Failed {
        /// When the job ended, in ms since the Unix epoch.
        at_ms: u64,
    },
    /// The caller cancelled the job.
    Cancelled {
        /// When the job ended, in ms since the Unix epoch.
        at_ms: u64,
    },
}

/// A run that was placed and is not known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPlacement {
    /// Number of the run.
    pub run: u32,
    /// Worker that the run was placed on.
    pub worker: WorkerKey,
}

/// State of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Current runs; more than one only if the step is speculative.
    pub current: Vec<RunPlacement>,
    /// Number of the last run that was placed; 0 before the first.
    pub last_run: u32,
    /// Number of failed runs. A gang's failures are counted on its first task.
    pub failures: u16,
    /// Whether the task is done.
    pub is_done: bool,
    /// Latest checkpoint; empty if there is none. A gang's checkpoint is stored on its first task.
    pub checkpoint: SmolStr,
    /// Workers on which the task most recently failed, stalled or was refused.
    pub failed_workers: Vec<WorkerKey>,
}

impl TaskState {
    pub(crate) fn record_failure(&mut self, worker: WorkerKey) {
        self.failures = self.failures.saturating_add(1);
        self.record_failed_worker(worker);
    }

    pub(crate) fn record_failed_worker(&mut self, worker: WorkerKey) {
        if self.failed_workers.len() == MAX_FAILED_WORKERS {
            self.failed_workers.remove(0);
        }
        self.failed_workers.push(worker);
    }
}

/// State of one step of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// Tasks of the step, by index.
    pub tasks: Vec<TaskState>,
    /// Last run of a gang that was counted as failed.
    pub last_failed_run: u32,
    /// Number of tasks that are done.
    done_count: u32,
}

impl StepState {
    pub(crate) fn new(count: u32) -> Self {
        Self { tasks: vec![TaskState::default(); count as usize], ..Self::default() }
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.done_count as usize >= self.tasks.len()
    }

    /// Number of tasks that are not done.
    pub fn remaining_count(&self) -> u32 {
        let count = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
        count.saturating_sub(self.done_count)
    }

    /// Marks a task as done.
    pub(crate) fn complete(&mut self, index: u32) {
        if let Some(task) = self.tasks.get_mut(index as usize).filter(|task| !task.is_done) {
            task.is_done = true;
            self.done_count += 1;
        }
    }

    /// Whether any task has a current run.
    pub fn has_placed_runs(&self) -> bool {
        self.tasks.iter().any(|task| !task.current.is_empty())
    }

    /// Highest run number of any task.
    pub fn last_run(&self) -> u32 {
        self.tasks.iter().map(|task| task.last_run).max().unwrap_or(0)
    }

    /// Task that stores the failures and the checkpoint of task `index`: the first task for a gang,
    /// otherwise the task itself.
    pub fn representative(&self, spec: &StepSpec, index: u32) -> Option<&TaskState> {
        self.tasks.get(if spec.gang { 0 } else { index as usize })
    }

    pub(crate) fn representative_mut(
        &mut self,
        spec: &StepSpec,
        index: u32,
    ) -> Option<&mut TaskState> {
        self.tasks.get_mut(if spec.gang { 0 } else { index as usize })
    }
}

/// State of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Specification; empty once the job has ended.
    pub spec: Arc<JobSpec>,
    /// Terms under which the job was accepted.
    pub terms: Arc<JobTerms>,
    /// When the job was accepted, in ms since the Unix epoch.
    pub accepted_ms: u64,
    /// Phase of the life cycle.
    pub phase: JobPhase,
    /// Steps that have been placed at least once, by occurrence and step.
    pub steps: BTreeMap<(u32, u16), StepState>,
    /// Occurrences all of whose steps are done.
    pub finished: BTreeSet<u32>,
    /// Whether a worker has started any task. A task that is only placed may be refused there.
    pub has_started: bool,
}

impl JobState {
    /// Whether the job is waiting or running.
    pub fn is_active(&self) -> bool {
        self.phase == JobPhase::Active
    }

    /// Whether the job is active and no worker has started a task of it.
    pub fn is_pending(&self) -> bool {
        self.is_active() && !self.has_started
    }

    /// Specification of a step.
    pub fn step_spec(&self, step: u16) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(step))
    }

    /// Whether a step is done, in an occurrence that is not yet finished.
    pub fn is_step_done(&self, occurrence: u32, step: u16) -> bool {
        self.steps.get(&(occurrence, step)).is_some_and(StepState::is_done)
    }

    /// Whether all dependencies of a step are done.
    pub fn is_unblocked(&self, occurrence: u32, spec: &StepSpec) -> bool {
        spec.depends_on.iter().all(|earlier| self.is_step_done(occurrence, *earlier))
    }

    /// Specification and state of a step; the state is created on first use.
    pub(crate) fn step_spec_and_state(
        &mut self,
        step: StepKey,
    ) -> Option<(&StepSpec, &mut StepState)> {
        let spec = self.spec.steps.get(usize::from(step.step))?;
        let entry = self.steps.entry((step.occurrence, step.step));
        Some((spec, entry.or_insert_with(|| StepState::new(spec.count))))
    }

    /// State of a step, created on first use.
    pub(crate) fn step_state_mut(&mut self, occurrence: u32, step: u16) -> Option<&mut StepState> {
        let count = self.step_spec(step)?.count;
        let entry = self.steps.entry((occurrence, step));
        Some(entry.or_insert_with(|| StepState::new(count)))
    }

    /// Time by which an occurrence must finish to meet the latency objective, in ms since the Unix
    /// epoch.
    pub fn objective_at_ms(&self, occurrence: u32) -> u64 {
        let from_ms = self.spec.due_ms(occurrence).unwrap_or(self.accepted_ms);
        from_ms.saturating_add(self.objective_ms())
    }

    /// Latency objective, in ms.
    pub fn objective_ms(&self) -> u64 {
        self.terms.objective_ms(self.spec.critical_path_ms())
    }
}
