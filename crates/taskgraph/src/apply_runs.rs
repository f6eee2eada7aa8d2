//! Effects of records about runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ensure;

use crate::graph_state::GraphEffect;
use crate::graph_state::GraphOutcome;
use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::job_state::JobPhase;
use crate::job_state::JobState;
use crate::job_terms::JobTerms;
use crate::record::EndKind;
use crate::record::RunEnd;
use crate::record::TaskPlacement;
use crate::refusal::DataCentreEvacuatedSnafu;
use crate::refusal::GraphRefusal;
use crate::refusal::JobEndedSnafu;
use crate::refusal::NoRoomSnafu;
use crate::refusal::StepNotReadySnafu;
use crate::refusal::UnknownJobSnafu;
use crate::refusal::UnknownWorkerSnafu;
use crate::refusal::WorkerNotReadySnafu;
use crate::refusal::WorkerUnfitSnafu;
use crate::refusal::WrongRunSnafu;
use crate::step_state::RunPlacement;
use crate::step_state::StepState;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::HeldRun;
use crate::worker::StopCause;
use crate::worker::WorkerKey;

impl GraphState {
    /// Places all of the given tasks, or none.
    pub(crate) fn runs_placed(&mut self, step: StepKey, tasks: &[TaskPlacement]) -> GraphOutcome {
        let job = self.jobs.get(&step.job).context(UnknownJobSnafu { job: step.job })?;
        ensure!(job.is_active(), JobEndedSnafu { job: step.job });
        let spec = job.step_spec(step.step);
        let spec = spec.context(StepNotReadySnafu { step, reason: "no such step" })?;
        check_step(job, step, spec, tasks)?;
        self.check_workers(job, step, spec, tasks)?;
        let resources = spec.held_resources();
        let placed_ms = self.clock_ms;
        for task in tasks {
            let held = HeldRun { resources, placed_ms, stop_cause: None };
            let run = RunKey { task: step.task(task.index), run: task.run };
            if let Some(worker) = self.workers.get_mut(&task.worker) {
                worker.hold(run, held);
            }
        }
        let Some(job) = self.jobs.get_mut(&step.job) else { return Ok(GraphEffect::Done) };
        let Some(state) = job.step_state_mut(step.occurrence, step.step) else {
            return Ok(GraphEffect::Done);
        };
        for placed in tasks {
            state.place(placed.index, RunPlacement { run: placed.run, worker: placed.worker });
        }
        Ok(GraphEffect::Done)
    }

    fn check_workers(
        &self,
        job: &JobState,
        step: StepKey,
        spec: &StepSpec,
        tasks: &[TaskPlacement],
    ) -> Result<(), GraphRefusal> {
        let mut counts: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        for task in tasks {
            *counts.entry(task.worker).or_default() += 1;
        }
        for (worker, count) in counts {
            let state = self.workers.get(&worker).context(UnknownWorkerSnafu { worker })?;
            ensure!(state.is_ready(), WorkerNotReadySnafu { worker });
            ensure!(!self.is_evacuated(state), DataCentreEvacuatedSnafu { worker });
            let is_feasible = state.spec.service == job.terms.service
                && state.has_label(spec.required_label.as_ref());
            ensure!(is_feasible, WorkerUnfitSnafu { worker, step });
            let has_capacity = state.free().covers(&spec.held_resources().scaled(count));
            ensure!(has_capacity, NoRoomSnafu { worker, step });
            let limit = spec.max_per_worker;
            let held = || state.runs.keys().filter(|run| run.task.step == step).count();
            let is_within_limit = limit == 0 || held() + count as usize <= limit as usize;
            ensure!(is_within_limit, WorkerUnfitSnafu { worker, step });
        }
        Ok(())
    }

    /// Records that workers have started runs, which the log has placed at some time.
    pub(crate) fn runs_started(&mut self, runs: &[RunKey]) -> GraphEffect {
        for run in runs {
            let step = run.task.step;
            let Some(job) = self.jobs.get_mut(&step.job) else { continue };
            let state = job.steps.get(&(step.occurrence, step.step));
            let index = run.task.index;
            job.has_started |= state
                .is_some_and(|state| state.has_task(index) && state.last_run_of(index) >= run.run);
        }
        GraphEffect::Done
    }

    /// Requests runs to stop. If one is a member of a gang, the whole gang is stopped.
    pub(crate) fn runs_stopped(&mut self, cause: StopCause, runs: &[RunKey]) -> GraphEffect {
        let mut reclaimed_services = BTreeSet::new();
        for &run in runs {
            let Some(worker) = self.worker_of(run) else { continue };
            if cause == StopCause::Reclaimed {
                let known = self.workers.get(&worker);
                reclaimed_services.extend(known.map(|known| known.spec.service.clone()));
                self.record_preemption(run);
            }
            let step = run.task.step;
            let spec = self.jobs.get(&step.job).and_then(|job| job.step_spec(step.step));
            if spec.is_some_and(|spec| spec.gang) {
                self.stop_step(step, cause);
                continue;
            }
            self.stop_run(worker, run, cause);
        }
        for service in reclaimed_services {
            self.record_reclaim(service);
        }
        GraphEffect::Done
    }

