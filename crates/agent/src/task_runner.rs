//! Sends the gang table's commands to the worker, and its reports to the event loop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminbarrow_resources::retry_budget::RetryBudget;
use cuminbarrow_resources::worker_control::TaskStart;
use cuminbarrow_resources::worker_control::WorkerControl;
use cuminbarrow_resources::worker_control::WorkerError;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::agent_daemon::AgentEvent;
use crate::agent_metrics::AgentMetrics;

/// Maximum number of calls to start a task when answers are lost. Starting a task is idempotent.
const MAX_START_TRIES: u32 = 3;
/// Delay between the calls to start a task. After a failed read of reports the delay is five times
/// as long.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between reads of the worker's usage.
const USAGE_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which the worker is asked to wait for reports.
const REPORT_POLL_WAIT_MS: u32 = 10_000;

/// A command to the worker about one task.
pub(crate) enum TaskCommand {
    Start(TaskStart),
    Stop { task: SmolStr, checkpoint: bool },
}

/// Executes commands sequentially, so that a stop never overtakes the start of the same task.
pub(crate) async fn run_commands(
    worker: Arc<dyn WorkerControl>,
    mut commands: mpsc::UnboundedReceiver<TaskCommand>,
    events: mpsc::Sender<AgentEvent>,
) {
    let budget = RetryBudget::default();
    while let Some(command) = commands.recv().await {
        match command {
            TaskCommand::Start(start) => {
                let task = start.task.clone();
                if let Err(error) = start_task(&*worker, &budget, start).await {
                    let reason = error.to_string();
                    let _ = events.send(AgentEvent::TaskRefused { task, reason }).await;
                }
            }
            TaskCommand::Stop { task, checkpoint } => {
                if let Err(error) = worker.stop(task.clone(), checkpoint).await {
                    log::warn!("cannot stop task {task}, its lease will lapse: {error}");
                }
            }
        }
    }
}

async fn start_task(
    worker: &dyn WorkerControl,
    budget: &RetryBudget,
    start: TaskStart,
) -> Result<(), WorkerError> {
    budget.deposit();
    let mut tries = 0;
    loop {
        tries += 1;
        match worker.start(start.clone()).await {
            Err(WorkerError::Unreachable { .. })
                if tries < MAX_START_TRIES && budget.try_withdraw() =>
            {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Polls the worker's reports until the event loop ends.
pub(crate) async fn poll_reports(worker: Arc<dyn WorkerControl>, events: mpsc::Sender<AgentEvent>) {
    let mut after = 0;
    loop {
        match worker.reports(after, REPORT_POLL_WAIT_MS).await {
            Err(error) => {
                log::warn!("cannot read the worker's reports: {error}");
                tokio::time::sleep(RETRY_DELAY * 5).await;
            }
            Ok(reports) => {
                after += reports.len() as u64;
                for report in reports {
                    if events.send(AgentEvent::TaskEnded(report)).await.is_err() {
                        return;
                    }
                }
            }
        }
        if events.is_closed() {
            return;
        }
    }
}

/// Polls the worker's usage for the metrics. Usage lags behind, so granted resources are always
/// computed from the log and never from it.
pub(crate) async fn poll_usage(worker: Arc<dyn WorkerControl>, metrics: Arc<AgentMetrics>) {
    loop {
        tokio::time::sleep(USAGE_POLL_INTERVAL).await;
        match worker.usage().await {
            Err(error) => log::debug!("cannot read the worker's usage: {error}"),
            Ok(usage) => {
                let count = u64::from(usage.accelerators.count_ones());
                metrics.used_accelerators.store(count, Ordering::Relaxed);
            }
        }
    }
}

/// Stops tasks that an earlier incarnation of the agent left running.
pub(crate) async fn stop_orphaned_tasks(worker: &dyn WorkerControl) {
    let tasks = match worker.running().await {
        Err(error) => {
            log::warn!("cannot list the worker's tasks, their leases will lapse: {error}");
            return;
        }
        Ok(tasks) => tasks,
    };
    for task in tasks {
        log::info!("stopping task {task} of an earlier incarnation");
        if let Err(error) = worker.stop(task, false).await {
            log::warn!("cannot stop a task, its lease will lapse: {error}");
        }
    }
}
