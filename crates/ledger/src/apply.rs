//! Applies batches to the state, one at a time and in log order.

use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;

use crate::batch::Batch;
use crate::pack::distinct_workers;
use crate::record::Record;
use crate::refusal::Refusal;
use crate::state::State;
use crate::state::WRITER_RETENTION_BATCHES;
use crate::state::WriterState;

/// Effect of an accepted record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The record was applied; it has no further result.
    Done,
    /// The job was accepted, or was accepted before with the same content.
    Job {
        /// Its key.
        job: JobKey,
    },
    /// The sheet is the current one.
    Sheet {
        /// Its version.
        version: u64,
    },
    /// The worker was registered or changed.
    Worker {
        /// Its key.
        worker: WorkerKey,
    },
}

/// Effects of a batch.
#[derive(Debug, Default)]
pub struct BatchReport {
    /// Result of each record, in order.
    pub results: Vec<Result<Effect, Refusal>>,
    /// Attempts that were placed, changed or ended, with the workers of their members.
    pub attempt_changes: Vec<AttemptChange>,
    /// Jobs that ended.
    pub ended_jobs: Vec<JobKey>,
}

impl BatchReport {
    /// Records a change of an attempt for each worker of its members.
    pub(crate) fn record_attempt_change(&mut self, attempt: AttemptKey, members: &[Member]) {
        let workers = distinct_workers(members).into_iter();
        self.attempt_changes.extend(workers.map(|worker| AttemptChange { attempt, worker }));
    }
}

/// A change of an attempt, for the worker of one of its members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptChange {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The member's worker.
    pub worker: WorkerKey,
}

impl State {
    /// Applies the batch at `offset`, which must be the next one.
    ///
    /// Total and deterministic: a record whose precondition fails changes nothing.
    pub fn apply(&mut self, offset: u64, batch: &Batch) -> BatchReport {
        let mut report = BatchReport::default();
        self.offset = offset + 1;
        if self.was_applied(batch) {
            report.results = vec![Err(Refusal::Duplicate); batch.records.len()];
            return report;
        }
        self.record_writer(offset, batch);
        self.clock_ms = self.clock_ms.max(batch.at_ms);
        for record in &batch.records {
            let result = self.apply_record(record, &mut report);
            report.results.push(result);
        }
        self.sample_capacity();
        report
    }

    fn was_applied(&self, batch: &Batch) -> bool {
        self.writers.get(&batch.writer).is_some_and(|writer| batch.sequence <= writer.sequence)
    }

    fn record_writer(&mut self, offset: u64, batch: &Batch) {
        self.writers.insert(batch.writer, WriterState { sequence: batch.sequence, offset });
        if offset.is_multiple_of(1_000) {
            self.writers.retain(|_, writer| writer.offset + WRITER_RETENTION_BATCHES > offset);
        }
    }

    fn apply_record(
        &mut self,
        record: &Record,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        match record {
            Record::EntryJoined { instance, region, address } => {
                self.entry_joined(*instance, region, *address)
            }
            Record::EntryLeft { instance } => self.entry_left(*instance),
            Record::JobCancelled { job } => self.job_cancelled(*job, report),
            Record::JobEnded { attempt, lead_incarnation, end } => {
                self.job_ended(*attempt, *lead_incarnation, end, report)
            }
            Record::JobPlaced { epoch, attempt, members, reservation } => {
                self.check_epoch(*epoch)?;
                self.job_placed(*attempt, members, *reservation, report)
            }
            Record::JobStarted { attempt, lead_incarnation } => {
                self.job_started(*attempt, *lead_incarnation, report)
            }
            Record::JobSubmitted { team, idempotency_key, spec } => {
                self.job_submitted(team, idempotency_key, spec)
            }
            Record::JobsPreempted { epoch, job, reservation, victims } => {
                self.check_epoch(*epoch)?;
                self.jobs_preempted(*job, *reservation, victims, report)
            }
            Record::PlannerClaimed { epoch, instance } => self.planner_claimed(*epoch, *instance),
            Record::PlannerReleased { epoch } => self.planner_released(*epoch),
            Record::PlannerRenewed { epoch } => self.check_epoch(*epoch).map(|()| Effect::Done),
            Record::SheetApplied { author, sheet, max_removed_permille } => {
                self.sheet_applied(author, sheet, *max_removed_permille)
            }
            Record::WorkerDrained { worker } => self.worker_drained(*worker, report),
            Record::WorkerJoined { spec, incarnation, session, entry } => {
                self.worker_joined(spec, *incarnation, *session, *entry, report)
            }
            Record::WorkerLeft { worker, incarnation } => {
                self.worker_left(*worker, *incarnation, report)
            }
            Record::WorkerLost { worker, incarnation, session } => {
                self.worker_lost(*worker, *incarnation, *session, report)
            }
            Record::WorkerResumed { worker } => self.worker_resumed(*worker),
        }
    }
}
