//! The replicated state, and the fold that makes it.

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
use snafu::ensure;

use crate::job_id::JobId;
use crate::job_spec::StepSpec;
use crate::job_state::JobPhase;
use crate::job_state::JobState;
use crate::record::GraphRecord;
use crate::record::ProcessRole;
use crate::refusal::GraphRefusal;
use crate::refusal::StaleEpochSnafu;
use crate::step_advice::StepAdvice;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::StopCause;
use crate::worker::WorkerKey;
use crate::worker::WorkerState;

/// Time for which an ended job is kept, in ms. Callers may ask for its state for 120 s; the rest
/// allows for clocks that jump.
const ENDED_JOB_RETENTION_MS: u64 = 180_000;
/// Writers are forgotten after this many batches without one of theirs. A late copy of an append
/// arrives seconds later, long before that many batches.
const WRITER_RETENTION_BATCHES: u64 = 50_000;
/// Batches between looks for writers to forget.
const WRITER_CLEANUP_INTERVAL_BATCHES: u64 = 1_000;
/// Processes of one role that are remembered; instances that went without a word fall out.
const MAX_PROCESSES: usize = 1_024;

/// A process of the system that serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessState {
    /// Its role.
    pub role: ProcessRole,
    /// Instance on which it runs.
    pub instance: SmolStr,
    /// Region in which it stands.
    pub region: SmolStr,
    /// Data centre in which it stands.
    pub data_centre: SmolStr,
    /// Where other processes reach it.
    pub address: SocketAddr,
    /// Offset of its announcement.
    pub since_offset: u64,
}

/// Time for which room that was taken back is kept, in ms. Tasks run for up to some ten seconds, and
/// room that is wanted back within the time of a task is no room for it.
const RECLAIM_RETENTION_MS: u64 = 10_000;

/// Runs after which the mean of a queue tells what its tasks take.
const MIN_DURATION_SAMPLES: u32 = 3;

/// How long runs of a queue's tasks take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunDuration {
    /// Runs seen.
    pub count: u32,
    /// Moving average, in ms.
    pub mean_ms: u32,
}

impl RunDuration {
    /// Weight of a new value in the moving average: one part in this many.
    const SMOOTHING: i64 = 8;

    pub(crate) fn record(&mut self, run_ms: u64) {
        let run_ms = i64::try_from(run_ms).unwrap_or(i64::MAX).min(i64::from(u32::MAX));
        let mean_ms = i64::from(self.mean_ms);
        let weight = Self::SMOOTHING.min(i64::from(self.count) + 1);
        self.mean_ms = u32::try_from(mean_ms + (run_ms - mean_ms) / weight).unwrap_or(u32::MAX);
        self.count = self.count.saturating_add(1);
    }
}

/// A worker that runs everything slowly.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowWorker {
    /// When that was told last, in ms since the Unix epoch.
    pub seen_ms: u64,
    /// Its runs then, with how far they had come in percent.
    pub progress: Vec<(RunKey, u8)>,
}

/// What a record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GraphEffect {
    /// It was applied.
    Done,
    /// The job was accepted, now or before, by this queue.
    Job {
        /// Queue that holds it.
        queue: SmolStr,
    },
    /// The ends are settled.
    Ended {
        /// Runs that finished, but whose tasks were started anew before that was known. Their ends
        /// must not be acknowledged to the worker.
        superseded: Vec<RunKey>,
    },
    /// The worker is known by this key.
    Worker {
        /// Its key.
        worker: WorkerKey,
    },
}

/// What became of a record.
pub type GraphOutcome = Result<GraphEffect, GraphRefusal>;

/// What became of a batch's records, in order.
pub type GraphReport = Vec<GraphOutcome>;

/// Everything that the log has decided so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GraphState {
    /// Offset of the next batch.
    pub offset: u64,
    /// Latest wall clock of any writer, in ms since the Unix epoch.
    pub clock_ms: u64,
    /// Offset of the first batch that no snapshot covers, as the log tells.
    pub snapshot_offset: u64,
    /// Who plans.
    pub planner: PlannerState,
    /// Offset after the planner's last batch.
    pub planner_last_offset: u64,
    /// Processes that serve, by incarnation.
    pub processes: BTreeMap<u64, ProcessState>,
    /// Offset after the last change of the processes.
    pub processes_changed_offset: u64,
    /// Workers that are there.
    pub workers: BTreeMap<WorkerKey, WorkerState>,
    /// Jobs.
    pub jobs: BTreeMap<JobId, JobState>,
    /// Jobs that wait or run.
    pub active: BTreeSet<JobId>,
    /// Jobs that have ended, oldest first, with when.
    pub ended: VecDeque<(u64, JobId)>,
    /// Accelerators taken back from less urgent work of late, with when, by service.
    pub reclaims: BTreeMap<SmolStr, VecDeque<(u64, u32)>>,
    /// How long runs take, by queue.
    pub durations: BTreeMap<SmolStr, RunDuration>,
    pub(crate) next_worker: u32,
    pub(crate) writers: BTreeMap<u64, WriterState>,
    /// Which workers may run steps of advised queues.
    pub(crate) advice: BTreeMap<StepKey, StepAdvice>,
    /// Workers that ran slowly when their agents looked last.
    pub(crate) slow_workers: BTreeMap<WorkerKey, SlowWorker>,
}

