//! What an agent tells the log of the runs on its worker.

use std::time::Duration;

use cuminbarrow_taskgraph::graph_state::GraphEffect;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RunEnd;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::worker::WorkerKey;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::agent_core::AgentCore;
use crate::replica::WRITE_RETRY_DELAY;
use crate::worker_session::SpeedNews;

/// Time between checkpoints in the log. A worker's crash loses at most that much more work.
const CHECKPOINT_EVERY: Duration = Duration::from_secs(2);
/// Least time between checkpoints, as a multiple of the time that the log took for the last ones.
const CHECKPOINT_PAUSE_FACTOR: u32 = 20;

impl AgentCore {
    /// Writes ends to the log, all that wait at once.
    pub(crate) async fn report_ends(&self) {
        loop {
            self.wake_reports.notified().await;
            self.report_stalled().await;
            self.report_speed().await;
            loop {
                let (worker, outgoing) = {
                    let mut session = self.session();
                    (session.worker, std::mem::take(&mut session.outgoing))
                };
                let Some(worker) = worker.filter(|_| !outgoing.is_empty()) else { break };
                self.report(worker, outgoing).await;
            }
        }
    }

    /// Tells the log of runs that stand still. One that still does is told again later.
    pub(crate) async fn report_stalled(&self) {
        let (worker, runs) = {
            let mut session = self.session();
            (session.worker, std::mem::take(&mut session.stalled))
        };
        let Some(worker) = worker.filter(|_| !runs.is_empty()) else { return };
        for run in &runs {
            log::warn!(run:% = run, worker:% = worker; "run stands still");
        }
        let record = GraphRecord::RunsStalled { worker, runs };
        if let Err(error) = self.replica.write(record).await {
            log::warn!(worker:% = worker; "stalled runs are not written: {error}");
        }
    }

    /// Tells the log that the worker is slow, or no longer. What does not get there mends itself: that
    /// it is slow is told again, and runs out.
    pub(crate) async fn report_speed(&self) {
        let (worker, news) = {
            let mut session = self.session();
            (session.worker, session.speed_news.take())
        };
        let (Some(worker), Some(news)) = (worker, news) else { return };
        let SpeedNews { is_slow, progress } = news;
        log::warn!(worker:% = worker, is_slow; "the worker's speed changed");
        let record = GraphRecord::WorkerSpeedReported { worker, is_slow, progress };
        if let Err(error) = self.replica.write(record).await {
            log::warn!(worker:% = worker; "the worker's speed is not written: {error}");
        }
    }

    pub(crate) async fn report(&self, worker: WorkerKey, outgoing: Vec<(Option<u64>, RunEnd)>) {
        let ends: Vec<RunEnd> = outgoing.iter().map(|(_, end)| end.clone()).collect();
        for end in &ends {
            log::info!(run:% = end.run, worker:% = worker, how:? = end.kind; "run ended");
        }
        let record = GraphRecord::RunsEnded { worker, ends };
        let outcome = loop {
            match self.replica.write(record.clone()).await {
                Ok(outcome) => break outcome,
                Err(error) => log::warn!(worker:% = worker; "ends are not written: {error}"),
            }
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        };
        match outcome {
            Ok(GraphEffect::Ended { superseded }) => {
                self.take_recorded(worker, &outgoing, &superseded);
            }
            // The worker was given up meanwhile, and its ends are listed again under its next key; or
            // the log has another agent for it until this one registers anew.
            other => {
                log::warn!(worker:% = worker, outcome:? = other; "ends were not taken");
                tokio::time::sleep(WRITE_RETRY_DELAY).await;
                self.session().take_back(worker, &outgoing);
            }
        }
        self.wake_polls.notify_one();
    }

    /// Ends in the log may be acknowledged, but for those of runs that were superseded.
    pub(crate) fn take_recorded(
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
                log::warn!(run:% = end.run, worker:% = worker; "an end came too late to count");
            } else if let Some(number) = number {
                session.unrecorded.remove(number);
            }
        }
    }

    pub(crate) async fn save_checkpoints(&self) {
        let mut pause = CHECKPOINT_EVERY;
        loop {
            tokio::time::sleep(pause).await;
            let began = Instant::now();
            let (worker, saved) = {
                let mut session = self.session();
                let fresh = std::mem::take(&mut session.checkpoints);
                let saved: Vec<(RunKey, SmolStr)> = fresh
                    .into_iter()
                    .filter(|(run, checkpoint)| session.saved.get(run) != Some(checkpoint))
                    .collect();
                session.saved.extend(saved.iter().cloned());
                (session.worker, saved)
            };
            let Some(worker) = worker.filter(|_| !saved.is_empty()) else { continue };
            let record = GraphRecord::CheckpointsSaved { worker, saved };
            if let Err(error) = self.replica.write(record).await {
                log::warn!(worker:% = worker; "checkpoints are not written: {error}");
            }
            // A log that is slow has better things to do.
            pause = CHECKPOINT_EVERY.max(began.elapsed() * CHECKPOINT_PAUSE_FACTOR);
        }
    }
}
