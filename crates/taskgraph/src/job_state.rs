//! A job as the log knows it.

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

/// Most workers remembered on which a task failed.
const MAX_FAILED_WORKERS: usize = 8;

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// It waits or runs.
    Active,
    /// Every task is done.
    Completed {
        /// When, in ms since the Unix epoch.
        at_ms: u64,
    },
    /// A task failed as often as it may.
    Failed {
        /// When, in ms since the Unix epoch.
        at_ms: u64,
    },
    /// Its caller cancelled it.
    Cancelled {
        /// When, in ms since the Unix epoch.
        at_ms: u64,
    },
}

/// A run that is placed and not known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPlacement {
    /// Number of the run.
    pub run: u32,
    /// Worker that it is placed on.
    pub worker: WorkerKey,
}

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Runs placed; more than one only where copies are allowed.
    pub current: Vec<RunPlacement>,
    /// Number of the last run; 0 before the first.
    pub last_run: u32,
    /// Runs that failed; a gang counts on its first task.
    pub failures: u16,
    /// Whether the task is done.
    pub is_done: bool,
    /// Newest checkpoint; empty where there is none. A gang keeps it on its first task.
    pub checkpoint: SmolStr,
    /// Workers on which it failed, the latest ones.
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

/// One step of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<TaskState>,
    /// Last run of a gang that counted as failed.
    pub last_failed_run: u32,
}

impl StepState {
    pub(crate) fn new(count: u32) -> Self {
        Self { tasks: vec![TaskState::default(); count as usize], last_failed_run: 0 }
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.is_done)
    }

    /// Whether any run is placed.
    pub fn has_placed_runs(&self) -> bool {
        self.tasks.iter().any(|task| !task.current.is_empty())
    }

    /// Highest run number used.
    pub fn last_run(&self) -> u32 {
        self.tasks.iter().map(|task| task.last_run).max().unwrap_or(0)
    }

    /// The task that keeps failures and checkpoint of a run: the first one for a gang.
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

/// A job as the log knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// What to run; without steps once the job has ended.
    pub spec: Arc<JobSpec>,
    /// On which terms.
    pub terms: Arc<JobTerms>,
    /// When it was accepted, in ms since the Unix epoch.
    pub accepted_ms: u64,
    /// Where it is in its life.
    pub phase: JobPhase,
    /// Steps that were placed once, by occurrence and step.
    pub steps: BTreeMap<(u32, u16), StepState>,
    /// Occurrences all of whose steps are done.
    pub finished: BTreeSet<u32>,
    /// Whether any task was ever placed.
    pub has_started: bool,
}

impl JobState {
    /// Whether it waits or runs.
    pub fn is_active(&self) -> bool {
        self.phase == JobPhase::Active
    }

    /// What a step is made of.
    pub fn step_spec(&self, step: u16) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(step))
    }

    /// Whether a step of an unfinished occurrence is done.
    pub fn is_step_done(&self, occurrence: u32, step: u16) -> bool {
        self.steps.get(&(occurrence, step)).is_some_and(StepState::is_done)
    }

    /// Whether all steps that a step waits for are done.
    pub fn is_unblocked(&self, occurrence: u32, spec: &StepSpec) -> bool {
        spec.depends_on.iter().all(|earlier| self.is_step_done(occurrence, *earlier))
    }

    /// What a step is made of, and its state.
    pub(crate) fn step_spec_and_state(
        &mut self,
        step: StepKey,
    ) -> Option<(&StepSpec, &mut StepState)> {
        let spec = self.spec.steps.get(usize::from(step.step))?;
        let entry = self.steps.entry((step.occurrence, step.step));
        Some((spec, entry.or_insert_with(|| StepState::new(spec.count))))
    }

    /// State of a step, made when it is first needed.
    pub(crate) fn step_state_mut(&mut self, occurrence: u32, step: u16) -> Option<&mut StepState> {
        let count = self.step_spec(step)?.count;
        let entry = self.steps.entry((occurrence, step));
        Some(entry.or_insert_with(|| StepState::new(count)))
    }

    /// Time by which the job is on time, in ms since the Unix epoch.
    pub fn objective_at_ms(&self, occurrence: u32) -> u64 {
        let from_ms = self.spec.due_ms(occurrence).unwrap_or(self.accepted_ms);
        from_ms.saturating_add(self.objective_ms())
    }

    /// Time within which the job is on time, in ms.
    pub fn objective_ms(&self) -> u64 {
        self.terms.objective_ms(self.spec.critical_path_ms())
    }
}
