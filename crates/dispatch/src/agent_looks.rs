//! An agent looks at its worker: extends the lease, takes the lists, and gives up a worker that is
//! gone.

use std::time::Duration;

use cuminbarrow_taskgraph::lease_terms::ClockSample;
use cuminbarrow_taskgraph::record::GoneCause;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::run_table::LookNumber;
use cuminbarrow_taskgraph::worker::WorkerKey;
use tokio::time::Instant;

use crate::agent_core::AgentCore;
use crate::agent_core::OwnWorker;
use crate::worker_life::WorkerLife;
use crate::worker_life::outlook_of;
use crate::worker_port::HoldOrder;
use crate::worker_port::PortError;
use crate::worker_port::Timed;
use crate::worker_port::WorkerLists;

/// Longest wait of one look for an end, in ms.
const LOOK_WAIT_MS: u64 = 1_000;
/// Wait after a look that failed.
const LOOK_RETRY: Duration = Duration::from_millis(200);
/// Wait between looks while listed ends are on their way to the log; the worker answers at once
/// then.
const BACKLOG_PACE: Duration = Duration::from_millis(20);
/// Time between looks while nothing runs.
const IDLE_LOOK: Duration = Duration::from_secs(10);
/// Wait before a record is written again.
const WRITE_RETRY: Duration = Duration::from_millis(200);
/// Longest time for one record to be applied.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time without a word from a worker that refuses connections after which it is gone, in ms. A
/// worker reports itself about every 1.5 s.
const CRASHED_MS: u64 = 3_500;
/// Time without an answer after which a worker's lease is extended no more, in ms: a look and a
/// second try.
const QUIET_MS: u64 = 2_000;
/// Added to the end of a lease before its runs are given up, in ms: the worker's look at it.
const LAPSE_SLACK_MS: u64 = 300;

impl AgentCore {
    pub(crate) async fn look_at_worker(&self) {
        let mut looked = Instant::now();
        loop {
            let Some(own) = self.own_worker() else {
                tokio::select! {
                    () = self.wake_looks.notified() => {}
                    () = tokio::time::sleep(LOOK_RETRY) => {}
                }
                if let Some(orphan) = self.orphan() {
                    log::warn!(worker:% = orphan; "the log still has a worker that is gone");
                    self.give_up(orphan, GoneCause::Lapsed).await;
                }
                continue;
            };
            let is_idle = self.life().table.is_idle();
            if is_idle && looked.elapsed() < IDLE_LOOK {
                let until = looked + IDLE_LOOK;
                tokio::select! {
                    () = self.wake_looks.notified() => {}
                    () = tokio::time::sleep_until(until) => {}
                }
                if self.life().table.is_idle() && Instant::now() < until {
                    continue;
                }
            }
            let wait_ms = self.look_wait_ms(looked);
            looked = Instant::now();
            if !self.look_once(&own, wait_ms).await {
                self.check_crashed(&own).await;
                tokio::time::sleep(LOOK_RETRY).await;
            }
        }
    }

    /// A look waits for an end unless the clock sample is old, or listed ends still have to be
    /// acknowledged: the worker answers at once while it has any.
    pub(crate) fn look_wait_ms(&self, looked: Instant) -> u64 {
        let life = self.life();
        let is_recent = looked.elapsed() < Duration::from_millis(2 * LOOK_WAIT_MS);
        if life.sample.is_some() && is_recent && life.unrecorded.is_empty() {
            LOOK_WAIT_MS
        } else {
            0
        }
    }

    /// Asks for the worker's lists and extends its lease. Tells whether the worker answered.
    pub(crate) async fn look_once(&self, own: &OwnWorker, wait_ms: u64) -> bool {
        if self.life().worker != Some(own.key) {
            self.sync_table();
        }
        let (look, order) = self.hold_order(own, wait_ms);
        match self.port.hold(order).await {
            Err(error) => {
                self.note_port_error(&error, "hold");
                false
            }
            Ok(Timed { answer, .. }) if answer.born_ms.is_some_and(|at| at != own.born_ms) => {
                self.note_port_error(&PortError::OtherLife, "hold");
                false
            }
            Ok(Timed { clock_ms, answer }) => {
                if self.take_lists(own, look, clock_ms, &answer) {
                    tokio::time::sleep(BACKLOG_PACE).await;
                }
                true
            }
        }
    }

    pub(crate) fn hold_order(&self, own: &OwnWorker, wait_ms: u64) -> (LookNumber, HoldOrder) {
        let mut life = self.life();
        let (deadline_ms, until_ms) = self.lease_end(&life);
        life.unanswered_since_ms.get_or_insert(self.replica.clock.now_ms());
        // The lease counts as granted before it is asked for.
        life.leased_until_ms = life.leased_until_ms.max(until_ms);
        let order = HoldOrder {
            worker: own.name.clone(),
            deadline_ms,
            fence: own.fence,
            acked_through: life.acked_through(),
            wait_ms,
        };
        (life.table.begin_look(), order)
    }

