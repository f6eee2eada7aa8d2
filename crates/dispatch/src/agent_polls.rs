//! An agent polls its worker: extends the lease, takes the lists, and gives up a worker that is
//! gone.

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
use crate::lease_grants::GrantNumber;
use crate::replica::WRITE_RETRY_DELAY;
use crate::worker_port::PortError;
use crate::worker_port::RenewalAnswer;
use crate::worker_port::RenewalOrder;
use crate::worker_port::TimestampedAnswer;
use crate::worker_session::SpeedNews;
use crate::worker_session::WorkerSession;
use crate::worker_session::outlook_of;
use crate::worker_session::pace_role_of;
use crate::worker_session::usual_time_of;

/// Longest wait of one poll for an end, in ms.
const POLL_WAIT_MS: u64 = 1_000;
/// Longest wait of one poll while filling tasks may disturb tasks that serve, in ms. Latencies are
/// those of the last half second.
const PACED_POLL_WAIT_MS: u64 = 400;
/// Wait after a poll that failed.
const POLL_RETRY: Duration = Duration::from_millis(200);
/// Wait between polls while listed ends are on their way to the log; the worker answers at once
/// then.
const BACKLOG_PACE: Duration = Duration::from_millis(20);
/// Time between polls while nothing runs.
const IDLE_POLL: Duration = Duration::from_secs(10);
/// Time without a word from a worker whose lease is over after which it is gone, in ms. A worker
/// reports itself about every 1.5 s.
const SILENT_MS: u64 = 3_500;
/// Time without an answer after which a worker's lease is extended no more, in ms: a poll and a
/// second try.
const QUIET_MS: u64 = 2_000;

impl AgentCore {
    pub(crate) async fn poll_worker(&self) {
        let mut polled = Instant::now();
        loop {
            let Some(own) = self.own_worker() else {
                tokio::select! {
                    () = self.wake_polls.notified() => {}
                    () = tokio::time::sleep(POLL_RETRY) => {}
                }
                if let Some(orphan) = self.orphan().filter(|orphan| self.has_lapsed(*orphan)) {
                    log::warn!(worker:% = orphan; "the log still has a worker that is gone");
                    self.give_up(orphan, RemovalCause::Lapsed).await;
                }
                continue;
            };
            if self.session_of(own.key).is_some_and(|session| session.is_left_empty()) {
                self.give_up(own.key, RemovalCause::Left).await;
                continue;
            }
            let is_idle = self.session().table.is_idle();
            if is_idle && polled.elapsed() < IDLE_POLL {
                let until = polled + IDLE_POLL;
                tokio::select! {
                    () = self.wake_polls.notified() => {}
                    () = tokio::time::sleep_until(until) => {}
                }
                continue;
            }
            let wait_ms = self.poll_wait_ms(polled);
            polled = Instant::now();
            if !self.poll_once(&own, wait_ms).await {
                self.check_gone(&own).await;
                tokio::time::sleep(POLL_RETRY).await;
            }
        }
    }

    /// A poll waits for an end unless the clock sample is old, or listed ends still have to be
    /// acknowledged: the worker answers at once while it has any.
    pub(crate) fn poll_wait_ms(&self, polled: Instant) -> u64 {
        let session = self.session();
        let is_recent = polled.elapsed() < Duration::from_millis(2 * POLL_WAIT_MS);
        if session.sample.is_none() || !is_recent || !session.unrecorded.is_empty() {
            0
        } else if session.pace.is_needed() {
            PACED_POLL_WAIT_MS
        } else {
            POLL_WAIT_MS
        }
    }

