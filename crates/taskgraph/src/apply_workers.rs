//! Effects of records about workers.

use snafu::OptionExt;
use snafu::ensure;

use crate::graph_state::GraphEffect;
use crate::graph_state::GraphOutcome;
use crate::graph_state::GraphState;
use crate::graph_state::SlowWorker;
use crate::record::EndKind;
use crate::record::RunEnd;
use crate::refusal::GraphRefusal;
use crate::refusal::NotSuspectedSnafu;
use crate::refusal::SupersededSnafu;
use crate::refusal::UnknownWorkerSnafu;
use crate::task_key::RunKey;
use crate::worker::StopCause;
use crate::worker::WorkerKey;
use crate::worker::WorkerSpec;
use crate::worker::WorkerState;
use crate::worker::WorkerStatus;

/// How long a report that a worker is slow remains valid, in ms: two of the 2 s intervals at which
/// its agent repeats the report, and a margin. A worker that has no runs left to measure is used
/// again after this time.
const SLOW_REPORT_TTL_MS: u64 = 5_000;

impl GraphState {
    /// Registers a worker, or a new agent of a registered one. Each registration gets a higher
    /// fencing token than all earlier ones and clears a suspicion.
    pub(crate) fn worker_registered(
        &mut self,
        offset: u64,
        agent: u64,
        spec: &WorkerSpec,
    ) -> GraphOutcome {
        let fencing_token = offset + 1;
        self.speed_profiles.record_presence(&spec.instance, true, self.clock_ms);
        let known = self.worker_on(&spec.instance);
        if let Some((key, _)) = known.filter(|(_, known)| known.spec.is_same_incarnation(spec)) {
            self.update_registration(key, agent, fencing_token, spec);
            return Ok(GraphEffect::Worker { worker: key });
        }
        let earlier = known.map(|(key, known)| (key, known.spec.started_ms));
        if let Some((worker, earlier_started_ms)) = earlier {
            ensure!(earlier_started_ms <= spec.started_ms, SupersededSnafu { worker });
        }
        let key = WorkerKey(self.next_worker);
        self.next_worker += 1;
        let worker = WorkerState {
            spec: spec.clone(),
            agent,
            fencing_token,
            status: WorkerStatus::Ready,
            runs: Default::default(),
            used: Default::default(),
            consecutive_failures: 0,
            last_failure_ms: 0,
        };
        self.workers.insert(key, worker);
        if let Some((earlier, _)) = earlier {
            self.transfer_runs(earlier, key);
        }
        Ok(GraphEffect::Worker { worker: key })
    }

    /// Transfers the runs of a worker to its next incarnation. An order for the earlier incarnation
    /// may have been carried out by the next one, or may still be, so the runs hold their resources
    /// until the agent has stopped them there and seen that they are gone.
    fn transfer_runs(&mut self, earlier: WorkerKey, next: WorkerKey) {
        let Some(removed) = self.workers.remove(&earlier) else { return };
        self.slow_workers.remove(&earlier);
        self.worker_health.forget(earlier);
        let runs: Vec<RunKey> = removed.runs.keys().copied().collect();
        if let Some(worker) = self.workers.get_mut(&next) {
            worker.inherit(removed);
        }
        for run in runs {
            self.move_run(run, next);
            let step = run.task.step;
            let spec = self.jobs.get(&step.job).and_then(|job| job.step_spec(step.step));
            if spec.is_some_and(|spec| spec.gang) {
                self.stop_step(step, StopCause::GangBroken);
            }
        }
    }

    fn move_run(&mut self, run: RunKey, worker: WorkerKey) {
        let step = run.task.step;
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(state) = job.steps.get_mut(&(step.occurrence, step.step)) else { return };
        state.move_run(run.task.index, run.run, worker);
    }

