//! In-memory workers. Tasks are timers that end after their run time or when their lease expires.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use cuminbarrow_resources::worker_control::TaskEnd;
use cuminbarrow_resources::worker_control::TaskReport;
use cuminbarrow_resources::worker_control::TaskStart;
use cuminbarrow_resources::worker_control::WorkerControl;
use cuminbarrow_resources::worker_control::WorkerError;
use cuminbarrow_resources::worker_control::WorkerUsage;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::payload::Payload;
use crate::payload::task_result;

/// Interval at which running tasks are checked for their end.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Age of the usage that a worker reports.
const USAGE_REPORT_LAG: Duration = Duration::from_secs(2);

/// Faults of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Number of starts to refuse.
    pub fail_starts: u32,
    /// Refuses all starts.
    pub fail_all: bool,
    /// Fails all requests except the listing of running tasks as unreachable, and ends no tasks.
    /// Tasks whose lease or run time is over by then end when the worker is resumed.
    pub is_paused: bool,
}

/// A running task. Its `run_time` covers only the work left after the progress from which it was
/// resumed.
struct RunningTask {
    start: TaskStart,
    started_at: Instant,
    run_time: Duration,
    lease_expires_at: Instant,
}

impl RunningTask {
    fn progress_permille(&self, now: Instant) -> u16 {
        let total = self.run_time.as_millis().max(1);
        let done = now.duration_since(self.started_at).as_millis().min(total);
        let remaining = u128::from(1_000 - self.start.resume_permille.min(1_000));
        let done = u16::try_from(done * remaining / total).unwrap_or(1_000);
        self.start.resume_permille + done
    }

    /// How the task has ended by `now`; `None` while it runs.
    fn end(&self, now: Instant) -> Option<TaskEnd> {
        if now >= self.lease_expires_at {
            return Some(TaskEnd::LeaseLapsed);
        }
        if now < self.started_at + self.run_time {
            return None;
        }
        if Payload::parse(&self.start.payload).fails {
            return Some(TaskEnd::Failed { reason: SmolStr::new("the task failed") });
        }
        Some(TaskEnd::Completed { result: task_result(&self.start.payload) })
    }
}

/// Period in which a task ran, for checks in tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpan {
    /// Name of the worker.
    pub worker: SmolStr,
    /// Name of the task.
    pub task: SmolStr,
    /// Payload of the task.
    pub payload: SmolStr,
    /// Start, in ms since the fleet was created.
    pub from_ms: u64,
    /// End, in ms since the fleet was created; `None` while the task runs.
    pub until_ms: Option<u64>,
}

#[derive(Default)]
struct WorkerTasks {
    faults: WorkerFaults,
    tasks: BTreeMap<SmolStr, RunningTask>,
    reports: Vec<TaskReport>,
    usage: VecDeque<UsageSample>,
}

/// Bit mask of the accelerators in use from `since` on.
struct UsageSample {
    since: Instant,
    accelerators: u32,
}

impl WorkerTasks {
    /// Records the accelerators in use and drops samples that are too old to be reported.
    fn record_usage(&mut self) {
        let now = Instant::now();
        let used = self.tasks.values().fold(0, |mask, running| mask | running.start.accelerators);
        self.usage.push_back(UsageSample { since: now, accelerators: used });
        while self.usage.len() > 1 && self.usage[1].since + USAGE_REPORT_LAG <= now {
            self.usage.pop_front();
        }
    }

    /// Accelerators that were in use [`USAGE_REPORT_LAG`] ago.
    fn lagging_usage(&self) -> u32 {
        let as_of = Instant::now().checked_sub(USAGE_REPORT_LAG);
        let latest = self.usage.iter().rev().find(|sample| Some(sample.since) <= as_of);
        latest.map(|sample| sample.accelerators).unwrap_or_default()
    }
}

#[derive(Default)]
struct FleetState {
    workers: BTreeMap<SmolStr, WorkerTasks>,
    spans: Vec<TaskSpan>,
}

/// All workers of the stand-in. A worker is created when it is first used.
pub struct WorkerFleet {
    state: Mutex<FleetState>,
    reported: Notify,
    started_at: Instant,
}

