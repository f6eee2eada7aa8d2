//! The replicated state, and how the log's records change it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::replicated_state::ReplicatedState;
use cuminbarrow_ledger::state::PlannerState;
use cuminbarrow_ledger::state::WriterState;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::early_cancellations::EarlyCancellations;
use crate::estimate_errors::EstimateErrors;
use crate::evacuations::Evacuations;
use crate::job_id::JobId;
use crate::job_state::JobPhase;
use crate::job_state::JobState;
use crate::optional_tail::decode_or_default;
use crate::preemption_history::PreemptionHistory;
use crate::queue_table::QueueTable;
use crate::record::GraphRecord;
use crate::record::ProcessRole;
use crate::refusal::GraphRefusal;
use crate::run_durations::RunDuration;
use crate::spec_budget::SpecBudget;
use crate::speed_profile::SpeedProfiles;
use crate::step_advice::StepAdvice;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::StopCause;
use crate::worker::WorkerKey;
use crate::worker::WorkerState;
use crate::worker_health::WorkerHealth;

/// How long an ended job is kept, in ms. Callers may query its state for 120 s; the rest allows for
/// clock jumps.
const ENDED_JOB_RETENTION_MS: u64 = 180_000;
/// Part of an advance of the log's clock that counts towards the retention of ended jobs, in ms. The
/// planner renews its role every 500 ms, so a larger advance between two batches is due to a writer
/// whose clock was set ahead, or to a log without writers.
const MAX_RETENTION_ADVANCE_MS: u64 = 2_000;
/// Number of batches after which a writer without a batch among them is forgotten. A late copy of
/// an append arrives within seconds, long before that many batches.
const WRITER_RETENTION_BATCHES: u64 = 50_000;
/// Number of batches between two removals of writers.
const WRITER_CLEANUP_INTERVAL_BATCHES: u64 = 1_000;
/// A running process of this system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessState {
    /// Role of the process.
    pub role: ProcessRole,
    /// Instance that the process runs on.
    pub instance: SmolStr,
    /// Region of the instance.
    pub region: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Address at which other processes reach it.
    pub address: SocketAddr,
    /// Offset of the record that announced the process.
    pub since_offset: u64,
}

/// A worker that was reported as slow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowWorker {
    /// Time of the latest report, in ms since the Unix epoch.
    pub seen_ms: u64,
    /// Runs on the worker at that time, with their progress in percent.
    pub progress: Vec<(RunKey, u8)>,
}

/// Effect of an applied record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GraphEffect {
    /// The record was applied.
    Done,
    /// The job is accepted, by this record or an earlier one.
    Job,
    /// There is no such job. If it is submitted later, it counts as cancelled.
    CancelledEarly,
    /// The ends of runs were processed.
    Ended {
        /// Runs that finished, but whose tasks had already been restarted. Their ends must not be
        /// acknowledged to the worker.
        superseded: Vec<RunKey>,
    },
    /// The worker is registered.
    Worker {
        /// Key of the worker.
        worker: WorkerKey,
    },
}

/// Outcome of one record.
pub type GraphOutcome = Result<GraphEffect, GraphRefusal>;

/// Outcomes of a batch's records, in order.
pub type GraphReport = Vec<GraphOutcome>;

/// State that results from applying the log up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GraphState {
    /// Offset of the next batch.
    pub offset: u64,
    /// Latest wall-clock time of any writer, in ms since the Unix epoch.
    pub clock_ms: u64,
    /// Offset of the first batch that no recorded snapshot covers.
    pub snapshot_offset: u64,
    /// Current planner and epoch.
    pub planner: PlannerState,
    /// Offset after the planner's last batch.
    pub planner_last_offset: u64,
    /// Running processes, by incarnation.
    pub processes: BTreeMap<u64, ProcessState>,
    /// Offset after the batch that last changed `processes`.
    pub processes_changed_offset: u64,
    /// Registered workers.
    pub workers: BTreeMap<WorkerKey, WorkerState>,
    /// Jobs, including recently ended ones.
    pub jobs: BTreeMap<JobId, JobState>,
    /// Jobs that are waiting or running.
    pub active: BTreeSet<JobId>,
    /// Ended jobs with the time from which they are kept, oldest first: that of their end, moved by
    /// each jump of the clock since then.
    pub ended: VecDeque<(u64, JobId)>,
    /// Accelerators that urgent work needed when it recently reclaimed some, with the times, by
    /// service.
    pub reclaims: BTreeMap<SmolStr, VecDeque<(u64, u32)>>,
    /// Run times, by queue.
    pub durations: BTreeMap<SmolStr, RunDuration>,
    pub(crate) next_worker: u32,
    pub(crate) writers: BTreeMap<u64, WriterState>,
    /// Advice on the workers that may run steps of advised queues.
    pub(crate) advice: BTreeMap<StepKey, StepAdvice>,
    /// Workers that were slow according to the latest report.
    pub(crate) slow_workers: BTreeMap<WorkerKey, SlowWorker>,
    /// Cancellations of jobs that are not known, kept as long as ended jobs.
    pub early_cancellations: EarlyCancellations,
    /// Data centres on whose workers no task is started.
    #[serde(deserialize_with = "decode_or_default")]
    pub evacuations: Evacuations,
    /// Errors of estimated run times. Snapshots of version 0.1.0 end before it.
    #[serde(deserialize_with = "decode_or_default")]
    pub estimate_errors: EstimateErrors,
    /// Preemptions of active jobs.
    #[serde(deserialize_with = "decode_or_default")]
    pub preemptions: PreemptionHistory,
    /// Learned speeds of instances.
    #[serde(deserialize_with = "decode_or_default")]
    pub speed_profiles: SpeedProfiles,
    /// Responses of workers to health checks.
    #[serde(deserialize_with = "decode_or_default")]
    pub worker_health: WorkerHealth,
    /// Queues of the known jobs.
    #[serde(deserialize_with = "decode_or_default")]
    pub queues: QueueTable,
    /// Memory of the specifications of active jobs, without those that previous releases accepted.
    #[serde(deserialize_with = "decode_or_default")]
    pub spec_budget: SpecBudget,
}