    /// Stops runs that make no progress, and remembers the worker as one to avoid.
    pub(crate) fn runs_stalled(&mut self, worker: WorkerKey, runs: &[RunKey]) -> GraphEffect {
        let is_on_worker = |run: &RunKey| self.worker_of(*run) == Some(worker);
        let runs: Vec<RunKey> = runs.iter().copied().filter(is_on_worker).collect();
        for &run in &runs {
            self.record_stall(worker, run);
        }
        self.runs_stopped(StopCause::Stalled, &runs)
    }

    /// Records a stall for the task, and for the worker unless the run is a gang member: a gang
    /// stalls on all workers when one member does, so it says nothing about a single worker.
    fn record_stall(&mut self, worker: WorkerKey, run: RunKey) {
        let step = run.task.step;
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some((spec, state)) = job.step_spec_and_state(step) else { return };
        if let Some(representative) = state.representative_mut(spec, run.task.index) {
            representative.record_failed_worker(worker);
        }
        if let Some(known) = self.workers.get_mut(&worker).filter(|_| !spec.gang) {
            known.consecutive_failures = known.consecutive_failures.saturating_add(1);
            known.last_failure_ms = self.clock_ms;
        }
    }

    pub(crate) fn runs_ended(
        &mut self,
        writer: u64,
        worker: WorkerKey,
        ends: &[RunEnd],
    ) -> GraphOutcome {
        self.check_agent(writer, worker)?;
        let mut superseded = Vec::new();
        for end in ends {
            let is_held =
                self.workers.get(&worker).is_some_and(|known| known.runs.contains_key(&end.run));
            if is_held {
                self.run_ended(worker, end);
            } else if end.kind == EndKind::Done && !self.apply_abandoned_end(end.run) {
                superseded.push(end.run);
            }
        }
        Ok(GraphEffect::Ended { superseded })
    }

    /// Processes the end of an abandoned run, one whose worker had been removed. The result counts
    /// unless the task was restarted. Returns whether the end may be acknowledged to the worker.
    fn apply_abandoned_end(&mut self, run: RunKey) -> bool {
        let step = run.task.step;
        let Some(job) = self.jobs.get_mut(&step.job).filter(|job| job.is_active()) else {
            return true;
        };
        if job.finished.contains(&step.occurrence) {
            return true;
        }
        let spec = job.spec.clone();
        let Some(spec) = spec.steps.get(usize::from(step.step)) else { return true };
        let Some(state) = job.step_state_mut(step.occurrence, step.step) else { return true };
        let index = run.task.index;
        if !state.has_task(index) {
            return true;
        }
        if state.last_run_of(index) != run.run {
            return false;
        }
        if !state.is_task_done(index) && !spec.long_running {
            self.complete_task(step, index, spec);
        }
        true
    }

    /// Releases the resources of a run and applies the consequences of its end to the task.
    pub(crate) fn run_ended(&mut self, worker: WorkerKey, end: &RunEnd) {
        let clock_ms = self.clock_ms;
        let Some(state) = self.workers.get_mut(&worker) else { return };
        let Some(held) = state.release(end.run) else { return };
        match end.kind {
            EndKind::Done => state.consecutive_failures = 0,
            EndKind::Failed => {
                state.consecutive_failures = state.consecutive_failures.saturating_add(1);
                state.last_failure_ms = clock_ms;
            }
            _ => {}
        }
        self.apply_end_to_task(worker, end, &held);
    }

    fn apply_end_to_task(&mut self, worker: WorkerKey, end: &RunEnd, held: &HeldRun) {
        let step = end.run.task.step;
        let index = end.run.task.index;
        let Some(job) = self.jobs.get_mut(&step.job).filter(|job| job.is_active()) else { return };
        let spec = job.spec.clone();
        let Some(spec) = spec.steps.get(usize::from(step.step)) else { return };
        job.has_started |= end.kind.implies_start();
        if job.finished.contains(&step.occurrence) {
            return;
        }
        let is_advised = job.terms.is_advised;
        let Some(state) = job.step_state_mut(step.occurrence, step.step) else { return };
        state.remove_run(index, end.run.run);
        if !state.has_task(index) || state.is_representative_done(spec, index) {
            return;
        }
        if let Some(representative) = state.representative_mut(spec, index)
            && !end.checkpoint.is_empty()
        {
            representative.checkpoint = end.checkpoint.clone();
        }
        match end.kind {
            EndKind::Done if spec.long_running => self.stop_gang(step, spec),
            EndKind::Done => {
                let terms = job.terms.clone();
                self.record_duration(&terms, spec, end, held);
                self.record_run_time(worker, end, held);
                self.complete_task(step, index, spec);
            }
            EndKind::Failed => {
                record_failure(state, spec, end.run, worker);
                let failures = state.representative(spec, index).map_or(0, |task| task.failures);
                if !spec.long_running && failures >= job.terms.max_attempts.max(1) {
                    self.stop_job(step.job, StopCause::JobFailed);
                    self.end_job(step.job, JobPhase::Failed { at_ms: self.clock_ms });
                } else {
                    self.stop_gang(step, spec);
                }
            }
            EndKind::Refused if is_advised => {
                if let Some(advice) = self.advice.get_mut(&step) {
                    advice.expire(worker);
                }
                self.stop_gang(step, spec);
            }
            EndKind::Refused => {
                if let Some(representative) = state.representative_mut(spec, index) {
                    representative.record_failed_worker(worker);
                }
                self.stop_gang(step, spec);
            }
            _ => self.stop_gang(step, spec),
        }
    }

