//! An agent's polling of its worker: extends the lease, processes the lists of runs, and removes a
//! worker that is lost or has shut down.

use std::time::Duration;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::lease_terms::ClockSample;
use cuminbarrow_taskgraph::lease_terms::LEASE_EXPIRY_MARGIN_MS;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::run_table::PollNumber;
use cuminbarrow_taskgraph::worker::WorkerKey;
use tokio::time::Instant;

use crate::agent_core::AgentCore;
use crate::agent_core::OwnWorker;
use crate::lease_grants::Delivery;
use crate::lease_grants::GrantNumber;
use crate::lease_grants::LeaseOrder;
use crate::lease_obstacle::LeaseObstacle;
use crate::replica::WRITE_RETRY_DELAY;
use crate::worker_port::PortError;
use crate::worker_port::RenewalAnswer;
use crate::worker_port::RenewalOrder;
use crate::worker_port::TimestampedAnswer;
use crate::worker_reports::REPORT_TIMEOUT_MS;
use crate::worker_session::SpeedUpdate;
use crate::worker_session::WorkerSession;
use crate::worker_session::expectation_of;
use crate::worker_session::throttle_class_of;
use crate::worker_session::typical_duration_of;

/// Maximum time that one poll waits for a run to end, in ms.
const POLL_WAIT_MS: u64 = 1_000;
/// Maximum time that one poll waits while best-effort tasks may slow down latency-sensitive ones, in
/// ms. Workers report latencies over the last half second.
const THROTTLING_POLL_WAIT_MS: u64 = 400;
/// Maximum time that one poll waits while only a poll can show that a stopped run is gone, in ms.
const PROOF_POLL_WAIT_MS: u64 = 50;
/// Maximum time that one poll waits while the worker's lease is short, in ms. The next poll extends it
/// as soon as the log is read again.
const SHORT_LEASE_POLL_WAIT_MS: u64 = 200;
/// Remaining time at which a lease is short, in ms: the wait of a poll, its answer, and a second to
/// read the log again. Leases last at least 6 s, and are extended every second.
const SHORT_LEASE_MS: u64 = 2_500;
/// Delay after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time between polls while listed run ends are not in the log yet: the worker then answers without
/// waiting.
const BACKLOG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between polls while nothing runs.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Time without an answer after which a worker's lease is no longer extended, in ms: one poll and one
/// retry.
const POLL_ANSWER_TIMEOUT_MS: u64 = 2_000;

/// End of a lease that may be granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseEnd {
    /// End on the worker's clock in ms, or why an order can't name it.
    pub(crate) deadline_ms: Result<u64, LeaseObstacle>,
    /// End on the boot-time clock in ms.
    pub(crate) until_ms: u64,
}

impl AgentCore {
    pub(crate) async fn poll_worker(&self) {
        let mut last_poll = Instant::now();
        loop {
            let Some(own) = self.own_worker() else {
                tokio::select! {
                    () = self.wake_polls.notified() => {}
                    () = tokio::time::sleep(POLL_RETRY_DELAY) => {}
                }
                if let Some(orphan) =
                    self.orphaned_worker().filter(|orphan| self.has_lapsed(*orphan))
                {
                    log::warn!(worker:% = orphan; "removing an orphaned worker from the log");
                    self.remove_worker(orphan, RemovalCause::Lapsed).await;
                }
                continue;
            };
            if self.session_of(own.key).is_some_and(|session| session.has_left_idle()) {
                self.remove_worker(own.key, RemovalCause::Left).await;
                continue;
            }
            let is_idle = self.session().table.is_idle();
            if is_idle && last_poll.elapsed() < IDLE_POLL_INTERVAL {
                let until = last_poll + IDLE_POLL_INTERVAL;
                tokio::select! {
                    () = self.wake_polls.notified() => {}
                    () = tokio::time::sleep_until(until) => {}
                }
                continue;
            }
            let wait_ms = self.poll_wait_ms(last_poll);
            last_poll = Instant::now();
            if !self.poll_once(&own, wait_ms).await {
                self.remove_if_lost(&own).await;
                tokio::time::sleep(POLL_RETRY_DELAY).await;
            }
        }
    }