impl GraphState {
    /// Applies the batch at `offset`, which must be the next one.
    ///
    /// The function is total and deterministic: a record whose precondition fails changes nothing.
    pub fn apply(&mut self, offset: u64, batch: &Batch<GraphRecord>) -> GraphReport {
        self.offset = offset + 1;
        if self.is_duplicate(batch) {
            return vec![Err(GraphRefusal::Duplicate); batch.records.len()];
        }
        self.record_writer(offset, batch);
        self.advance_clock(batch.at_ms);
        if self.planner.instance == Some(batch.writer) {
            self.planner_last_offset = self.offset;
        }
        let writer = batch.writer;
        let apply = |record| self.apply_record(offset, writer, record);
        let report = batch.records.iter().map(apply).collect();
        self.remove_expired_jobs();
        report
    }

    fn is_duplicate(&self, batch: &Batch<GraphRecord>) -> bool {
        self.writers.get(&batch.writer).is_some_and(|writer| batch.sequence <= writer.sequence)
    }

    fn record_writer(&mut self, offset: u64, batch: &Batch<GraphRecord>) {
        self.writers.insert(batch.writer, WriterState { sequence: batch.sequence, offset });
        if offset.is_multiple_of(WRITER_CLEANUP_INTERVAL_BATCHES) {
            self.writers.retain(|_, writer| writer.offset + WRITER_RETENTION_BATCHES > offset);
        }
    }

    /// Advances the clock to the latest time of any writer. A jump does not shorten the time for which
    /// ended jobs are kept: a repeated submission of one that was removed would start it again.
    fn advance_clock(&mut self, at_ms: u64) {
        let advance_ms = at_ms.saturating_sub(self.clock_ms);
        self.clock_ms += advance_ms;
        let jump_ms = advance_ms.saturating_sub(MAX_RETENTION_ADVANCE_MS);
        if jump_ms > 0 {
            self.ended.iter_mut().for_each(|(kept_from_ms, _)| *kept_from_ms += jump_ms);
            self.early_cancellations.prolong(jump_ms);
            self.speed_profiles.record_clock_jump(self.clock_ms);
        }
    }

    fn remove_expired_jobs(&mut self) {
        self.early_cancellations.expire(self.clock_ms.saturating_sub(ENDED_JOB_RETENTION_MS));
        while let Some(&(kept_from_ms, job)) = self.ended.front() {
            if kept_from_ms + ENDED_JOB_RETENTION_MS > self.clock_ms {
                return;
            }
            self.ended.pop_front();
            self.jobs.remove(&job);
            self.queues.remove_job(job);
        }
    }

    /// Requests one run to stop.
    pub(crate) fn stop_run(&mut self, worker: WorkerKey, run: RunKey, cause: StopCause) {
        if let Some(state) = self.workers.get_mut(&worker) {
            state.request_stop(run, cause);
        }
    }

