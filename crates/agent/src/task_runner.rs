//! Carries out the table's orders at the worker and brings back what becomes of tasks.

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

/// Tries of a start whose answer was lost; a second start of a task changes nothing.
const START_TRIES: u32 = 3;
/// Wait between tries.
const RETRY_WAIT: Duration = Duration::from_millis(200);
/// Time between looks at the worker's use.
const USAGE_EVERY: Duration = Duration::from_secs(10);
/// Wait for reports at the worker, in ms.
const REPORT_WAIT_MS: u32 = 10_000;

/// An order for a task.
pub(crate) enum TaskOrder {
    Start(TaskStart),
    Stop { task: SmolStr, checkpoint: bool },
}

/// Carries out orders one after the other, so that a stop never overtakes its start.
pub(crate) async fn run_orders(
    worker: Arc<dyn WorkerControl>,
    mut orders: mpsc::UnboundedReceiver<TaskOrder>,
    events: mpsc::Sender<AgentEvent>,
) {
    let budget = RetryBudget::default();
    while let Some(order) = orders.recv().await {
        match order {
            TaskOrder::Start(start) => {
                let task = start.task.clone();
                if let Err(error) = start_task(&*worker, &budget, start).await {
                    let reason = error.to_string();
                    let _ = events.send(AgentEvent::TaskRefused { task, reason }).await;
                }
            }
            TaskOrder::Stop { task, checkpoint } => {
                if let Err(error) = worker.stop(task.clone(), checkpoint).await {
                    log::warn!("task {task} can't be stopped, its lease will lapse: {error}");
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
                if tries < START_TRIES && budget.try_withdraw() =>
            {
                tokio::time::sleep(RETRY_WAIT).await;
            }
            result => return result,
        }
    }
}

/// Follows the worker's reports until the agent's event loop ends.
pub(crate) async fn follow_reports(
    worker: Arc<dyn WorkerControl>,
    events: mpsc::Sender<AgentEvent>,
) {
    let mut after = 0;
    loop {
        match worker.reports(after, REPORT_WAIT_MS).await {
            Err(error) => {
                log::warn!("the worker's reports can't be read: {error}");
                tokio::time::sleep(RETRY_WAIT * 5).await;
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

/// Follows the worker's account of its use, for the metrics; what is granted is accounted from
/// the log, never from this, since it lags.
pub(crate) async fn follow_usage(worker: Arc<dyn WorkerControl>, metrics: Arc<AgentMetrics>) {
    loop {
        tokio::time::sleep(USAGE_EVERY).await;
        match worker.usage().await {
            Err(error) => log::debug!("the worker's use can't be read: {error}"),
            Ok(usage) => {
                let count = u64::from(usage.accelerators.count_ones());
                metrics.used_accelerators.store(count, Ordering::Relaxed);
            }
        }
    }
}

/// Stops what an earlier incarnation left running.
pub(crate) async fn stop_leftovers(worker: &dyn WorkerControl) {
    let tasks = match worker.running().await {
        Err(error) => {
            log::warn!("the worker's tasks can't be listed, leases will lapse: {error}");
            return;
        }
        Ok(tasks) => tasks,
    };
    for task in tasks {
        log::info!("task {task} of an earlier incarnation is stopped");
        if let Err(error) = worker.stop(task, false).await {
            log::warn!("a task can't be stopped, its lease will lapse: {error}");
        }
    }
}
