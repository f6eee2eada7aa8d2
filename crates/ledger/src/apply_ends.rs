//! Applies the ends of attempts: outcomes, retries, and quarantine of workers on which jobs fail.

use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::job::JobOutcome;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;
use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ensure;

use crate::apply::BatchReport;
use crate::apply::Effect;
use crate::job_state::JobPhase;
use crate::job_state::Placement;
use crate::job_state::StopCause;
use crate::refusal::AttemptNotCurrentSnafu;
use crate::refusal::Refusal;
use crate::run_estimate::job_kind;
use crate::state::MAX_RETAINED_ANSWERS;
use crate::state::MAX_RETAINED_JOBS;
use crate::state::State;

/// Number of distinct workers on which a job has to fail before it is ended as failed.
const MAX_FAILED_WORKERS: usize = 3;
/// Number of failures and lapsed leases after which a job is ended as failed.
const MAX_FAILURES: u8 = 8;
/// Delay before the next placement after the first failure, in ms; doubled after each failure.
const RETRY_BASE_DELAY_MS: u64 = 1_000;
/// Maximum delay before the next placement after a failure, in ms.
const MAX_RETRY_DELAY_MS: u64 = 60_000;
/// Number of distinct jobs that have to fail on a worker, with no success between them, before it
/// is quarantined.
const QUARANTINE_FAILED_JOBS: usize = 3;
/// Maximum share of the workers in quarantine, in thousandths; one worker is always allowed.
const MAX_QUARANTINED_PERMILLE: usize = 200;

impl State {
    pub(crate) fn job_ended(
        &mut self,
        attempt: AttemptKey,
        lead_incarnation: u64,
        end: &AttemptEnd,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let placement =
            self.placement(attempt).context(AttemptNotCurrentSnafu { attempt })?.clone();
        let lead = self.worker(placement.lead());
        let is_lead = lead.is_some_and(|lead| lead.incarnation == lead_incarnation);
        ensure!(is_lead, AttemptNotCurrentSnafu { attempt });
        match end {
            AttemptEnd::Completed { answer } => {
                let is_within_limit =
                    answer.body.len() <= cuminbarrow_model::job::Answer::MAX_BYTES;
                ensure!(
                    placement.is_started() && is_within_limit,
                    AttemptNotCurrentSnafu { attempt }
                );
                self.clear_failures(&placement.members);
                self.update_run_estimate(attempt.job, &placement);
                let outcome = JobOutcome::Completed { answer: answer.clone() };
                self.end_job(attempt.job, outcome, report);
            }
            AttemptEnd::Failed { worker, reason } => {
                self.attempt_failed(attempt, *worker, reason, report);
            }
            AttemptEnd::Lapsed { worker } => {
                let reason = "its lease lapsed";
                self.attempt_failed(attempt, *worker, reason, report);
            }
            AttemptEnd::Stopped { progress_permille } => {
                self.attempt_stopped(attempt, &placement, *progress_permille, report);
            }
        }
        Ok(Effect::Job { job: attempt.job })
    }

    fn attempt_stopped(
        &mut self,
        attempt: AttemptKey,
        placement: &Placement,
        progress_permille: u16,
        report: &mut BatchReport,
    ) {
        if let Some(job) = self.jobs.get_mut(&attempt.job)
            && job.spec.checkpointable
        {
            job.progress_permille = progress_permille.clamp(job.progress_permille, 1_000);
        }
        match placement.stop {
            Some(StopCause::Cancelled) => {
                let outcome = may_have_run_outcome("it was cancelled after its start");
                self.end_job(attempt.job, outcome, report);
            }
            None | Some(StopCause::Preempted { .. }) => {
                self.attempt_interrupted(attempt, "it was stopped", report);
            }
        }
    }

