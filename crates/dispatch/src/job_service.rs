//! Operations of callers on jobs: submit, query, cancel, count.
//!
//! A job counts as accepted once its record is applied here. A failure is reported only if the record
//! is certainly not in the log and never will be. Otherwise the outcome is unknown, and the caller
//! retries with the same job id.

use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_taskgraph::admission::AdmissionDecision;
use cuminbarrow_taskgraph::admission::RejectReason;
use cuminbarrow_taskgraph::admission::Rejection;
use cuminbarrow_taskgraph::admission::Submission;
use cuminbarrow_taskgraph::graph_state::GraphEffect;
use cuminbarrow_taskgraph::graph_state::GraphOutcome;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::JobSpecError;
use cuminbarrow_taskgraph::job_state::JobPhase;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::refusal::GraphRefusal;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::admission_gate::AdmissionGate;
use crate::queue_scope::QueueScope;
use crate::replica::Replica;

/// Share of a caller's patience after which a submission or cancellation is answered in any case, in
/// percent. The rest is for a second attempt at another entry, whose path to the log may work.
const ANSWER_PERCENT: u32 = 66;
/// Minimum time for a record to be appended and applied, however little patience its caller has.
const MIN_WRITE_TIME: Duration = Duration::from_millis(300);
/// Patience of callers that do not tell theirs, and the maximum of those that do.
pub const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);
/// Maximum time that a query waits for the replica to be fresh.
const FRESH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Minimum retry delay given to callers while the log accepts no records. The delay grows with the
/// outage, because an outage that has lasted for a while lasts about as long again, and a caller that
/// retries too early wastes one of its few attempts.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum retry delay given to callers.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Failure of an operation on a job.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JobServiceError {
    /// The job's specification is invalid.
    #[snafu(display("{source}"))]
    BadSpec {
        /// What is invalid.
        source: JobSpecError,
    },
    /// The id belongs to a job of another queue.
    #[snafu(display("the id belongs to a job of another queue"))]
    Conflict,
    /// The operation had no effect and will have none.
    #[snafu(display("not done: {reason}"))]
    NotDone {
        /// Why the operation was not done.
        reason: &'static str,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The service is full, and the job certainly will not run.
    #[snafu(display("the service is full: the job can't be done in useful time"))]
    Full {
        /// Why the job is rejected.
        reason: RejectReason,
        /// Delay after which the caller should submit the job again.
        retry_after: Duration,
    },
    /// The operation may have taken effect, or may do so later.
    #[snafu(display("the log's answer is outstanding; ask again with the same id"))]
    Unknown,
    /// The log does not take the job, now or later.
    #[snafu(display("the job is larger than the log takes"))]
    TooLarge,
    /// The queue has no such job, or the job can no longer be cancelled.
    #[snafu(display("there is no such job"))]
    NoJob,
}

/// Status of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// No worker has started a task yet.
    Queued,
    /// A worker has started at least one task.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed in all its permitted attempts.
    Failed,
    /// The job was cancelled by a caller.
    Cancelled,
}

/// Serves job operations from this process's replica.
#[derive(Clone)]
pub struct JobService {
    pub(crate) replica: Arc<Replica>,
    pub(crate) gate: Option<Arc<AdmissionGate>>,
}

impl JobService {
    /// Creates a service that reads from and writes through `replica`, and accepts every job.
    pub fn new(replica: Arc<Replica>) -> Self {
        Self { replica, gate: None }
    }

    /// Adds admission control.
    #[must_use]
    pub fn with_admission(self, gate: AdmissionGate) -> Self {
        Self { gate: Some(Arc::new(gate)), ..self }
    }

    /// Accepts a job of a team. Idempotent: a job that is submitted again is not accepted twice.
    /// `patience` is the time that the caller waits for the answer.
    ///
    /// # Errors
    /// [`JobServiceError`].
    pub async fn submit(
        &self,
        scope: QueueScope<'_>,
        team: &SmolStr,
        job: JobId,
        spec: JobSpec,
        patience: Duration,
    ) -> Result<(), JobServiceError> {
        spec.check().map_err(|source| JobServiceError::BadSpec { source })?;
        let terms = JobTerms { team: team.clone(), ..scope.queue.terms.clone() };
        if self.replica.state().jobs.contains_key(&job) {
            return self.check_queue(scope, job);
        }
        if let Err(error) = self.check_writable() {
            self.note_disturbance();
            return Err(error);
        }
        let room = self.replica.state().check_room(job, &spec);
        room.map_err(|refusal| self.state_full(job, &refusal))?;
        self.check_admission(&Submission { job, spec: &spec, terms: &terms })?;
        let (address, version) = (scope.queue.address(), scope.configuration.version);
        let record = GraphRecord::JobSubmitted { job, spec, terms, address, version };
        let outcome = self.write(record, patience).await;
        self.settle_admission(job, &outcome);
        match outcome? {
            Ok(_) => self.check_queue(scope, job),
            Err(refusal @ GraphRefusal::StateFull { .. }) => Err(self.state_full(job, &refusal)),
            Err(refusal) => {
                log::error!(job:% = job; "a submission was refused by the log: {refusal}");
                Err(JobServiceError::Unknown)
            }
        }
    }