    /// Asks for the worker's lists and extends its lease. Tells whether the worker answered.
    pub(crate) async fn poll_once(&self, own: &OwnWorker, wait_ms: u64) -> bool {
        let Some((poll, grant, order)) = self.renewal_order(own, wait_ms) else { return false };
        let result = self.port.renew(order).await;
        self.settle_grant(own, grant, &result);
        match result {
            Err(error) => {
                if let Some(mut session) = self.session_of(own.key) {
                    session.note_no_answer();
                }
                self.note_port_error(&error, "renew");
                false
            }
            Ok(TimestampedAnswer { answer, .. })
                if answer.started_ms.is_some_and(|at| at != own.born_ms) =>
            {
                let answered_ms = answer.started_ms;
                log::warn!(worker:% = own.key, born_ms = own.born_ms, answered_ms; "not the worker meant");
                if let Some(mut session) = self.session_of(own.key) {
                    session.note_replaced();
                }
                self.note_port_error(&PortError::OtherIncarnation, "renew");
                false
            }
            Ok(TimestampedAnswer { clock_ms, answer }) => {
                if self.take_lists(own, poll, clock_ms, &answer) {
                    tokio::time::sleep(BACKLOG_PACE).await;
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
        let (deadline_ms, until_ms) = self.lease_end(&session, |state| own.is_current(state));
        session.unanswered_since_ms.get_or_insert(self.replica.clock.now_ms());
        let grant = session.leases.grant(until_ms);
        let order = RenewalOrder {
            worker: own.name.clone(),
            deadline_ms,
            fencing_token: own.fence,
            acked_through: session.acked_through(),
            wait_ms,
        };
        Some((session.table.begin_poll(), grant, order))
    }

    /// Notes whether an order that carried a lease was sent.
    pub(crate) fn settle_grant<T>(
        &self,
        own: &OwnWorker,
        grant: GrantNumber,
        result: &Result<T, PortError>,
    ) {
        let mut session = self.session();
        if session.worker == Some(own.key) {
            session.leases.settle(grant, !matches!(result, Err(PortError::ConnectionRefused)));
        }
    }

    /// Takes the worker's lists. Tells whether ends wait to be written.
    pub(crate) fn take_lists(
        &self,
        own: &OwnWorker,
        poll: PollNumber,
        clock_ms: Option<u64>,
        lists: &RenewalAnswer,
    ) -> bool {
        let mut session = self.session();
        if session.worker != Some(own.key) {
            return false;
        }
        session.unanswered_since_ms = None;
        self.note_clock(&mut session, clock_ms);
        session.take_lists(poll, lists);
        for run in session.table.orphaned_runs() {
            log::warn!(run:% = run, worker:% = own.key; "a run goes on that is not wanted here");
        }
        let state = self.replica.state();
        let now_ms = self.replica.clock.now_ms();
        let stalled =
            session.progress.observe(&lists.running, now_ms, |run| outlook_of(&state, run));
        let paced: Vec<_> =
            lists.running.iter().filter_map(|entry| pace_role_of(&state, entry)).collect();
        session.pace.observe(&paced, now_ms);
        let speed_news =
            session.speed.observe(&lists.running, now_ms, |run| usual_time_of(&state, run));
        drop(state);
        if let Some(is_slow) = speed_news {
            session.speed_news = Some(SpeedNews::new(is_slow, &lists.running));
            self.wake_reports.notify_one();
        }
        if !stalled.is_empty() {
            session.stalled.extend(stalled);
            self.wake_reports.notify_one();
        }
        if !session.outgoing.is_empty() {
            self.wake_reports.notify_one();
        }
        self.wake_orders.notify_one();
        !session.unrecorded.is_empty()
    }

    /// End of a lease that may be granted now, on the worker's clock, and on the boot-time clock. The
    /// confirmed read that it rests on may have told more than was known when the order was decided on,
    /// so whether the order `is_due` is asked of the state that the read confirmed. A worker that does not answer gets none: an order without an answer may have been carried out,
    /// and the lease that it carried would have to be waited for.
    pub(crate) fn lease_end<D>(&self, session: &WorkerSession, is_due: D) -> (Option<u64>, u64)
    where
        D: FnOnce(&GraphState) -> bool,
    {
        if !session.may_lease() {
            return (None, 0);
        }
        let Some((confirmed_ms, state)) = self.replica.confirmed_state() else { return (None, 0) };
        if !is_due(&state) {
            return (None, 0);
        }
        drop(state);
        let now_ms = self.replica.clock.now_ms();
        if session.unanswered_since_ms.is_some_and(|since_ms| now_ms > since_ms + QUIET_MS) {
            return (None, 0);
        }
        let deadline_ms =
            session.sample.and_then(|sample| self.lease.deadline_ms(sample, confirmed_ms));
        (deadline_ms, confirmed_ms.saturating_add(self.lease.duration_ms))
    }

    pub(crate) fn take_clock(&self, own: &OwnWorker, clock_ms: Option<u64>) {
        let mut session = self.session();
        if session.worker == Some(own.key) {
            self.note_clock(&mut session, clock_ms);
        }
    }

    pub(crate) fn note_clock(&self, session: &mut WorkerSession, clock_ms: Option<u64>) {
        if let Some(worker_ms) = clock_ms {
            let at_ms = self.replica.clock.now_ms();
            session.sample = Some(ClockSample { worker_ms, at_ms });
        }
    }

    pub(crate) fn note_port_error(&self, error: &PortError, call: &str) {
        if *error == PortError::Fenced {
            self.session().is_fenced = true;
            self.heard.send_modify(|_| {});
        }
        log::warn!(call; "{error}");
    }

    /// A worker that this agent registered and that it has given up since.
    pub(crate) fn orphan(&self) -> Option<WorkerKey> {
        if self.heard.borrow().is_some() {
            return None;
        }
        let state = self.replica.state();
        let (key, worker) = state.worker_on(&self.replica.location.instance)?;
        (worker.agent == self.replica.incarnation).then_some(key)
    }

    /// Whether every lease that the worker may have been granted is over.
    fn has_lapsed(&self, worker: WorkerKey) -> bool {
        let until_ms = self.session_of(worker).map(|session| session.leases.until_ms());
        let now_ms = self.replica.clock.now_ms();
        until_ms.is_some_and(|until_ms| now_ms >= until_ms.saturating_add(LEASE_EXPIRY_MARGIN_MS))
    }

    /// Gives up a worker that is not heard from, or said that it ends, once its lease has run out. Only
    /// that proves that nothing runs there: a worker behind a cut works on, also where connections
    /// to it are refused.
    pub(crate) async fn check_gone(&self, own: &OwnWorker) {
        let now_ms = self.replica.clock.now_ms();
        let heard_ms = self.heard.borrow().as_ref().map_or(0, |heard| heard.at_ms);
        let silent_ms = now_ms.saturating_sub(heard_ms);
        let known = self.session_of(own.key);
        let known = known.map(|session| (session.has_left, session.leases.until_ms()));
        let Some((has_left, lease_ended_ms)) = known else { return };
        if (has_left || silent_ms >= SILENT_MS) && self.has_lapsed(own.key) {
            let lapsed_ms = now_ms.saturating_sub(lease_ended_ms);
            log::warn!(worker:% = own.key, silent_ms, lapsed_ms, has_left; "the worker is gone");
            let cause = if has_left { RemovalCause::Left } else { RemovalCause::Lapsed };
            self.give_up(own.key, cause).await;
        }
    }

    /// Tells the log that the worker is gone. What it said of itself is forgotten first, or it
    /// would be registered again as soon as the log has it. Until the log has it, nothing is ordered
    /// there: the record frees the room of whatever runs by then.
    pub(crate) async fn give_up(&self, worker: WorkerKey, cause: RemovalCause) {
        if let Some(mut session) = self.session_of(worker) {
            session.is_given_up = true;
        }
        *self.given_up() = Some(worker);
        self.heard.send_replace(None);
        let record = GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 };
        loop {
            match self.replica.write(record.clone()).await {
                Ok(Ok(_)) => return,
                Ok(Err(refusal)) => {
                    log::info!(worker:% = worker; "the loss is not taken: {refusal}");
                    self.take_back_loss(worker);
                    return;
                }
                Err(error) => log::warn!(worker:% = worker; "the loss is not written: {error}"),
            }
            if !self.replica.state().workers.contains_key(&worker) {
                return;
            }
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }

    /// The log has another agent for the worker, or none: this one may register it again.
    fn take_back_loss(&self, worker: WorkerKey) {
        if let Some(mut session) = self.session_of(worker) {
            session.is_given_up = false;
        }
        *self.given_up() = None;
    }
}
