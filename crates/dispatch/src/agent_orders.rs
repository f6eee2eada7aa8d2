//! The orders that an agent sends to its worker: start, throttle and stop runs.

use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::run_table::Order;
use cuminbarrow_taskgraph::run_table::StartAnswer;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::agent_core::AgentCore;
use crate::agent_core::OwnWorker;
use crate::agent_polls::LeaseEnd;
use crate::lease_grants::GrantNumber;
use crate::lease_grants::LeaseOrder;
use crate::lease_obstacle::LeaseObstacle;
use crate::worker_port::PortError;
use crate::worker_port::StartOrder;
use crate::worker_port::ThrottleOrder;
use crate::worker_session::WorkerSession;

/// Delay before orders are tried again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(200);

impl AgentCore {
    pub(crate) async fn send_orders(self: Arc<Self>) {
        loop {
            self.wake_orders.notified().await;
            let Some(own) = self.own_worker() else { continue };
            let holds_back_starts = self.holds_back_starts(&own);
            let (orders, throttles) = {
                let mut session = self.session();
                if session.worker != Some(own.key) {
                    continue;
                }
                session.table.set_draining(holds_back_starts);
                (session.table.next_orders(), session.throttle.next_orders())
            };
            for (run, percent) in throttles {
                let core = Arc::clone(&self);
                let own = own.clone();
                tokio::spawn(async move { core.throttle(&own, run, percent).await });
            }
            let mut waiting = Vec::new();
            for order in orders {
                let core = Arc::clone(&self);
                let own = own.clone();
                match order {
                    Order::Stop(run) => {
                        tokio::spawn(async move { core.stop(&own, run).await });
                    }
                    Order::Start(run) => match self.start_order(&own, run) {
                        Some((grant, order)) => {
                            tokio::spawn(async move { core.start(&own, grant, order).await });
                        }
                        None => waiting.push(run),
                    },
                }
            }
            self.record_waiting_starts(&own, &waiting);
        }
    }

    /// Wakes the orders that have failed or wait, all of them after one delay.
    pub(crate) async fn wake_order_retries(&self) {
        loop {
            self.retry_orders.notified().await;
            tokio::time::sleep(ORDER_RETRY_DELAY).await;
            self.wake_orders.notify_one();
        }
    }

    /// Records the runs whose starts were not sent because no lease is granted to them now. A change of
    /// what the worker waits for is logged.
    fn record_waiting_starts(&self, own: &OwnWorker, waiting: &[RunKey]) {
        if !waiting.is_empty() {
            self.retry_orders.notify_one();
        }
        let mut session = self.session();
        if session.worker != Some(own.key) {
            return;
        }
        for run in waiting {
            session.table.start_answered(*run, StartAnswer::NotSent);
        }
        let is_due = {
            let state = self.replica.state();
            waiting.iter().any(|run| is_wanted(&state, own.key, *run))
        };
        let obstacle = is_due.then(|| self.lease_obstacle(own, &session));
        if session.logged_obstacle == obstacle {
            return;
        }
        session.logged_obstacle = obstacle;
        match obstacle {
            Some(obstacle) => {
                log::info!(worker:% = own.key, starts = waiting.len(), obstacle:?; "starts wait for a lease");
            }
            None => log::info!(worker:% = own.key; "no start waits for a lease any more"),
        }
    }

    /// What keeps the worker from being granted a lease, given that none is granted to a run that the
    /// log places there.
    fn lease_obstacle(&self, own: &OwnWorker, session: &WorkerSession) -> LeaseObstacle {
        let lease_end = self.lease_end(session, |state| own.is_current(state));
        let missing = lease_end.and_then(|end| end.deadline_ms).err();
        missing.unwrap_or(LeaseObstacle::ReadTooOld)
    }

    async fn start(&self, own: &OwnWorker, grant: GrantNumber, order: StartOrder) {
        let run = order.run;
        let result = self.port.start(order).await;
        self.settle_grant(own, grant, &result);
        let answer = match result {
            Ok(timed) => {
                self.record_clock(own, timed.clock_ms);
                timed.answer
            }
            Err(error) => {
                self.handle_port_error(&error, "start");
                match error {
                    PortError::ConnectionRefused => StartAnswer::NotSent,
                    _ => StartAnswer::Unknown,
                }
            }
        };
        if answer != StartAnswer::NotSent {
            log::info!(run:% = run, worker:% = own.key, answer:? = answer; "start");
        }
        self.apply_start_answer(own, run, answer);
        self.wake_polls.notify_one();
        if matches!(answer, StartAnswer::Unknown | StartAnswer::TooLate | StartAnswer::NotSent) {
            self.retry_orders.notify_one();
        }
    }