    /// Fails if a known job belongs to another queue.
    fn check_queue(&self, scope: QueueScope<'_>, job: JobId) -> Result<(), JobServiceError> {
        let is_own = scope.holds(&self.replica.state(), job);
        if is_own { Ok(()) } else { Err(JobServiceError::Conflict) }
    }

    /// Rejects a job for which the state has no room. Room is released when jobs end.
    fn state_full(&self, job: JobId, refusal: &GraphRefusal) -> JobServiceError {
        let (offset, age_ms) = self.freshness();
        log::warn!(job:% = job, offset, age_ms; "job not accepted: {refusal}");
        let reason = "the jobs that wait or run take all memory";
        JobServiceError::NotDone { reason, retry_after: MAX_RETRY_DELAY }
    }

    /// Fails if the job is rejected. Otherwise its record must be handed to the log.
    fn check_admission(&self, submission: &Submission<'_>) -> Result<(), JobServiceError> {
        let Some(gate) = &self.gate else { return Ok(()) };
        match gate.decide(&self.replica, submission) {
            AdmissionDecision::Admit => Ok(()),
            AdmissionDecision::Reject(rejection) => {
                self.log_rejection(submission, &rejection);
                let retry_after = Duration::from_secs(rejection.retry_after_s);
                Err(JobServiceError::Full { reason: rejection.reason, retry_after })
            }
        }
    }

    /// Notes the outcome of an admitted job's record.
    fn settle_admission(&self, job: JobId, outcome: &Result<GraphOutcome, JobServiceError>) {
        match (&self.gate, outcome) {
            (None, _) => {}
            (Some(_), Err(JobServiceError::Unknown) | Ok(Err(_))) => self.note_disturbance(),
            (Some(gate), _) => gate.settle(job),
        }
    }

    fn note_disturbance(&self) {
        if let Some(gate) = &self.gate {
            gate.note_disturbance(&self.replica);
        }
    }

    fn log_rejection(&self, submission: &Submission<'_>, rejection: &Rejection) {
        let (offset, age_ms) = self.freshness();
        let forecast = rejection.forecast;
        log::info!(
            job:% = submission.job,
            queue = submission.terms.queue.as_str(),
            team = submission.terms.team.as_str(),
            reason = rejection.reason.name(),
            retry_after_s = rejection.retry_after_s,
            finish_ms = forecast.finish_ms,
            limit_ms = forecast.limit_ms,
            own_ms = forecast.own_ms,
            steps_ahead = forecast.steps_ahead,
            accelerators = forecast.accelerators,
            is_within_share = forecast.is_within_share,
            offset,
            age_ms;
            "job rejected"
        );
    }

    /// Cancels a job of a queue for a team. `patience` is the time that the caller waits for the answer.
    /// The caller relies on a missing job to start nothing, but its submission may still be on its way
    /// to the log. The job is therefore missing only once the log has the cancellation.
    ///
    /// # Errors
    /// [`JobServiceError`].
    pub async fn cancel(
        &self,
        scope: QueueScope<'_>,
        team: &SmolStr,
        job: JobId,
        patience: Duration,
    ) -> Result<(), JobServiceError> {
        let record = match self.known_status(scope, job) {
            Some(JobStatus::Cancelled) => return Ok(()),
            Some(JobStatus::Completed | JobStatus::Failed) => return Err(JobServiceError::NoJob),
            Some(JobStatus::Queued | JobStatus::Running) => GraphRecord::JobCancelled { job },
            None => {
                let queue = scope.queue.address();
                self.check_unknown(&queue, team, job)?;
                GraphRecord::UnknownJobCancelled { job, queue, team: team.clone() }
            }
        };
        self.check_writable()?;
        let outcome = self.write(record, patience).await?;
        match outcome {
            Ok(GraphEffect::CancelledEarly) => Err(JobServiceError::NoJob),
            Ok(_) => Ok(()),
            Err(GraphRefusal::JobEnded { .. }) => match self.known_status(scope, job) {
                Some(JobStatus::Cancelled) => Ok(()),
                _ => Err(JobServiceError::NoJob),
            },
            Err(GraphRefusal::TooManyCancellations { .. }) => Err(too_many_cancellations()),
            Err(_) => Err(JobServiceError::NoJob),
        }
    }