    /// Takes the worker's lists. Tells whether ends wait to be written.
    pub(crate) fn take_lists(
        &self,
        own: &OwnWorker,
        look: LookNumber,
        clock_ms: Option<u64>,
        lists: &WorkerLists,
    ) -> bool {
        let mut life = self.life();
        if life.worker != Some(own.key) {
            return false;
        }
        life.refused_since_ms = None;
        life.unanswered_since_ms = None;
        self.note_clock(&mut life, clock_ms);
        life.take_lists(look, lists);
        let state = self.replica.state();
        let now_ms = self.replica.clock.now_ms();
        let stalled = life.progress.look(&lists.running, now_ms, |run| outlook_of(&state, run));
        drop(state);
        if !stalled.is_empty() {
            life.stalled.extend(stalled);
            self.wake_reports.notify_one();
        }
        if !life.outgoing.is_empty() {
            self.wake_reports.notify_one();
        }
        self.wake_orders.notify_one();
        !life.unrecorded.is_empty()
    }

    /// End of a lease that may be granted now, on the worker's clock, and on the boot-time clock. A
    /// worker that does not answer gets none: an order without an answer may have been carried out,
    /// and the lease that it carried would have to be waited for.
    pub(crate) fn lease_end(&self, life: &WorkerLife) -> (Option<u64>, u64) {
        let Some(confirmed_ms) = self.replica.confirmed_ms() else { return (None, 0) };
        let now_ms = self.replica.clock.now_ms();
        if life.unanswered_since_ms.is_some_and(|since_ms| now_ms > since_ms + QUIET_MS) {
            return (None, 0);
        }
        let deadline_ms =
            life.sample.and_then(|sample| self.lease.deadline_ms(sample, confirmed_ms));
        (deadline_ms, confirmed_ms.saturating_add(self.lease.hold_ms))
    }

    pub(crate) fn take_clock(&self, own: &OwnWorker, clock_ms: Option<u64>) {
        let mut life = self.life();
        if life.worker == Some(own.key) {
            self.note_clock(&mut life, clock_ms);
        }
    }

    pub(crate) fn note_clock(&self, life: &mut WorkerLife, clock_ms: Option<u64>) {
        if let Some(worker_ms) = clock_ms {
            let at_ms = self.replica.clock.now_ms();
            life.sample = Some(ClockSample { worker_ms, at_ms });
        }
    }

    pub(crate) fn note_port_error(&self, error: &PortError, call: &str) {
        let mut life = self.life();
        match error {
            PortError::Refused => {
                let now_ms = self.replica.clock.now_ms();
                life.refused_since_ms.get_or_insert(now_ms);
            }
            PortError::Fenced => {
                life.refused_since_ms = None;
                life.is_fenced = true;
                self.heard.send_modify(|_| {});
            }
            _ => life.refused_since_ms = None,
        }
        log::warn!(call; "{error}");
    }

    /// A worker that this agent registered and that it has given up since.
    pub(crate) fn orphan(&self) -> Option<WorkerKey> {
        if self.heard.borrow().is_some() {
            return None;
        }
        let state = self.replica.state();
        let (key, worker) = state.worker_on(&self.replica.place.instance)?;
        (worker.agent == self.replica.incarnation).then_some(key)
    }

    /// Gives up a worker that crashed, or whose lease has run out without an answer.
    pub(crate) async fn check_crashed(&self, own: &OwnWorker) {
        let now_ms = self.replica.clock.now_ms();
        let heard_ms = self.heard.borrow().as_ref().map_or(0, |heard| heard.at_ms);
        let is_silent = now_ms >= heard_ms + CRASHED_MS;
        let (is_refused, has_lapsed) = {
            let life = self.life();
            let is_refused =
                life.refused_since_ms.is_some_and(|since_ms| now_ms >= since_ms + CRASHED_MS / 2);
            let lapses_ms = life.leased_until_ms + LAPSE_SLACK_MS;
            (is_refused, now_ms >= lapses_ms)
        };
        if is_silent && (is_refused || has_lapsed) {
            log::warn!(worker:% = own.key, silent_ms = now_ms - heard_ms; "the worker is gone");
            self.give_up(own.key, GoneCause::Lapsed).await;
        }
    }

    /// Tells the log that the worker is gone. What it said of itself is forgotten first, or it
    /// would be registered again as soon as the log has it.
    pub(crate) async fn give_up(&self, worker: WorkerKey, cause: GoneCause) {
        self.heard.send_replace(None);
        let record = GraphRecord::WorkerGone { worker, cause, suspicion: 0 };
        loop {
            match self.replica.write(record.clone(), WRITE_TIMEOUT).await {
                Ok(_) => return,
                Err(error) => log::warn!(worker:% = worker; "the loss is not written: {error}"),
            }
            if !self.replica.state().workers.contains_key(&worker) {
                return;
            }
            tokio::time::sleep(WRITE_RETRY).await;
        }
    }
}