    /// Time that the next poll waits for a run to end, in ms. It is 0 if the clock sample is missing or
    /// old, or while listed ends are not acknowledged, as the worker answers without waiting while it
    /// has any.
    pub(crate) fn poll_wait_ms(&self, last_poll: Instant) -> u64 {
        let session = self.session();
        let wait_ms = self.max_poll_wait_ms(&session, last_poll);
        let confirmed_ms = self.replica.confirmed_ms().unwrap_or(0);
        let lease_ends_ms = confirmed_ms.saturating_add(self.lease.duration_ms);
        let is_short = lease_ends_ms < self.replica.clock.now_ms().saturating_add(SHORT_LEASE_MS);
        if is_short { wait_ms.min(SHORT_LEASE_POLL_WAIT_MS) } else { wait_ms }
    }

    fn max_poll_wait_ms(&self, session: &WorkerSession, last_poll: Instant) -> u64 {
        let is_recent = last_poll.elapsed() < Duration::from_millis(2 * POLL_WAIT_MS);
        if session.clock_sample.is_none() || !is_recent || !session.unrecorded.is_empty() {
            0
        } else if session.table.awaits_proof() {
            PROOF_POLL_WAIT_MS
        } else if session.throttle.is_needed() {
            THROTTLING_POLL_WAIT_MS
        } else {
            POLL_WAIT_MS
        }
    }

    /// Requests the worker's lists of runs and extends its lease. Returns whether the worker answered.
    pub(crate) async fn poll_once(&self, own: &OwnWorker, wait_ms: u64) -> bool {
        let Some((poll, grant, order)) = self.renewal_order(own, wait_ms) else { return false };
        let result = self.port.renew(order).await;
        self.settle_grant(own, grant, &result);
        match result {
            Err(error) => {
                if let Some(mut session) = self.session_of(own.key) {
                    session.record_no_answer();
                }
                self.handle_port_error(&error, "renew");
                false
            }
            Ok(TimestampedAnswer { answer, .. })
                if answer.started_ms.is_some_and(|at| at != own.started_ms) =>
            {
                let answered_ms = answer.started_ms;
                log::warn!(worker:% = own.key, born_ms = own.started_ms, answered_ms; "another incarnation of the worker answered");
                if let Some(mut session) = self.session_of(own.key) {
                    session.record_replaced();
                }
                self.handle_port_error(&PortError::OtherIncarnation, "renew");
                false
            }
            Ok(TimestampedAnswer { clock_ms, answer }) => {
                if self.apply_renewal_answer(own, poll, clock_ms, &answer) {
                    tokio::time::sleep(BACKLOG_POLL_INTERVAL).await;
                }
                true
            }
        }
    }

    pub(crate) fn renewal_order(
        &self,
        own: &OwnWorker,
        wait_ms: u64,
    ) -> Option<(PollNumber, GrantNumber, RenewalOrder)> {
        let mut session = self.session_of(own.key)?;
        let sent_ms = self.replica.clock.now_ms();
        session.release_blocked_ends(self.lease, sent_ms);
        let lease_end = self.lease_end(&session, |state| own.is_current(state)).ok();
        let deadline_ms = lease_end.and_then(|end| end.deadline_ms.ok());
        let until_ms = lease_end.map_or(0, |end| end.until_ms);
        session.unanswered_since_ms.get_or_insert(sent_ms);
        let grant = session.leases.grant(LeaseOrder { started_run: None, sent_ms, until_ms });
        let order = RenewalOrder {
            worker: own.name.clone(),
            deadline_ms,
            fencing_token: own.fencing_token,
            acked_through: session.acked_through(),
            wait_ms,
        };
        Some((session.table.begin_poll(), grant, order))
    }