    fn update_registration(
        &mut self,
        key: WorkerKey,
        agent: u64,
        fencing_token: u64,
        spec: &WorkerSpec,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else { return };
        worker.agent = agent;
        worker.fencing_token = fencing_token;
        worker.spec = spec.clone();
        if worker.is_suspected() {
            worker.status = WorkerStatus::Ready;
        }
    }

    pub(crate) fn worker_draining(&mut self, worker: WorkerKey, until_ms: u64) -> GraphOutcome {
        let state = self.workers.get_mut(&worker).context(UnknownWorkerSnafu { worker })?;
        if !state.is_suspected() {
            state.status = WorkerStatus::Draining { until_ms };
        }
        Ok(GraphEffect::Done)
    }

    pub(crate) fn worker_suspected(
        &mut self,
        offset: u64,
        worker: WorkerKey,
        agent: u64,
    ) -> GraphOutcome {
        let state = self.workers.get_mut(&worker).context(UnknownWorkerSnafu { worker })?;
        ensure!(state.agent == agent && !state.is_suspected(), SupersededSnafu { worker });
        state.status = WorkerStatus::Suspected { since_offset: offset };
        Ok(GraphEffect::Done)
    }

    pub(crate) fn worker_removed(
        &mut self,
        writer: u64,
        worker: WorkerKey,
        suspicion_offset: u64,
    ) -> GraphOutcome {
        if suspicion_offset == 0 {
            self.check_agent(writer, worker)?;
        } else {
            let state = self.workers.get(&worker).context(UnknownWorkerSnafu { worker })?;
            let is_suspected_since =
                state.status == WorkerStatus::Suspected { since_offset: suspicion_offset };
            ensure!(is_suspected_since, NotSuspectedSnafu { worker });
        }
        self.remove_worker(worker);
        Ok(GraphEffect::Done)
    }

    /// Checks that the writer is the worker's current agent. What an earlier agent knew may be
    /// outdated by the time its record is applied.
    pub(crate) fn check_agent(&self, writer: u64, worker: WorkerKey) -> Result<(), GraphRefusal> {
        let state = self.workers.get(&worker).context(UnknownWorkerSnafu { worker })?;
        ensure!(state.agent == writer, SupersededSnafu { worker });
        Ok(())
    }

    pub(crate) fn worker_speed_reported(
        &mut self,
        worker: WorkerKey,
        is_slow: bool,
        progress: &[(RunKey, u8)],
    ) -> GraphOutcome {
        let known = self.workers.get(&worker).context(UnknownWorkerSnafu { worker })?;
        if is_slow || self.slow_workers.contains_key(&worker) {
            self.speed_profiles.record_slow(&known.spec.instance, self.clock_ms);
        }
        if is_slow {
            let slow = SlowWorker { seen_ms: self.clock_ms, progress: progress.to_vec() };
            self.slow_workers.insert(worker, slow);
        } else {
            self.slow_workers.remove(&worker);
        }
        Ok(GraphEffect::Done)
    }

    /// Whether a worker was recently reported as slow.
    pub fn is_slow(&self, worker: WorkerKey, now_ms: u64) -> bool {
        self.slow_workers
            .get(&worker)
            .is_some_and(|slow| now_ms < slow.seen_ms + SLOW_REPORT_TTL_MS)
    }

    /// Removes a worker. Its runs have ended with it, and their tasks wait to be placed again.
    fn remove_worker(&mut self, worker: WorkerKey) {
        let Some(state) = self.workers.get(&worker) else { return };
        let runs: Vec<RunKey> = state.runs.keys().copied().collect();
        for run in runs {
            let end = RunEnd { run, kind: EndKind::Lapsed, checkpoint: Default::default() };
            self.run_ended(worker, &end);
        }
        if let Some(removed) = self.workers.remove(&worker) {
            let instance = &removed.spec.instance;
            self.speed_profiles.record_presence(instance, false, self.clock_ms);
        }
        self.slow_workers.remove(&worker);
        self.worker_health.forget(worker);
    }
}