    /// Stops the remaining members of a gang after one of them has ended.
    fn stop_gang(&mut self, step: StepKey, spec: &StepSpec) {
        if spec.gang {
            self.stop_step(step, StopCause::GangBroken);
        }
    }

    fn record_duration(&mut self, terms: &JobTerms, spec: &StepSpec, end: &RunEnd, held: &HeldRun) {
        if end.run.run == 1 {
            let run_ms = self.clock_ms.saturating_sub(held.placed_ms);
            let JobTerms { queue, team, .. } = terms;
            let duration = self.durations.entry(queue.clone()).or_default();
            let mean_ms = duration.mean_ms;
            duration.record(run_ms);
            self.estimate_errors.record(queue, team, spec.estimate_ms, mean_ms, run_ms);
        }
    }

    /// Marks a task as done; the end of one gang member completes the whole gang.
    fn complete_task(&mut self, step: StepKey, index: u32, spec: &StepSpec) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(state) = job.step_state_mut(step.occurrence, step.step) else { return };
        if spec.gang {
            (0..spec.count).for_each(|member| state.complete(member));
        } else {
            state.complete(index);
            for copy in state.runs_of(index).to_vec() {
                let run = RunKey { task: step.task(index), run: copy.run };
                self.stop_run(copy.worker, run, StopCause::Superseded);
            }
        }
        self.finish_occurrence(step);
    }

    /// Stores new checkpoints of runs that are still placed.
    pub(crate) fn checkpoints_saved(
        &mut self,
        worker: WorkerKey,
        saved: &[(RunKey, SmolStr)],
    ) -> GraphEffect {
        for (run, checkpoint) in saved {
            if self.worker_of(*run) != Some(worker) || checkpoint.is_empty() {
                continue;
            }
            let step = run.task.step;
            let Some(job) = self.jobs.get_mut(&step.job) else { continue };
            let Some((spec, state)) = job.step_spec_and_state(step) else { continue };
            if let Some(representative) = state.representative_mut(spec, run.task.index) {
                representative.checkpoint = checkpoint.clone();
            }
        }
        GraphEffect::Done
    }
}

/// Counts a failure. If several members of a gang fail in the same run, only the first failure
/// counts.
fn record_failure(state: &mut StepState, spec: &StepSpec, run: RunKey, worker: WorkerKey) {
    if spec.gang && state.last_failed_run == run.run {
        return;
    }
    state.last_failed_run = run.run;
    if let Some(representative) = state.representative_mut(spec, run.task.index) {
        representative.record_failure(worker);
    }
}

fn check_step(
    job: &JobState,
    step: StepKey,
    spec: &StepSpec,
    tasks: &[TaskPlacement],
) -> Result<(), GraphRefusal> {
    let not_ready = |reason| StepNotReadySnafu { step, reason };
    ensure!(step.occurrence < job.spec.occurrences(), not_ready("no such occurrence"));
    ensure!(!job.finished.contains(&step.occurrence), not_ready("the occurrence has finished"));
    ensure!(job.is_unblocked(step.occurrence, spec), not_ready("its dependencies are not done"));
    ensure!(!tasks.is_empty(), not_ready("the placement names no tasks"));
    let fresh = StepState::new(spec.count);
    let state = job.steps.get(&(step.occurrence, step.step)).unwrap_or(&fresh);
    if spec.gang {
        let is_complete = tasks.len() == spec.count as usize
            && (0..).zip(tasks).all(|(index, task)| task.index == index);
        ensure!(is_complete, not_ready("a gang must be placed as a whole"));
        ensure!(!state.has_placed_runs(), not_ready("an earlier run still holds resources"));
        ensure!(!state.is_done(), not_ready("the step is done"));
    }
    let next_run = state.last_gang_run() + 1;
    let mut seen = BTreeSet::new();
    for placed in tasks {
        let run = RunKey { task: step.task(placed.index), run: placed.run };
        ensure!(state.has_task(placed.index), not_ready("no such task"));
        ensure!(seen.insert(placed.index), not_ready("a task is named more than once"));
        ensure!(!state.is_task_done(placed.index), not_ready("the task is done"));
        let current = state.runs_of(placed.index);
        let may_copy = spec.speculative
            && current.len() == 1
            && current.iter().all(|placement| placement.worker != placed.worker);
        ensure!(current.is_empty() || may_copy, not_ready("the task already has a run"));
        let expected = if spec.gang { next_run } else { state.last_run_of(placed.index) + 1 };
        ensure!(placed.run == expected, WrongRunSnafu { run });
    }
    Ok(())
}
