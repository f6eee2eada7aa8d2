//! The records that an agent appends about the runs on its worker: starts, ends, checkpoints, stalls and
//! speed.

use std::ops::RangeInclusive;
use std::time::Duration;

use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_taskgraph::graph_state::GraphEffect;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_state::JobState;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::MAX_RUNS_PER_RECORD;
use cuminbarrow_taskgraph::record::RunEnd;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::worker::WorkerKey;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::agent_core::AgentCore;
use crate::replica::WRITE_RETRY_DELAY;
use crate::worker_session::SpeedUpdate;

/// Minimum time between checkpoint records. It bounds the additional work that a worker's crash loses.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum time between checkpoint records, as a multiple of the time that the log took for the last
/// one.
const CHECKPOINT_INTERVAL_FACTOR: u32 = 20;

/// Delay after which the start of a job's first task is recorded, in ms. Each record reaches all agents,
/// and the tasks of a job often start on several workers at once. Counts of jobs that have not started
/// may be 2 s old.
const START_REPORT_DELAY_MS: RangeInclusive<u64> = 200..=1_000;

impl AgentCore {
    /// Records run ends in the log, pending ones together.
    pub(crate) async fn report_ends(&self) {
        loop {
            self.wake_reports.notified().await;
            self.report_stalled().await;
            self.report_speed().await;
            loop {
                let (worker, outgoing) = {
                    let mut session = self.session();
                    let count = session.outgoing_ends.len().min(MAX_RUNS_PER_RECORD);
                    (session.worker, session.outgoing_ends.drain(..count).collect::<Vec<_>>())
                };
                let Some(worker) = worker.filter(|_| !outgoing.is_empty()) else { break };
                self.report(worker, outgoing).await;
            }
        }
    }