impl GraphState {
    /// Applies the batch at `offset`, which must be the next one.
    ///
    /// Total and deterministic: a record whose precondition fails changes nothing.
    pub fn apply(&mut self, offset: u64, batch: &Batch<GraphRecord>) -> GraphReport {
        self.offset = offset + 1;
        if self.is_duplicate(batch) {
            return vec![Err(GraphRefusal::Duplicate); batch.records.len()];
        }
        self.record_writer(offset, batch);
        self.clock_ms = self.clock_ms.max(batch.at_ms);
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

    fn remove_expired_jobs(&mut self) {
        while let Some(&(at_ms, job)) = self.ended.front() {
            if at_ms + ENDED_JOB_RETENTION_MS > self.clock_ms {
                return;
            }
            self.ended.pop_front();
            self.jobs.remove(&job);
        }
    }

    /// Asks one run to stop.
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
            GraphRecord::ProcessDown { incarnation } => {
                self.processes.remove(incarnation);
                self.processes_changed_offset = self.offset;
                Ok(GraphEffect::Done)
            }
            GraphRecord::JobAccepted { job, spec, terms } => {
                Ok(self.job_accepted(*job, spec, terms))
            }
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
                ensure!(
                    *epoch == self.planner.epoch + 1,
                    StaleEpochSnafu { epoch: *epoch, current: self.planner.epoch }
                );
                self.planner = PlannerState { epoch: *epoch, instance: Some(*instance) };
                self.planner_last_offset = self.offset;
                Ok(GraphEffect::Done)
            }
            GraphRecord::PlannerReleased { epoch } => {
                self.check_epoch(*epoch)?;
                self.planner.instance = None;
                Ok(GraphEffect::Done)
            }
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
            GraphRecord::PlannerRenewed { epoch } => {
                self.check_epoch(*epoch).map(|()| GraphEffect::Done)
            }
        }
    }

    fn check_epoch(&self, epoch: u64) -> Result<(), GraphRefusal> {
        let current = self.planner.epoch;
        ensure!(epoch == current, StaleEpochSnafu { epoch, current });
        Ok(())
    }

    /// A process of the same role on the same instance takes the place of an earlier one.
    fn process_up(&mut self, incarnation: u64, process: ProcessState) -> GraphEffect {
        let is_same =
            |other: &ProcessState| other.role == process.role && other.instance == process.instance;
        self.processes_changed_offset = self.offset;
        self.processes.retain(|_, other| !is_same(other));
        self.processes.insert(incarnation, process);
        if self.processes.len() > MAX_PROCESSES {
            let oldest = self.processes.iter().min_by_key(|(_, process)| process.since_offset);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                self.processes.remove(&oldest);
            }
        }
        GraphEffect::Done
    }

    /// Ends a job and drops what only a running job needs.
    pub(crate) fn end_job(&mut self, job: JobId, phase: JobPhase) {
        let clock_ms = self.clock_ms;
        let Some(state) = self.jobs.get_mut(&job) else { return };
        state.phase = phase;
        state.steps.clear();
        state.finished.clear();
        state.spec = Default::default();
        self.active.remove(&job);
        self.remove_advice(job);
        self.ended.push_back((clock_ms, job));
    }

    pub(crate) fn record_reclaim(&mut self, service: SmolStr, accelerators: u32) {
        let reclaims = self.reclaims.entry(service).or_default();
        reclaims.push_back((self.clock_ms, accelerators));
        let oldest_ms = self.clock_ms.saturating_sub(RECLAIM_RETENTION_MS);
        while reclaims.front().is_some_and(|(at_ms, _)| *at_ms < oldest_ms) {
            reclaims.pop_front();
        }
    }

    /// Accelerators of a service that were taken back from less urgent work of late.
    pub fn recently_reclaimed(&self, service: &str, now_ms: u64) -> u32 {
        let oldest_ms = now_ms.saturating_sub(RECLAIM_RETENTION_MS);
        let reclaims = self.reclaims.get(service).into_iter().flatten();
        reclaims.filter(|(at_ms, _)| *at_ms >= oldest_ms).map(|(_, count)| count).sum()
    }

    /// What a task of a job's step usually takes, in ms: the mean of its queue once that is known.
    pub fn typical_run_ms(&self, job: &JobState, spec: &StepSpec) -> u64 {
        let known = self.durations.get(&job.terms.queue);
        let known = known.filter(|known| known.count >= MIN_DURATION_SAMPLES);
        u64::from(known.map_or(spec.estimate_ms, |known| known.mean_ms))
    }

    /// Worker on which a run holds room.
    pub fn worker_of(&self, run: RunKey) -> Option<WorkerKey> {
        let step = run.task.step;
        let state = self.jobs.get(&step.job)?.steps.get(&(step.occurrence, step.step))?;
        let task = state.tasks.get(run.task.index as usize)?;
        task.current.iter().find(|place| place.run == run.run).map(|place| place.worker)
    }

    /// The worker that stands on an instance.
    pub fn worker_on(&self, instance: &str) -> Option<(WorkerKey, &WorkerState)> {
        let mut workers = self.workers.iter().map(|(key, worker)| (*key, worker));
        workers.find(|(_, worker)| worker.spec.instance == instance)
    }

    /// Jobs of a queue none of whose tasks was placed yet.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let jobs = self.active.iter().filter_map(|job| self.jobs.get(job));
        jobs.filter(|job| job.terms.queue == queue && !job.has_started).count()
    }
}

impl ReplicatedState for GraphState {
    type Record = GraphRecord;
    type Outcome = GraphOutcome;
    type Report = GraphReport;

    /// Records of 4 KB each stay well below the 256 KiB that the log takes at once.
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
