//! What callers may do with jobs: submit, ask, cancel, count.
//!
//! A job counts as accepted once its record is applied here. A refusal is told only where the
//! record is certainly not in the log and never will be; otherwise the caller learns that the
//! answer is outstanding and asks again with the same identity.

use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_taskgraph::graph_state::GraphEffect;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::JobSpecError;
use cuminbarrow_taskgraph::job_state::JobPhase;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::refusal::GraphRefusal;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::replica::Replica;

/// Longest time that a question waits for the replica to be fresh.
const FRESH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// When callers may come back at the earliest and the latest while the log takes no records. An
/// outage that has lasted for a while lasts about as long again; a caller that comes back too early
/// wastes one of its few tries.
const LOG_RETRY: Duration = Duration::from_secs(1);
const MAX_LOG_RETRY: Duration = Duration::from_secs(4);

/// Why a job was not accepted, cancelled or told.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JobServiceError {
    /// The description is wrong.
    #[snafu(display("{source}"))]
    BadSpec {
        /// What is wrong.
        source: JobSpecError,
    },
    /// Another queue holds a job of that identity.
    #[snafu(display("the id belongs to a job of another queue"))]
    Conflict,
    /// Nothing was done, and nothing will be.
    #[snafu(display("not done: {reason}"))]
    NotDone {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have been done, or be done yet.
    #[snafu(display("the log's answer is outstanding; ask again with the same id"))]
    Unknown,
    /// There is no such job.
    #[snafu(display("there is no such job"))]
    NoJob,
}

/// State of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// No task was placed yet.
    Queued,
    /// A task was placed.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// Serves callers from this process's replica.
#[derive(Clone)]
pub struct JobService {
    replica: Arc<Replica>,
}

impl JobService {
    /// Serves from `replica`.
    pub fn new(replica: Arc<Replica>) -> Self {
        Self { replica }
    }

    /// Accepts a job, once however often it is submitted.
    ///
    /// # Errors
    /// [`JobServiceError`].
    pub async fn submit(
        &self,
        job: JobId,
        spec: JobSpec,
        terms: JobTerms,
    ) -> Result<(), JobServiceError> {
        spec.check().map_err(|source| JobServiceError::BadSpec { source })?;
        let queue = terms.queue.clone();
        if let Some(known) = self.replica.state().jobs.get(&job) {
            return if known.terms.queue == queue {
                Ok(())
            } else {
                Err(JobServiceError::Conflict)
            };
        }
        self.check_writable()?;
        let record = GraphRecord::JobAccepted { job, spec, terms };
        let outcome = self.replica.write(record).await.map_err(write_error)?;
        match outcome {
            Ok(GraphEffect::Job { queue: held_by }) if held_by == queue => Ok(()),
            Ok(_) => Err(JobServiceError::Conflict),
            Err(refusal) => {
                log::error!(job:% = job; "a submission was refused by the log: {refusal}");
                Err(JobServiceError::Unknown)
            }
        }
    }

    /// Cancels a job of a queue.
    ///
    /// # Errors
    /// [`JobServiceError`].
    pub async fn cancel(&self, queue: &str, job: JobId) -> Result<(), JobServiceError> {
        match self.status(queue, job).await? {
            JobStatus::Cancelled => return Ok(()),
            JobStatus::Completed | JobStatus::Failed => return Err(JobServiceError::NoJob),
            JobStatus::Queued | JobStatus::Running => {}
        }
        self.check_writable()?;
        let record = GraphRecord::JobCancelled { job };
        let outcome = self.replica.write(record).await.map_err(write_error)?;
        match outcome {
            Ok(_) => Ok(()),
            Err(GraphRefusal::JobEnded { .. }) => match self.known_status(queue, job) {
                Some(JobStatus::Cancelled) => Ok(()),
                _ => Err(JobServiceError::NoJob),
            },
            Err(_) => Err(JobServiceError::NoJob),
        }
    }

    /// State of a job of a queue. What is not known is denied only by a fresh replica.
    ///
    /// # Errors
    /// [`JobServiceError::NoJob`], or [`JobServiceError::NotDone`] from a replica that is behind.
    pub async fn status(&self, queue: &str, job: JobId) -> Result<JobStatus, JobServiceError> {
        if let Some(status) = self.known_status(queue, job) {
            return Ok(status);
        }
        self.wait_fresh().await?;
        self.known_status(queue, job).ok_or(JobServiceError::NoJob)
    }

    /// Number of a queue's jobs none of whose tasks was placed.
    ///
    /// # Errors
    /// [`JobServiceError::NotDone`] from a replica that is behind.
    pub async fn pending(&self, queue: &str) -> Result<usize, JobServiceError> {
        if !self.replica.is_fresh() {
            self.wait_fresh().await?;
        }
        Ok(self.replica.state().pending_jobs(queue))
    }

    /// Offset of the next batch to apply, and the age of the last confirmed read in ms.
    pub fn freshness(&self) -> (u64, Option<u64>) {
        (self.replica.state().offset, self.replica.log.age_ms())
    }

    /// Team that owns a job.
    pub fn owner(&self, job: JobId) -> Option<SmolStr> {
        self.replica.state().jobs.get(&job).map(|known| known.terms.team.clone())
    }

    fn known_status(&self, queue: &str, job: JobId) -> Option<JobStatus> {
        let state = self.replica.state();
        let known = state.jobs.get(&job).filter(|known| known.terms.queue == queue)?;
        Some(match known.phase {
            JobPhase::Active if known.has_started => JobStatus::Running,
            JobPhase::Active => JobStatus::Queued,
            JobPhase::Completed { .. } => JobStatus::Completed,
            JobPhase::Failed { .. } => JobStatus::Failed,
            JobPhase::Cancelled { .. } => JobStatus::Cancelled,
        })
    }

    /// Refuses at once what the log can't take now.
    fn check_writable(&self) -> Result<(), JobServiceError> {
        if self.replica.is_fresh() {
            return Ok(());
        }
        let reason = "the log can't be read now";
        let age_ms = self.replica.log.age_ms().unwrap_or(0);
        let retry_after = Duration::from_millis(age_ms).clamp(LOG_RETRY, MAX_LOG_RETRY);
        Err(JobServiceError::NotDone { reason, retry_after })
    }

    async fn wait_fresh(&self) -> Result<(), JobServiceError> {
        let mut confirmed = self.replica.log.confirmed();
        confirmed.mark_unchanged();
        let wait = confirmed.changed();
        let is_confirmed = tokio::time::timeout(FRESH_TIMEOUT, wait).await.is_ok();
        if is_confirmed || self.replica.is_fresh() {
            return Ok(());
        }
        let reason = "this instance is behind the log";
        Err(JobServiceError::NotDone { reason, retry_after: LOG_RETRY })
    }
}

fn write_error(error: WriteError) -> JobServiceError {
    match error {
        WriteError::NotWritten => JobServiceError::NotDone {
            reason: "the log takes no records now",
            retry_after: LOG_RETRY,
        },
        WriteError::QueueFull => JobServiceError::NotDone {
            reason: "too many records wait for the log",
            retry_after: LOG_RETRY,
        },
        WriteError::Unknown => JobServiceError::Unknown,
    }
}