    pub(crate) fn apply_start_answer(&self, own: &OwnWorker, run: RunKey, answer: StartAnswer) {
        let mut session = self.session();
        if session.worker != Some(own.key) {
            return;
        }
        if answer == StartAnswer::Started {
            // The worker's next incarnation, which has not reported yet, may have carried out the
            // order. Its clock started over, so the deadline in the order does not bound its lease.
            let now_ms = self.replica.clock.now_ms();
            session.leases.record(self.lease.latest_expiry_ms(now_ms));
            session.record_start(&self.replica.state(), run);
            if !session.started.is_empty() {
                self.wake_start_reports.notify_one();
            }
        }
        if let Some(end) = session.table.start_answered(run, answer) {
            session.outgoing_ends.push((None, end));
            self.wake_reports.notify_one();
        }
    }

    /// The order to start a run; `None` if no lease may be granted now, or if the log no longer places
    /// the run there.
    pub(crate) fn start_order(
        &self,
        own: &OwnWorker,
        run: RunKey,
    ) -> Option<(GrantNumber, StartOrder)> {
        let state = self.replica.state();
        let step = run.task.step;
        let job = state.jobs.get(&step.job).filter(|job| job.is_active())?;
        let spec = job.step_spec(step.step)?;
        let steps = job.steps.get(&(step.occurrence, step.step))?;
        let checkpoint = steps.representative(spec, run.task.index)?.checkpoint.clone();
        let advice = state.advice_for(step);
        let ticket = advice.map(|advice| advice.ticket(own.key)).unwrap_or_default();
        let payload = job.spec.payload.clone();
        drop(state);
        let (grant, deadline_ms) = self.grant_lease(own, run)?;
        let order = StartOrder {
            worker: own.name.clone(),
            run,
            payload,
            deadline_ms,
            fencing_token: own.fencing_token,
            checkpoint,
            ticket,
        };
        Some((grant, order))
    }

    /// Grants a lease for the order to start a run; `None` if no lease may be granted now, or if the log
    /// no longer places the run there.
    fn grant_lease(&self, own: &OwnWorker, run: RunKey) -> Option<(GrantNumber, u64)> {
        let is_due = |state: &GraphState| {
            own.is_current(state)
                && is_wanted(state, own.key, run)
                && !state.is_worker_evacuated(own.key)
        };
        let mut session = self.session();
        if session.worker != Some(own.key) {
            return None;
        }
        let LeaseEnd { deadline_ms, until_ms } = self.lease_end(&session, is_due).ok()?;
        let deadline_ms = deadline_ms.ok()?;
        let sent_ms = self.replica.clock.now_ms();
        let grant = session.leases.grant(LeaseOrder { started_run: Some(run), sent_ms, until_ms });
        Some((grant, deadline_ms))
    }

    /// Sends a throttle order. An order without an answer is sent again after the next poll.
    async fn throttle(&self, own: &OwnWorker, run: RunKey, percent: u32) {
        let order = ThrottleOrder {
            worker: own.name.clone(),
            run,
            percent,
            fencing_token: own.fencing_token,
        };
        let result = self.port.throttle(order).await;
        let is_acknowledged = result.is_ok();
        log::info!(run:% = run, worker:% = own.key, percent, is_acknowledged; "pace");
        match result {
            Err(error) => self.handle_port_error(&error, "pace"),
            Ok(timed) => self.record_clock(own, timed.clock_ms),
        }
        let mut session = self.session();
        if session.worker == Some(own.key) {
            session.throttle.answered(run, percent, is_acknowledged);
        }
    }

    pub(crate) async fn stop(&self, own: &OwnWorker, run: RunKey) {
        let result = self.port.stop(own.name.clone(), run, own.fencing_token).await;
        let is_acknowledged = result.is_ok();
        log::info!(run:% = run, worker:% = own.key, is_acknowledged; "stop");
        if let Err(error) = &result {
            self.handle_port_error(error, "stop");
        }
        self.apply_stop_answer(own, run, is_acknowledged);
        self.wake_polls.notify_one();
        if !is_acknowledged {
            self.retry_orders.notify_one();
        }
    }

    pub(crate) fn apply_stop_answer(&self, own: &OwnWorker, run: RunKey, is_acknowledged: bool) {
        let mut session = self.session();
        if session.worker == Some(own.key) {
            session.table.stop_answered(run, is_acknowledged);
        }
    }
}

/// Whether the log places the run on the worker and does not have it stopped.
fn is_wanted(state: &GraphState, worker: WorkerKey, run: RunKey) -> bool {
    let held = state.workers.get(&worker).and_then(|worker| worker.runs.get(&run));
    held.is_some_and(|held| held.stop_cause.is_none())
}