impl WorkerFleet {
    /// Creates a fleet and starts a runtime task that ends the workers' tasks until the fleet is
    /// dropped.
    pub fn spawn() -> Arc<Self> {
        let fleet = Arc::new(Self {
            state: Mutex::new(FleetState::default()),
            reported: Notify::new(),
            started_at: Instant::now(),
        });
        let weak = Arc::downgrade(&fleet);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                let Some(fleet) = weak.upgrade() else { return };
                fleet.end_finished_tasks();
            }
        });
        fleet
    }

    /// Returns a client of the named worker, whether or not it exists already.
    pub fn worker(self: &Arc<Self>, name: impl Into<SmolStr>) -> Arc<dyn WorkerControl> {
        Arc::new(FleetWorker { fleet: Arc::clone(self), name: name.into() })
    }

    /// Replaces the faults of a worker.
    pub fn set_faults(&self, worker: &str, faults: WorkerFaults) {
        self.lock().workers.entry(worker.into()).or_default().faults = faults;
    }

    /// All periods in which a task ran, in the order of their starts.
    pub fn spans(&self) -> Vec<TaskSpan> {
        self.lock().spans.clone()
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends all tasks whose run time is over or whose lease expired, except on paused workers.
    fn end_finished_tasks(&self) {
        let now = Instant::now();
        let mut ends = Vec::new();
        let state = self.lock();
        for (name, worker) in state.workers.iter().filter(|(_, worker)| !worker.faults.is_paused) {
            for (task, running) in &worker.tasks {
                if let Some(end) = running.end(now) {
                    ends.push((name.clone(), TaskReport { task: task.clone(), end }));
                }
            }
        }
        drop(state);
        for (name, report) in ends {
            self.end_task(&name, report);
        }
    }

    /// Removes a task, queues its report and closes its span. Does nothing if the task has ended.
    fn end_task(&self, name: &SmolStr, report: TaskReport) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let Some(worker) = state.workers.get_mut(name) else { return };
        if worker.tasks.remove(&report.task).is_none() {
            return;
        }
        let task = report.task.clone();
        worker.reports.push(report);
        worker.record_usage();
        let span = state
            .spans
            .iter_mut()
            .rev()
            .find(|span| span.until_ms.is_none() && span.worker == *name && span.task == task);
        if let Some(span) = span {
            span.until_ms = Some(now_ms);
        }
        drop(state);
        self.reported.notify_waiters();
    }

    /// Starts a task. Starting it again is a no-op; a start on accelerators in use is refused.
    fn start(&self, name: &SmolStr, start: TaskStart) -> Result<(), WorkerError> {
        let from_ms = self.now_ms();
        let now = Instant::now();
        let mut state = self.lock();
        let worker = state.workers.entry(name.clone()).or_default();
        if worker.tasks.contains_key(&start.task) {
            return Ok(());
        }
        if worker.faults.fail_all || worker.faults.fail_starts > 0 {
            worker.faults.fail_starts = worker.faults.fail_starts.saturating_sub(1);
            return Err(WorkerError::Refused { reason: "the start failed".to_owned() });
        }
        let is_in_use = worker
            .tasks
            .values()
            .any(|running| running.start.accelerators & start.accelerators != 0);
        if is_in_use {
            return Err(WorkerError::Refused { reason: "an accelerator is taken".to_owned() });
        }
        let total_ms = Payload::parse(&start.payload).run_ms.unwrap_or(start.declared_run_ms);
        let remaining_ms = total_ms * u64::from(1_000 - start.resume_permille.min(1_000)) / 1_000;
        let running = RunningTask {
            started_at: now,
            run_time: Duration::from_millis(remaining_ms),
            lease_expires_at: now + Duration::from_millis(start.lease_ms),
            start: start.clone(),
        };
        worker.tasks.insert(start.task.clone(), running);
        worker.record_usage();
        state.spans.push(TaskSpan {
            worker: name.clone(),
            task: start.task,
            payload: start.payload,
            from_ms,
            until_ms: None,
        });
        Ok(())
    }

    fn renew(&self, name: &SmolStr, tasks: &[SmolStr], lease_ms: u64) {
        let lease_expires_at = Instant::now() + Duration::from_millis(lease_ms);
        let mut state = self.lock();
        let Some(worker) = state.workers.get_mut(name) else { return };
        for task in tasks {
            if let Some(running) = worker.tasks.get_mut(task) {
                running.lease_expires_at = lease_expires_at;
            }
        }
    }

    /// Stops a task. Without a checkpoint, only the progress it resumed from is kept.
    fn stop(&self, name: &SmolStr, task: &SmolStr, checkpoint: bool) {
        let progress = self.lock().workers.get(name).and_then(|worker| {
            let running = worker.tasks.get(task)?;
            let progress_permille = running.progress_permille(Instant::now());
            Some(if checkpoint { progress_permille } else { running.start.resume_permille })
        });
        if let Some(progress_permille) = progress {
            let end = TaskEnd::Stopped { progress_permille };
            self.end_task(name, TaskReport { task: task.clone(), end });
        }
    }

    /// Stretches the task's remaining run time as if it got only this share of the worker.
    fn throttle(&self, name: &SmolStr, task: &SmolStr, share_permille: u16) {
        let mut state = self.lock();
        let Some(worker) = state.workers.get_mut(name) else { return };
        if let Some(running) = worker.tasks.get_mut(task) {
            let now = Instant::now();
            let done = now.duration_since(running.started_at);
            let remaining = running.run_time.saturating_sub(done);
            running.run_time = done + remaining * 1_000 / u32::from(share_permille.max(1));
        }
    }

    /// Fails if the worker is paused.
    fn check_reachable(&self, name: &SmolStr) -> Result<(), WorkerError> {
        let is_paused = self.lock().workers.get(name).is_some_and(|worker| worker.faults.is_paused);
        if is_paused {
            return Err(WorkerError::Unreachable { reason: "the worker is paused".to_owned() });
        }
        Ok(())
    }

    /// Reports that follow the first `after` ones of a worker.
    fn reports_after(&self, name: &SmolStr, after: u64) -> Vec<TaskReport> {
        let skipped = usize::try_from(after).unwrap_or(usize::MAX);
        let state = self.lock();
        let reports = state.workers.get(name).map(|worker| worker.reports.iter().skip(skipped));
        reports.map(|reports| reports.cloned().collect()).unwrap_or_default()
    }
}