    fn apply_record(&mut self, offset: u64, writer: u64, record: &GraphRecord) -> GraphOutcome {
        match record {
            GraphRecord::ProcessUp {
                incarnation,
                role,
                instance,
                region,
                data_centre,
                address,
            } => {
                let process = ProcessState {
                    role: *role,
                    instance: instance.clone(),
                    region: region.clone(),
                    data_centre: data_centre.clone(),
                    address: *address,
                    since_offset: offset,
                };
                Ok(self.process_up(*incarnation, process))
            }
            GraphRecord::ProcessDown { incarnation } => Ok(self.process_down(*incarnation)),
            GraphRecord::JobAccepted { job, spec, terms } => {
                Ok(self.job_accepted(*job, spec, terms))
            }
            GraphRecord::JobSubmitted { job, spec, terms, address, version } => {
                self.job_submitted(*job, spec, terms, address, *version)
            }
            GraphRecord::QueueChanged { address, latest } => self.queue_changed(address, latest),
            GraphRecord::JobCancelled { job } => self.job_cancelled(*job),
            GraphRecord::WorkerRegistered { agent, spec } => {
                self.worker_registered(offset, *agent, spec)
            }
            GraphRecord::WorkerDraining { worker, until_ms } => {
                self.worker_draining(*worker, *until_ms)
            }
            GraphRecord::WorkerSuspected { epoch, worker, agent } => {
                self.check_epoch(*epoch)?;
                self.worker_suspected(offset, *worker, *agent)
            }
            GraphRecord::WorkerRemoved { worker, suspicion_offset, .. } => {
                self.worker_removed(writer, *worker, *suspicion_offset)
            }
            GraphRecord::RunsPlaced { epoch, step, tasks } => {
                self.check_epoch(*epoch)?;
                self.runs_placed(*step, tasks)
            }
            GraphRecord::RunsStopped { epoch, cause, runs } => {
                self.check_epoch(*epoch)?;
                Ok(self.runs_stopped(*cause, runs))
            }
            GraphRecord::RunsEnded { worker, ends } => self.runs_ended(writer, *worker, ends),
            GraphRecord::CheckpointsSaved { worker, saved } => {
                Ok(self.checkpoints_saved(*worker, saved))
            }
            GraphRecord::PlannerClaimed { epoch, instance } => {
                self.planner_claimed(*epoch, *instance)
            }
            GraphRecord::PlannerReleased { epoch } => self.planner_released(*epoch),
            GraphRecord::RunsStalled { worker, runs } => Ok(self.runs_stalled(*worker, runs)),
            GraphRecord::SnapshotTaken { offset } => {
                self.snapshot_offset = self.snapshot_offset.max(*offset);
                Ok(GraphEffect::Done)
            }
            GraphRecord::StepAdvised { epoch, step, asked, tickets, until_ms } => {
                self.check_epoch(*epoch)?;
                self.step_advised(*step, asked, tickets, *until_ms)
            }
            GraphRecord::WorkerSpeedReported { worker, is_slow, progress } => {
                self.worker_speed_reported(*worker, *is_slow, progress)
            }
            GraphRecord::UnknownJobCancelled { job, queue, team } => {
                self.unknown_job_cancelled(*job, queue, team)
            }
            GraphRecord::RunsStarted { runs } => Ok(self.runs_started(runs)),
            GraphRecord::PlannerRenewed { epoch } => {
                self.check_epoch(*epoch).map(|()| GraphEffect::Done)
            }
            GraphRecord::EvacuationsRead { as_of, data_centres } => {
                self.evacuations_read(*as_of, data_centres)
            }
            GraphRecord::HealthChanged { worker, is_healthy } => {
                self.health_changed(writer, *worker, *is_healthy)
            }
        }
    }

    /// Ends a job and drops the data that only an active job needs.
    pub(crate) fn end_job(&mut self, job: JobId, phase: JobPhase) {
        let clock_ms = self.clock_ms;
        let is_counted = self.queues.of_job(job).is_some();
        let Some(state) = self.jobs.get_mut(&job) else { return };
        if is_counted {
            self.spec_budget.release(state.spec.memory_bytes());
        }
        state.phase = phase;
        state.steps.clear();
        state.finished.clear();
        state.spec = Default::default();
        self.active.remove(&job);
        self.remove_advice(job);
        self.preemptions.forget_job(job);
        self.speed_profiles.remove_job(job);
        self.ended.push_back((clock_ms, job));
    }

    /// Worker on which a run holds resources.
    pub fn worker_of(&self, run: RunKey) -> Option<WorkerKey> {
        let step = run.task.step;
        let state = self.jobs.get(&step.job)?.steps.get(&(step.occurrence, step.step))?;
        let mut placements = state.runs_of(run.task.index).iter();
        placements.find(|placement| placement.run == run.run).map(|placement| placement.worker)
    }

    /// Worker that runs on an instance, as given by [`crate::worker::instance_at`].
    pub fn worker_on(&self, instance: &str) -> Option<(WorkerKey, &WorkerState)> {
        let mut workers = self.workers.iter().map(|(key, worker)| (*key, worker));
        workers.find(|(_, worker)| worker.spec.instance == instance)
    }

    /// Active jobs of which no worker has started any task.
    pub fn pending_jobs(&self) -> impl Iterator<Item = (JobId, &JobState)> {
        let jobs = self.active.iter().filter_map(|id| Some((*id, self.jobs.get(id)?)));
        jobs.filter(|(_, job)| job.is_pending())
    }
}

impl ReplicatedState for GraphState {
    type Record = GraphRecord;
    type Outcome = GraphOutcome;
    type Report = GraphReport;

    const MAX_BATCH_RECORDS: usize = 48;

    fn offset(&self) -> u64 {
        self.offset
    }

    fn apply_batch(&mut self, offset: u64, batch: &Batch<GraphRecord>) -> GraphReport {
        self.apply(offset, batch)
    }

    fn outcomes(report: &GraphReport) -> &[GraphOutcome] {
        report
    }
}
