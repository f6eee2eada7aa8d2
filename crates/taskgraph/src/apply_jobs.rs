//! Effects of records about jobs.

use std::sync::Arc;

use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ensure;

use crate::graph_state::GraphEffect;
use crate::graph_state::GraphOutcome;
use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::JobSpec;
use crate::job_state::JobPhase;
use crate::job_state::JobState;
use crate::job_terms::JobTerms;
use crate::queue_table::QueueVersion;
use crate::refusal::JobEndedSnafu;
use crate::refusal::TooManyCancellationsSnafu;
use crate::refusal::UnknownJobSnafu;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::StopCause;

impl GraphState {
    /// Accepts a job of a queue that has no address, as previous releases did.
    pub(crate) fn job_accepted(
        &mut self,
        job: JobId,
        spec: &JobSpec,
        terms: &JobTerms,
    ) -> GraphEffect {
        if !self.jobs.contains_key(&job) {
            self.add_job(job, spec, terms, &terms.queue);
        }
        GraphEffect::Job
    }

    /// Adds a job, as cancelled if it was cancelled early at `queue`.
    fn add_job(&mut self, job: JobId, spec: &JobSpec, terms: &JobTerms, queue: &str) {
        let state = JobState {
            spec: Arc::new(spec.clone()),
            terms: Arc::new(terms.clone()),
            accepted_ms: self.clock_ms,
            phase: JobPhase::Active,
            steps: Default::default(),
            finished: Default::default(),
            has_started: false,
        };
        self.jobs.insert(job, state);
        self.active.insert(job);
        if self.early_cancellations.take(&terms.team, queue, job) {
            self.end_job(job, JobPhase::Cancelled { at_ms: self.clock_ms });
        }
    }

    /// Accepts a job at the address of a queue. Later records with the same identity are repeated
    /// submissions and change nothing. The queue's service is that of the latest version of the
    /// configuration, which may be later or earlier than the one that the caller's entry knew.
    ///
    /// # Errors
    /// [`crate::refusal::GraphRefusal::StateFull`]; the job is then not accepted.
    pub(crate) fn job_submitted(
        &mut self,
        job: JobId,
        spec: &JobSpec,
        terms: &JobTerms,
        address: &SmolStr,
        version: u64,
    ) -> GraphOutcome {
        if self.jobs.contains_key(&job) {
            return Ok(GraphEffect::Job);
        }
        self.check_room(job, spec)?;
        self.spec_budget.add(spec.memory_bytes());
        let JobTerms { queue: name, service, .. } = terms.clone();
        self.queues.add_job(address, QueueVersion { version, name, service }, job);
        self.add_job(job, spec, terms, address);
        self.move_jobs(address);
        Ok(GraphEffect::Job)
    }

    /// Cancels a job that its caller's entry did not have, or keeps the cancellation for a submission
    /// that comes to the log later. `queue` is the queue's address, or its name in records of previous
    /// releases.
    pub(crate) fn unknown_job_cancelled(
        &mut self,
        job: JobId,
        queue: &SmolStr,
        team: &SmolStr,
    ) -> GraphOutcome {
        if let Some(known) = self.jobs.get(&job) {
            let address = self.queues.of_job(job).map(|(address, _)| address);
            let is_visible = address.unwrap_or(&known.terms.queue) == queue
                && (team.is_empty() || known.terms.team == *team);
            ensure!(is_visible, UnknownJobSnafu { job });
            return self.job_cancelled(job);
        }
        if !self.early_cancellations.contains(team, queue, job) {
            let is_full = self.early_cancellations.is_full(team);
            ensure!(!is_full, TooManyCancellationsSnafu { team: team.clone() });
            self.early_cancellations.insert(team.clone(), queue.clone(), job, self.clock_ms);
        }
        Ok(GraphEffect::CancelledEarly)
    }

    pub(crate) fn job_cancelled(&mut self, job: JobId) -> GraphOutcome {
        let state = self.jobs.get(&job).context(UnknownJobSnafu { job })?;
        ensure!(state.is_active(), JobEndedSnafu { job });
        self.stop_job(job, StopCause::Cancelled);
        self.end_job(job, JobPhase::Cancelled { at_ms: self.clock_ms });
        Ok(GraphEffect::Done)
    }

    /// Requests all runs of a job to stop.
    pub(crate) fn stop_job(&mut self, job: JobId, cause: StopCause) {
        let Some(state) = self.jobs.get(&job) else { return };
        let keys: Vec<(u32, u16)> = state.steps.keys().copied().collect();
        for (occurrence, step) in keys {
            self.stop_step(StepKey { job, occurrence, step }, cause);
        }
    }

    /// Requests all runs of a step to stop.
    pub(crate) fn stop_step(&mut self, step: StepKey, cause: StopCause) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(state) = job.steps.get(&(step.occurrence, step.step)) else { return };
        let mut runs = Vec::new();
        for (index, task) in state.tasks() {
            for placement in &task.current {
                runs.push((
                    placement.worker,
                    RunKey { task: step.task(index), run: placement.run },
                ));
            }
        }
        for (worker, run) in runs {
            self.stop_run(worker, run, cause);
        }
    }

    /// Marks the occurrence of a step as finished if all of its steps are done, and ends the job
    /// once every occurrence is finished.
    pub(crate) fn finish_occurrence(&mut self, step: StepKey) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let steps = (0..).take(job.spec.steps.len());
        let is_over = steps.into_iter().all(|number| job.is_step_done(step.occurrence, number));
        if !is_over {
            return;
        }
        job.finished.insert(step.occurrence);
        // The remaining members of a finished gang end by themselves; nothing else needs the step
        // states.
        job.steps.retain(|(occurrence, _), _| *occurrence != step.occurrence);
        self.preemptions.forget_occurrence(step.job, step.occurrence);
        if job.finished.len() >= job.spec.occurrences() as usize {
            self.end_job(step.job, JobPhase::Completed { at_ms: self.clock_ms });
        }
    }
}