/// Client of one worker.
struct FleetWorker {
    fleet: Arc<WorkerFleet>,
    name: SmolStr,
}

#[async_trait]
impl WorkerControl for FleetWorker {
    async fn start(&self, task: TaskStart) -> Result<(), WorkerError> {
        self.fleet.check_reachable(&self.name)?;
        self.fleet.start(&self.name, task)
    }

    async fn renew(&self, tasks: Vec<SmolStr>, lease_ms: u64) -> Result<(), WorkerError> {
        self.fleet.check_reachable(&self.name)?;
        self.fleet.renew(&self.name, &tasks, lease_ms);
        Ok(())
    }

    async fn stop(&self, task: SmolStr, checkpoint: bool) -> Result<(), WorkerError> {
        self.fleet.check_reachable(&self.name)?;
        self.fleet.stop(&self.name, &task, checkpoint);
        Ok(())
    }

    async fn throttle(&self, task: SmolStr, share_permille: u16) -> Result<(), WorkerError> {
        self.fleet.check_reachable(&self.name)?;
        self.fleet.throttle(&self.name, &task, share_permille);
        Ok(())
    }

    async fn reports(&self, after: u64, wait_ms: u32) -> Result<Vec<TaskReport>, WorkerError> {
        self.fleet.check_reachable(&self.name)?;
        let deadline = Instant::now() + Duration::from_millis(u64::from(wait_ms));
        loop {
            let reported = self.fleet.reported.notified();
            let reports = self.fleet.reports_after(&self.name, after);
            if !reports.is_empty() || tokio::time::timeout_at(deadline, reported).await.is_err() {
                return Ok(reports);
            }
        }
    }

    async fn running(&self) -> Result<Vec<SmolStr>, WorkerError> {
        let state = self.fleet.lock();
        let tasks = state.workers.get(&self.name).map(|worker| worker.tasks.keys());
        Ok(tasks.map(|tasks| tasks.cloned().collect()).unwrap_or_default())
    }

    async fn usage(&self) -> Result<WorkerUsage, WorkerError> {
        self.fleet.check_reachable(&self.name)?;
        let state = self.fleet.lock();
        let accelerators = state.workers.get(&self.name).map(WorkerTasks::lagging_usage);
        let lag_ms = u64::try_from(USAGE_REPORT_LAG.as_millis()).unwrap_or(u64::MAX);
        Ok(WorkerUsage { lag_ms, accelerators: accelerators.unwrap_or_default() })
    }
}
