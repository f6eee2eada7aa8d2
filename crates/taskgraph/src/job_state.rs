//! State of a job, as recorded in the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::job_spec::JobSpec;
use crate::job_spec::StepSpec;
use crate::job_terms::JobTerms;
use crate::step_state::StepState;
use crate::task_key::StepKey;

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