    /// Records in the log the jobs whose first task has started, after a delay in which another agent
    /// may do so. A lost record needs no retry: a run that goes on is reported again after the next
    /// poll, and the end of another one shows that it started.
    pub(crate) async fn report_starts(&self) {
        loop {
            self.wake_start_reports.notified().await;
            let delay_ms = rand::rng().random_range(START_REPORT_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let started = std::mem::take(&mut self.session().started);
            let runs: Vec<RunKey> = {
                let state = self.replica.state();
                let is_news = |job: &JobId| state.jobs.get(job).is_some_and(JobState::is_pending);
                let news = started.into_iter().filter(|(job, _)| is_news(job));
                news.map(|(_, run)| run).collect()
            };
            for runs in runs.chunks(MAX_RUNS_PER_RECORD) {
                let record = GraphRecord::RunsStarted { runs: runs.to_vec() };
                if let Err(error) = self.replica.write_report(record).await {
                    log::warn!("failed to record started runs: {error}");
                }
            }
        }
    }

    /// Records stalled runs in the log. A run that remains stalled is reported again later.
    pub(crate) async fn report_stalled(&self) {
        let (worker, runs) = {
            let mut session = self.session();
            (session.worker, std::mem::take(&mut session.stalled))
        };
        let Some(worker) = worker.filter(|_| !runs.is_empty()) else { return };
        for run in &runs {
            log::warn!(run:% = run, worker:% = worker; "run makes no progress");
        }
        for runs in runs.chunks(MAX_RUNS_PER_RECORD) {
            let record = GraphRecord::RunsStalled { worker, runs: runs.to_vec() };
            if let Err(error) = self.replica.write(record).await {
                log::warn!(worker:% = worker; "failed to record stalled runs: {error}");
            }
        }
    }

    /// Records in the log that the worker is slow, or no longer slow. A lost record needs no retry: a
    /// worker that stays slow is reported again, and a report that is not repeated expires.
    pub(crate) async fn report_speed(&self) {
        let (worker, update) = {
            let mut session = self.session();
            (session.worker, session.speed_update.take())
        };
        let (Some(worker), Some(update)) = (worker, update) else { return };
        let SpeedUpdate { is_slow, progress } = update;
        log::warn!(worker:% = worker, is_slow; "the worker's speed changed");
        let record = GraphRecord::WorkerSpeedReported { worker, is_slow, progress };
        if let Err(error) = self.replica.write(record).await {
            log::warn!(worker:% = worker; "failed to record the worker's speed: {error}");
        }
    }

    pub(crate) async fn report(&self, worker: WorkerKey, outgoing: Vec<(Option<u64>, RunEnd)>) {
        let ends: Vec<RunEnd> = outgoing.iter().map(|(_, end)| end.clone()).collect();
        for end in &ends {
            log::info!(run:% = end.run, worker:% = worker, how:? = end.kind; "run ended");
        }
        let mut record = GraphRecord::RunsEnded { worker, ends };
        let outcome = loop {
            match self.replica.write(record.clone()).await {
                Ok(outcome) => break outcome,
                // Only checkpoints can make a record that large. That a run has ended matters more.
                Err(WriteError::Rejected) => drop_checkpoints(&mut record),
                Err(error) => log::warn!(worker:% = worker; "failed to record run ends: {error}"),
            }
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        };
        match outcome {
            Ok(GraphEffect::Ended { superseded }) => {
                self.apply_recorded(worker, &outgoing, &superseded);
            }
            // Either the worker was removed in the meantime, and its ends are listed again under its
            // next key, or the log has another agent for it until this one registers again.
            other => {
                log::warn!(worker:% = worker, outcome:? = other; "the log did not accept run ends");
                tokio::time::sleep(WRITE_RETRY_DELAY).await;
                self.session().requeue_ends(worker, &outgoing);
            }
        }
        self.wake_polls.notify_one();
    }

    /// Allows recorded ends to be acknowledged to the worker, except those of superseded runs.
    pub(crate) fn apply_recorded(
        &self,
        worker: WorkerKey,
        outgoing: &[(Option<u64>, RunEnd)],
        superseded: &[RunKey],
    ) {
        let mut session = self.session();
        if session.worker != Some(worker) {
            return;
        }
        for (number, end) in outgoing {
            if superseded.contains(&end.run) {
                log::warn!(run:% = end.run, worker:% = worker; "ignored the end of a superseded run");
                session.superseded.extend(number);
            } else if let Some(number) = number {
                session.unrecorded.remove(number);
            }
        }
    }

    pub(crate) async fn save_checkpoints(&self) {
        let mut interval = CHECKPOINT_INTERVAL;
        loop {
            tokio::time::sleep(interval).await;
            let began = Instant::now();
            let (worker, saved) = {
                let mut session = self.session();
                let fresh = std::mem::take(&mut session.new_checkpoints);
                let saved: Vec<(RunKey, SmolStr)> = fresh
                    .into_iter()
                    .filter(|(run, latest)| session.saved_checkpoints.get(run) != Some(latest))
                    .collect();
                session.saved_checkpoints.extend(saved.iter().cloned());
                (session.worker, saved)
            };
            let Some(worker) = worker.filter(|_| !saved.is_empty()) else { continue };
            for saved in saved.chunks(MAX_RUNS_PER_RECORD) {
                let record = GraphRecord::CheckpointsSaved { worker, saved: saved.to_vec() };
                if let Err(error) = self.replica.write(record).await {
                    log::warn!(worker:% = worker; "failed to record checkpoints: {error}");
                }
            }
            // A slow log is not loaded with frequent checkpoints.
            interval = CHECKPOINT_INTERVAL.max(began.elapsed() * CHECKPOINT_INTERVAL_FACTOR);
        }
    }
}

/// Drops the checkpoints from a record of ends.
fn drop_checkpoints(record: &mut GraphRecord) {
    let GraphRecord::RunsEnded { worker, ends } = record else { return };
    log::error!(worker:% = worker, ends = ends.len(); "dropping the checkpoints of run ends: the log rejects them");
    ends.iter_mut().for_each(|end| end.checkpoint = SmolStr::default());
}