    /// Records what became of an order that carried a lease.
    pub(crate) fn settle_grant<T>(
        &self,
        own: &OwnWorker,
        grant: GrantNumber,
        result: &Result<T, PortError>,
    ) {
        let delivery = match result {
            Err(PortError::ConnectionRefused) => Delivery::NotSent,
            Err(PortError::NoAnswer { .. } | PortError::BadAnswer { .. }) => Delivery::Unanswered,
            Ok(_) | Err(PortError::Fenced | PortError::OtherIncarnation) => Delivery::Answered,
        };
        let mut session = self.session();
        if session.worker == Some(own.key) {
            session.leases.settle(grant, delivery);
        }
    }

    /// Processes the worker's lists of runs. Returns whether run ends still have to be recorded in the
    /// log.
    pub(crate) fn apply_renewal_answer(
        &self,
        own: &OwnWorker,
        poll: PollNumber,
        clock_ms: Option<u64>,
        answer: &RenewalAnswer,
    ) -> bool {
        let mut session = self.session();
        if session.worker != Some(own.key) {
            return false;
        }
        if let Some(sent_ms) = session.unanswered_since_ms.take() {
            session.leases.record_answer(sent_ms);
        }
        self.update_clock_sample(&mut session, clock_ms);
        session.apply_renewal_answer(poll, answer);
        for run in session.table.orphaned_runs() {
            log::warn!(run:% = run, worker:% = own.key; "an orphaned run is still active");
        }
        let state = self.replica.state();
        let now_ms = self.replica.clock.now_ms();
        let stalled =
            session.progress.observe(&answer.running, now_ms, |run| expectation_of(&state, run));
        let throttle_classes: Vec<_> =
            answer.running.iter().filter_map(|entry| throttle_class_of(&state, entry)).collect();
        session.throttle.observe(&throttle_classes, now_ms);
        let speed_update =
            session.speed.observe(&answer.running, now_ms, |run| typical_duration_of(&state, run));
        for entry in &answer.running {
            session.record_start(&state, entry.run);
        }
        drop(state);
        if !session.started.is_empty() {
            self.wake_start_reports.notify_one();
        }
        if let Some(is_slow) = speed_update {
            session.speed_update = Some(SpeedUpdate::new(is_slow, &answer.running));
            self.wake_reports.notify_one();
        }
        if !stalled.is_empty() {
            session.stalled.extend(stalled);
            self.wake_reports.notify_one();
        }
        if !session.outgoing_ends.is_empty() {
            self.wake_reports.notify_one();
        }
        self.wake_orders.notify_one();
        !session.unrecorded.is_empty()
    }

    /// End of a lease that may be granted now, or what keeps one from being granted.
    ///
    /// The lease is based on the latest confirmed read. That read may have shown more than was known
    /// when the order was decided on, so `is_due` checks the order against the state that the read
    /// confirmed. A worker that does not answer gets no lease: an order without an answer may have been
    /// carried out, and its lease would have to expire before the worker can be removed.
    pub(crate) fn lease_end<D>(
        &self,
        session: &WorkerSession,
        is_due: D,
    ) -> Result<LeaseEnd, LeaseObstacle>
    where
        D: FnOnce(&GraphState) -> bool,
    {
        if let Some(obstacle) = session.lease_obstacle() {
            return Err(obstacle);
        }
        let confirmed = self.replica.confirmed_state();
        let (confirmed_ms, state) = confirmed.ok_or(LeaseObstacle::NoConfirmedRead)?;
        if !is_due(&state) {
            return Err(LeaseObstacle::NotCurrent);
        }
        drop(state);
        let now_ms = self.replica.clock.now_ms();
        if session
            .unanswered_since_ms
            .is_some_and(|since_ms| now_ms > since_ms + POLL_ANSWER_TIMEOUT_MS)
        {
            return Err(LeaseObstacle::WorkerNotAnswering);
        }
        let deadline_ms = match session.clock_sample {
            None => Err(LeaseObstacle::NoClockSample),
            Some(sample) => {
                self.lease.deadline_ms(sample, confirmed_ms).ok_or(LeaseObstacle::ReadTooOld)
            }
        };
        let until_ms = confirmed_ms.saturating_add(self.lease.duration_ms);
        Ok(LeaseEnd { deadline_ms, until_ms })
    }