    fn attempt_failed(
        &mut self,
        attempt: AttemptKey,
        worker: WorkerKey,
        reason: &str,
        report: &mut BatchReport,
    ) {
        let is_started = self.placement(attempt).is_some_and(Placement::is_started);
        self.record_failure(attempt.job, worker);
        self.attempt_interrupted(attempt, reason, report);
        let clock_ms = self.clock_ms;
        let Some(job) = self.jobs.get_mut(&attempt.job) else { return };
        job.failures = job.failures.saturating_add(1);
        if !job.is_pending() {
            return;
        }
        let doublings = u32::from(job.failures.saturating_sub(1)).min(16);
        job.not_before_ms = clock_ms + (RETRY_BASE_DELAY_MS << doublings).min(MAX_RETRY_DELAY_MS);
        let has_exhausted_retries =
            job.failed_workers.len() >= MAX_FAILED_WORKERS || job.failures >= MAX_FAILURES;
        if has_exhausted_retries {
            let outcome = if is_started || job.spec.repeatable {
                JobOutcome::Failed { reason: SmolStr::new(reason) }
            } else {
                not_run_outcome(reason)
            };
            self.end_job(attempt.job, outcome, report);
        }
    }

    /// Records a failure with the job and the worker, and quarantines the worker after too many.
    /// The share of quarantined workers is capped, so that a job that always fails can't take
    /// the whole deployment out of service.
    fn record_failure(&mut self, job: JobKey, worker_key: WorkerKey) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.failed_workers.insert(worker_key);
        }
        let quarantined =
            self.workers.iter().filter(|worker| worker.quarantined_ms.is_some()).count();
        let max_quarantined = (self.workers.len() * MAX_QUARANTINED_PERMILLE / 1_000).max(1);
        let clock_ms = self.clock_ms;
        let Some(worker) = self.worker_mut(worker_key) else { return };
        worker.failed_jobs.insert(job);
        if worker.quarantined_ms.is_some() {
            worker.quarantined_ms = Some(clock_ms);
        } else if worker.failed_jobs.len() >= QUARANTINE_FAILED_JOBS
            && quarantined < max_quarantined
        {
            worker.quarantined_ms = Some(clock_ms);
            self.release_reservations_on(worker_key);
            self.place_reservations();
        }
    }

    /// Updates the team's run time estimate for jobs of this kind from a completed attempt.
    fn update_run_estimate(&mut self, key: JobKey, placement: &Placement) {
        let clock_ms = self.clock_ms;
        let Some(job) = self.jobs.get(&key) else { return };
        let remaining_permille = u64::from(1_000 - job.progress_permille.min(1_000));
        let declared_ms = job.spec.declared_run_ms * remaining_permille / 1_000;
        let Some(started_ms) = placement.started_ms.filter(|_| declared_ms > 0) else { return };
        let run_ms = clock_ms.saturating_sub(started_ms);
        let kind = job_kind(&job.spec);
        if let Some(team) = self.teams.get_mut(usize::from(job.team.0)) {
            team.estimates[kind].observe(run_ms, declared_ms);
        }
    }

    /// Clears the failures of workers on which an attempt completed, and ends their quarantine.
    fn clear_failures(&mut self, members: &[Member]) {
        let mut has_ended_quarantine = false;
        for member in members {
            if let Some(worker) = self.worker_mut(member.worker) {
                worker.failed_jobs.clear();
                has_ended_quarantine |= worker.quarantined_ms.take().is_some();
            }
        }
        if has_ended_quarantine {
            self.place_reservations();
        }
    }

    /// Ends an attempt that did not complete. Before its start the job becomes pending again, and
    /// after it as well if the job is repeatable and not cancelled; otherwise the job ends, since
    /// it may have run.
    pub(crate) fn attempt_interrupted(
        &mut self,
        attempt: AttemptKey,
        reason: &str,
        report: &mut BatchReport,
    ) {
        let Some(job) = self.jobs.get(&attempt.job) else { return };
        let Some(placement) = job.placement_of(attempt) else { return };
        let is_cancelled = placement.stop == Some(StopCause::Cancelled);
        if placement.is_started() && (is_cancelled || !job.spec.repeatable) {
            self.end_job(attempt.job, may_have_run_outcome(reason), report);
        } else {
            self.return_to_pending(attempt, reason, report);
        }
    }

    pub(crate) fn return_to_pending(
        &mut self,
        attempt: AttemptKey,
        reason: &str,
        report: &mut BatchReport,
    ) {
        self.release_members(attempt.job, reason, report);
        let Some(job) = self.jobs.get_mut(&attempt.job) else { return };
        job.phase = JobPhase::Pending;
        let team = job.team;
        self.enqueue(attempt.job, team);
    }

    pub(crate) fn end_job(&mut self, key: JobKey, outcome: JobOutcome, report: &mut BatchReport) {
        let reason = outcome.reason().map_or("it completed", SmolStr::as_str);
        self.release_members(key, reason, report);
        let at_ms = self.clock_ms;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let is_completed = matches!(outcome, JobOutcome::Completed { .. });
        let is_late = job.spec.deadline_ms.is_some_and(|deadline_ms| at_ms > deadline_ms);
        job.phase = JobPhase::Ended { outcome, at_ms };
        let team = job.team;
        if let Some(usage) = self.usage_mut(team) {
            usage.completed += u32::from(is_completed);
            usage.late += u32::from(is_completed && is_late);
            usage.not_completed += u32::from(!is_completed);
        }
        self.dequeue(key, team);
        self.placed.remove(&key);
        self.clear_reclaims(key);
        self.ended_jobs.push_back(key);
        report.ended_jobs.push(key);
        self.drop_old_jobs();
    }

    /// Ends the current attempt: releases its resources and reservation, and accounts its usage.
    pub(crate) fn release_members(&mut self, key: JobKey, reason: &str, report: &mut BatchReport) {
        let clock_ms = self.clock_ms;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(placement) = job.placement().cloned() else { return };
        job.record_past_attempt(reason, clock_ms);
        let (team, per_member, is_non_preemptible) =
            (job.team, job.spec.shape.per_member, !job.is_preemptible());
        self.account_attempt(team, &placement);
        let attempt = AttemptKey { job: key, attempt: placement.attempt };
        for member in &placement.members {
            let Some(worker) = self.worker_mut(member.worker) else { continue };
            worker.release(attempt, member, &per_member);
            if is_non_preemptible {
                worker.release_non_preemptible(team, member, &per_member);
            }
        }
        for reservation in self.reservations.values_mut() {
            if reservation.holder == Some(key) {
                reservation.holder = None;
            }
        }
        if is_non_preemptible {
            self.place_reservations();
        }
        report.record_attempt_change(attempt, &placement.members);
    }

    /// Drops the bytes of the oldest answer, and the oldest ended job, beyond the limits of
    /// retention. One job ends per call, so at most one of each is due.
    fn drop_old_jobs(&mut self) {
        if self.ended_jobs.len() > MAX_RETAINED_ANSWERS {
            let index = self.ended_jobs.len() - MAX_RETAINED_ANSWERS - 1;
            let key = self.ended_jobs[index];
            if let Some(JobPhase::Ended { outcome: JobOutcome::Completed { answer }, .. }) =
                self.jobs.get_mut(&key).map(|job| &mut job.phase)
            {
                answer.body = Vec::new();
            }
        }
        if self.ended_jobs.len() > MAX_RETAINED_JOBS
            && let Some(key) = self.ended_jobs.pop_front()
            && let Some(job) = self.jobs.remove(&key)
            && let Some(keys) = self.job_keys.get_mut(&job.team)
        {
            keys.remove(&job.idempotency_key);
        }
    }
}

pub(crate) fn not_run_outcome(reason: &str) -> JobOutcome {
    JobOutcome::NotRun { reason: SmolStr::new(reason) }
}

fn may_have_run_outcome(reason: &str) -> JobOutcome {
    JobOutcome::MayHaveRun { reason: SmolStr::new(reason) }
}