    /// Fails if the cancellation of an unknown job needs no record, or would be refused.
    fn check_unknown(&self, queue: &str, team: &str, job: JobId) -> Result<(), JobServiceError> {
        let state = self.replica.state();
        if state.early_cancellations.contains(team, queue, job) {
            return Err(JobServiceError::NoJob);
        }
        if state.early_cancellations.is_full(team) {
            return Err(too_many_cancellations());
        }
        Ok(())
    }

    /// Writes a caller's record, and leaves the caller time for a second attempt.
    async fn write(
        &self,
        record: GraphRecord,
        patience: Duration,
    ) -> Result<GraphOutcome, JobServiceError> {
        let limit = patience.min(DEFAULT_PATIENCE) * ANSWER_PERCENT / 100;
        self.replica.write_within(record, limit.max(MIN_WRITE_TIME)).await.map_err(write_error)
    }

    /// Status of a job of a queue. A job is reported as missing only if the replica is fresh.
    ///
    /// # Errors
    /// [`JobServiceError::NoJob`], or [`JobServiceError::NotDone`] if the replica is stale.
    pub async fn status(
        &self,
        scope: QueueScope<'_>,
        job: JobId,
    ) -> Result<JobStatus, JobServiceError> {
        if let Some(status) = self.known_status(scope, job) {
            return Ok(status);
        }
        self.wait_until_fresh().await?;
        self.known_status(scope, job).ok_or(JobServiceError::NoJob)
    }

    /// Number of active jobs of a queue of which no worker has started any task.
    ///
    /// # Errors
    /// [`JobServiceError::NotDone`] if the replica is stale.
    pub async fn pending(&self, scope: QueueScope<'_>) -> Result<usize, JobServiceError> {
        if !self.replica.is_fresh() {
            self.wait_until_fresh().await?;
        }
        Ok(scope.count_pending(&self.replica.state()))
    }

    /// Offset of the next batch to apply, and the age of the last confirmed read in ms.
    pub fn freshness(&self) -> (u64, Option<u64>) {
        (self.replica.state().offset, self.replica.log.age_ms())
    }

    /// Team that owns a job.
    pub fn owner(&self, job: JobId) -> Option<SmolStr> {
        self.replica.state().jobs.get(&job).map(|known| known.terms.team.clone())
    }

    fn known_status(&self, scope: QueueScope<'_>, job: JobId) -> Option<JobStatus> {
        let state = self.replica.state();
        let known = state.jobs.get(&job).filter(|_| scope.holds(&state, job))?;
        Some(match known.phase {
            JobPhase::Active if known.is_pending() => JobStatus::Queued,
            JobPhase::Active => JobStatus::Running,
            JobPhase::Completed { .. } => JobStatus::Completed,
            JobPhase::Failed { .. } => JobStatus::Failed,
            JobPhase::Cancelled { .. } => JobStatus::Cancelled,
        })
    }

    /// Fails immediately if the log can't be read, because a record could then not be confirmed.
    fn check_writable(&self) -> Result<(), JobServiceError> {
        if self.replica.is_fresh() {
            return Ok(());
        }
        let reason = "the log can't be read now";
        let age_ms = self.replica.log.age_ms().unwrap_or(0);
        let retry_after = Duration::from_millis(age_ms).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        Err(JobServiceError::NotDone { reason, retry_after })
    }

    async fn wait_until_fresh(&self) -> Result<(), JobServiceError> {
        let mut confirmed = self.replica.log.confirmed();
        confirmed.mark_unchanged();
        let wait = confirmed.changed();
        let is_confirmed = tokio::time::timeout(FRESH_TIMEOUT, wait).await.is_ok();
        if is_confirmed || self.replica.is_fresh() {
            return Ok(());
        }
        Err(behind_the_log())
    }
}

fn too_many_cancellations() -> JobServiceError {
    let reason = "too many cancellations of unknown jobs are kept";
    JobServiceError::NotDone { reason, retry_after: MAX_RETRY_DELAY }
}

fn behind_the_log() -> JobServiceError {
    let reason = "this instance is behind the log";
    JobServiceError::NotDone { reason, retry_after: MIN_RETRY_DELAY }
}

fn write_error(error: WriteError) -> JobServiceError {
    match error {
        WriteError::NotWritten => JobServiceError::NotDone {
            reason: "the log takes no records now",
            retry_after: MIN_RETRY_DELAY,
        },
        WriteError::Rejected => JobServiceError::TooLarge,
        WriteError::QueueFull => JobServiceError::NotDone {
            reason: "too many records wait for the log",
            retry_after: MIN_RETRY_DELAY,
        },
        WriteError::Unknown => JobServiceError::Unknown,
    }
}