    pub(crate) fn record_clock(&self, own: &OwnWorker, clock_ms: Option<u64>) {
        let mut session = self.session();
        if session.worker == Some(own.key) {
            self.update_clock_sample(&mut session, clock_ms);
        }
    }

    pub(crate) fn update_clock_sample(&self, session: &mut WorkerSession, clock_ms: Option<u64>) {
        if let Some(worker_ms) = clock_ms {
            let at_ms = self.replica.clock.now_ms();
            session.clock_sample = Some(ClockSample { worker_ms, at_ms });
        }
    }

    pub(crate) fn handle_port_error(&self, error: &PortError, call: &str) {
        if *error == PortError::Fenced {
            self.session().is_fenced = true;
            self.latest_report.send_modify(|_| {});
        }
        log::warn!(call; "{error}");
    }

    /// A worker that the log still lists as this agent's although the agent has dropped its report.
    pub(crate) fn orphaned_worker(&self) -> Option<WorkerKey> {
        if self.latest_report.borrow().is_some() {
            return None;
        }
        let state = self.replica.state();
        let mut workers = state.workers.iter();
        let own = workers.find(|(_, worker)| worker.agent == self.replica.incarnation);
        own.map(|(key, _)| *key)
    }

    /// Whether every lease that the worker may have been granted has expired.
    fn has_lapsed(&self, worker: WorkerKey) -> bool {
        let until_ms = self.session_of(worker).map(|session| session.leased_until_ms(self.lease));
        let now_ms = self.replica.clock.now_ms();
        until_ms.is_some_and(|until_ms| now_ms >= until_ms.saturating_add(LEASE_EXPIRY_MARGIN_MS))
    }

    /// Removes a worker that sends no reports, or has announced its shutdown, once its lease has
    /// expired. Only the expiry proves that nothing runs there: a worker behind a network partition
    /// goes on working, even if connections to it are refused.
    pub(crate) async fn remove_if_lost(&self, own: &OwnWorker) {
        let now_ms = self.replica.clock.now_ms();
        let received_ms =
            self.latest_report.borrow().as_ref().map_or(0, |latest| latest.received_ms);
        let silent_ms = now_ms.saturating_sub(received_ms);
        let known = self.session_of(own.key);
        let known = known.map(|session| (session.has_left, session.leased_until_ms(self.lease)));
        let Some((has_left, lease_ended_ms)) = known else { return };
        if (has_left || silent_ms >= REPORT_TIMEOUT_MS) && self.has_lapsed(own.key) {
            let lapsed_ms = now_ms.saturating_sub(lease_ended_ms);
            log::warn!(worker:% = own.key, silent_ms, lapsed_ms, has_left; "removing a lost worker from the log");
            let cause = if has_left { RemovalCause::Left } else { RemovalCause::Lapsed };
            self.remove_worker(own.key, cause).await;
        }
    }

    /// Records in the log that the worker is removed. Its report is dropped first, or it would be
    /// registered again as soon as the log has the removal. Until then no orders are sent there,
    /// because the record frees the capacity of all runs that the log has on the worker.
    pub(crate) async fn remove_worker(&self, worker: WorkerKey, cause: RemovalCause) {
        if let Some(mut session) = self.session_of(worker) {
            session.is_being_removed = true;
        }
        *self.removing() = Some(worker);
        self.latest_report.send_replace(None);
        let record = GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 };
        loop {
            match self.replica.write(record.clone()).await {
                Ok(Ok(_)) => return,
                Ok(Err(refusal)) => {
                    log::info!(worker:% = worker; "the log refused to remove the worker: {refusal}");
                    self.cancel_removal(worker);
                    return;
                }
                Err(error) => log::warn!(worker:% = worker; "failed to record removal: {error}"),
            }
            if !self.replica.state().workers.contains_key(&worker) {
                return;
            }
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }

    /// Allows the worker to be registered again: the log refused its removal because it has another
    /// agent for the worker, or no such worker.
    fn cancel_removal(&self, worker: WorkerKey) {
        if let Some(mut session) = self.session_of(worker) {
            session.is_being_removed = false;
        }
        *self.removing() = None;
    }
}
