//! An agent: brings its worker to the state that the log wants, and reports how runs end.
//!
//! Four loops share one table of runs. One registers the worker, one stays in the list of live
//! agents, one asks the worker for its lists and extends its lease, and one sends orders. Ends are
//! acknowledged to the worker only once they are in the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cuminbarrow_taskgraph::graph_state::GraphEffect;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::lease_terms::ClockSample;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::progress_watch::ProgressWatch;
use cuminbarrow_taskgraph::progress_watch::RunOutlook;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GoneCause;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RunEnd;
use cuminbarrow_taskgraph::run_table::LookNumber;
use cuminbarrow_taskgraph::run_table::Order;
use cuminbarrow_taskgraph::run_table::RunTable;
use cuminbarrow_taskgraph::run_table::StartAnswer;
use cuminbarrow_taskgraph::run_table::WorkerEnd;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker::WorkerSpec;
use cuminbarrow_taskgraph::worker::WorkerState;
use cuminbarrow_taskgraph::worker::WorkerStatus;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::wall_ms;
use crate::membership::Membership;
use crate::replica::Replica;
use crate::worker_port::HoldOrder;
use crate::worker_port::PortError;
use crate::worker_port::StartOrder;
use crate::worker_port::Timed;
use crate::worker_port::WorkerLists;
use crate::worker_port::WorkerPort;

/// Time between signs of life in the list of live agents. Two fit into their time to live.
const JOIN_EVERY: Duration = Duration::from_millis(1_200);
/// Longest wait of one look for an end, in ms.
const LOOK_WAIT_MS: u64 = 1_000;
/// Wait after a look that failed.
const LOOK_RETRY: Duration = Duration::from_millis(200);
/// Wait between looks while listed ends are on their way to the log; the worker answers at once
/// then.
const BACKLOG_PACE: Duration = Duration::from_millis(20);
/// Time between looks while nothing runs.
const IDLE_LOOK: Duration = Duration::from_secs(10);
/// Wait before an order is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(200);
/// Wait before a record is written again.
const WRITE_RETRY: Duration = Duration::from_millis(200);
/// Longest time for one record to be applied.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time between checkpoints in the log. A worker's crash loses at most that much more work.
const CHECKPOINT_EVERY: Duration = Duration::from_secs(2);
/// Least time between checkpoints, as a multiple of the time that the log took for the last ones.
const CHECKPOINT_PAUSE_FACTOR: u32 = 20;
/// Time between the last words of a worker that leaves and its end.
const LEAVE_WAIT: Duration = Duration::from_millis(300);
/// Time without a word from a worker that refuses connections after which it is gone, in ms. A
/// worker reports itself about every 1.5 s.
const CRASHED_MS: u64 = 3_500;
/// Time without an answer after which a worker's lease is extended no more, in ms: a look and a
/// second try.
const QUIET_MS: u64 = 2_000;
/// Added to the end of a lease before its runs are given up, in ms: the worker's look at it.
const LAPSE_SLACK_MS: u64 = 300;

/// What the worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// The worker.
    pub spec: WorkerSpec,
    /// Least time for which it goes on, in ms, once it leaves.
    pub leaves_in_ms: Option<u64>,
    /// Number of the report within the worker's lifetime.
    pub sequence: u64,
}

/// The newest report, with when it came.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HeardReport {
    report: WorkerReport,
    at_ms: u64,
}

/// An agent.
pub struct AgentCore {
    replica: Arc<Replica>,
    port: Arc<dyn WorkerPort>,
    membership: Arc<dyn Membership>,
    lease: LeaseTerms,
    heard: watch::Sender<Option<HeardReport>>,
    inner: Mutex<Inner>,
    /// Name and start of the last lifetime that said that it ends.
    left_life: Mutex<Option<(SmolStr, u64)>>,
    wake_orders: Notify,
    wake_looks: Notify,
    wake_reports: Notify,
}

/// What belongs to one lifetime of the worker.
#[derive(Default)]
struct Inner {
    worker: Option<WorkerKey>,
    table: RunTable,
    sample: Option<ClockSample>,
    /// When the first question was asked that is not answered, on the boot-time clock in ms.
    unanswered_since_ms: Option<u64>,
    /// When the last lease granted ends at the latest, on the boot-time clock in ms.
    leased_until_ms: u64,
    /// Highest end that the worker listed.
    listed_through: u64,
    /// Ends listed that are not in the log yet, or must not be acknowledged.
    unrecorded: BTreeSet<u64>,
    /// Ends to be written.
    outgoing: Vec<(Option<u64>, RunEnd)>,
    /// Numbers of the ends seen, so that each is handed out once.
    known_ends: BTreeSet<u64>,
    checkpoints: BTreeMap<RunKey, SmolStr>,
    saved: BTreeMap<RunKey, SmolStr>,
    progress: ProgressWatch,
    /// Runs that stand still, to be told to the log.
    stalled: Vec<RunKey>,
    refused_since_ms: Option<u64>,
    is_fenced: bool,
}

impl Inner {
    fn acked_through(&self) -> u64 {
        self.unrecorded.first().map_or(self.listed_through, |first| first - 1)
    }
}

/// The worker as the log knows it, when this agent is its newest.
#[derive(Clone)]
struct OwnWorker {
    key: WorkerKey,
    name: SmolStr,
    born_ms: u64,
    fence: u64,
}

impl AgentCore {
    /// An agent of the worker behind `port`.
    pub fn new(
        replica: Arc<Replica>,
        port: Arc<dyn WorkerPort>,
        membership: Arc<dyn Membership>,
        lease: LeaseTerms,
    ) -> Arc<Self> {
        Arc::new(Self {
            replica,
            port,
            membership,
            lease,
            heard: watch::Sender::new(None),
            inner: Mutex::default(),
            left_life: Mutex::default(),
            wake_orders: Notify::new(),
            wake_looks: Notify::new(),
            wake_reports: Notify::new(),
        })
    }

    /// Runs all loops for good.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.stay_member(),
            self.keep_registered(),
            self.follow_log(),
            self.look_at_worker(),
            Arc::clone(&self).send_orders(),
            self.report_ends(),
            self.save_checkpoints(),
        );
    }

    /// Takes a report of the worker. An older one than the newest is dropped, and so is one of a
    /// lifetime that said that it ends.
    pub fn note_report(&self, report: WorkerReport) {
        let life = (report.spec.name.clone(), report.spec.born_ms);
        if report.spec.born_ms > 0 && *self.left_life() == Some(life) {
            return;
        }
        let at_ms = self.replica.clock.now_ms();
        self.heard.send_if_modified(|heard| {
            let is_newer = heard.as_ref().is_none_or(|known| {
                let known = &known.report;
                (report.spec.born_ms, report.sequence) > (known.spec.born_ms, known.sequence)
            });
            if !is_newer {
                return false;
            }
            let is_changed = heard.as_ref().is_none_or(|known| {
                known.report.spec != report.spec
                    || known.report.leaves_in_ms.is_some() != report.leaves_in_ms.is_some()
            });
            *heard = Some(HeardReport { report, at_ms });
            is_changed
        });
    }

    /// The worker of this name says that it ends now. What it ran is given up shortly after.
    pub async fn note_left(&self, name: &str) {
        let own = self.own_worker().filter(|own| own.name == name);
        let born_ms = self.heard.borrow().as_ref().map_or(0, |heard| heard.report.spec.born_ms);
        *self.left_life() = Some((SmolStr::new(name), born_ms));
        let Some(own) = own else {
            // It may be on its way into the log.
            log::info!(worker = name; "a worker left before it was registered");
            self.heard.send_replace(None);
            return;
        };
        self.look_once(&own, 0).await;
        tokio::time::sleep(LEAVE_WAIT).await;
        log::info!(worker:% = own.key; "the worker left");
        self.give_up(own.key, GoneCause::Left).await;
    }

    /// Extends the lease as far as it may, before this process ends.
    pub async fn extend_last(&self) {
        if let Some(own) = self.own_worker() {
            self.look_once(&own, 0).await;
        }
    }

    fn left_life(&self) -> MutexGuard<'_, Option<(SmolStr, u64)>> {
        self.left_life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The worker, while this agent may act on it.
    fn own_worker(&self) -> Option<OwnWorker> {
        let heard = self.heard.borrow();
        let heard = heard.as_ref()?;
        let state = self.replica.state();
        let (key, worker) = own_in(&state, &heard.report.spec, self.replica.incarnation)?;
        if worker.is_suspected() {
            return None;
        }
        let WorkerSpec { name, born_ms, .. } = &worker.spec;
        Some(OwnWorker { key, name: name.clone(), born_ms: *born_ms, fence: worker.fence })
    }

    fn is_leaving(&self) -> bool {
        let heard = self.heard.borrow();
        heard.as_ref().is_some_and(|heard| heard.report.leaves_in_ms.is_some())
    }

    async fn stay_member(&self) {
        loop {
            if let Err(error) = self.membership.join(self.replica.incarnation).await {
                log::warn!("{error}");
            }
            tokio::time::sleep(JOIN_EVERY).await;
        }
    }

    /// Keeps the log's record of the worker as the worker says it is.
    async fn keep_registered(&self) {
        let mut heard = self.heard.subscribe();
        let mut applied = self.replica.applied();
        loop {
            heard.mark_unchanged();
            applied.mark_unchanged();
            if let Some(record) = self.registration() {
                let result = self.replica.write(record.clone(), WRITE_TIMEOUT).await;
                log_registration(&record, &result);
                if !matches!(result, Ok(Ok(_))) {
                    tokio::time::sleep(WRITE_RETRY).await;
                }
                continue;
            }
            tokio::select! {
                _ = heard.changed() => {}
                _ = applied.changed() => {}
            }
        }
    }

    /// What the log should be told of the worker.
    fn registration(&self) -> Option<GraphRecord> {
        let heard = self.heard.borrow().clone()?;
        if !self.replica.is_fresh() {
            return None;
        }
        let state = self.replica.state();
        let own = own_in(&state, &heard.report.spec, self.replica.incarnation);
        let spec = heard.report.spec.clone();
        let up = GraphRecord::WorkerUp { agent: self.replica.incarnation, spec };
        let Some((worker, known)) = own.filter(|(_, known)| !known.is_suspected()) else {
            return Some(up);
        };
        if known.spec.room != heard.report.spec.room || std::mem::take(&mut self.inner().is_fenced)
        {
            return Some(up);
        }
        let is_draining = matches!(known.status, WorkerStatus::Draining { .. });
        let leaves_in_ms = heard.report.leaves_in_ms.filter(|_| !is_draining)?;
        Some(GraphRecord::WorkerDraining { worker, until_ms: wall_ms() + leaves_in_ms })
    }

    /// Takes over which runs the log wants here.
    async fn follow_log(&self) {
        let mut applied = self.replica.applied();
        loop {
            applied.mark_unchanged();
            self.sync_table();
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    fn sync_table(&self) {
        let Some(own) = self.own_worker() else { return };
        let wanted = {
            let state = self.replica.state();
            state.workers.get(&own.key).map(|worker| worker.runs.clone()).unwrap_or_default()
        };
        let mut inner = self.inner();
        if inner.worker != Some(own.key) {
            // An agent before this one may have granted a lease until now.
            let leased_until_ms = self.replica.clock.now_ms().saturating_add(self.lease.hold_ms);
            *inner = Inner { worker: Some(own.key), leased_until_ms, ..Inner::default() };
        }
        inner.table.sync(&wanted);
        inner.table.set_closed(self.is_leaving());
        inner.saved.retain(|run, _| wanted.contains_key(run));
        drop(inner);
        self.wake_orders.notify_one();
        self.wake_looks.notify_one();
    }

    async fn look_at_worker(&self) {
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
            let is_idle = self.inner().table.is_idle();
            if is_idle && looked.elapsed() < IDLE_LOOK {
                let until = looked + IDLE_LOOK;
                tokio::select! {
                    () = self.wake_looks.notified() => {}
                    () = tokio::time::sleep_until(until) => {}
                }
                if self.inner().table.is_idle() && Instant::now() < until {
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
    fn look_wait_ms(&self, looked: Instant) -> u64 {
        let inner = self.inner();
        let is_recent = looked.elapsed() < Duration::from_millis(2 * LOOK_WAIT_MS);
        if inner.sample.is_some() && is_recent && inner.unrecorded.is_empty() {
            LOOK_WAIT_MS
        } else {
            0
        }
    }

    /// Asks for the worker's lists and extends its lease. Tells whether the worker answered.
    async fn look_once(&self, own: &OwnWorker, wait_ms: u64) -> bool {
        if self.inner().worker != Some(own.key) {
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

    fn hold_order(&self, own: &OwnWorker, wait_ms: u64) -> (LookNumber, HoldOrder) {
        let mut inner = self.inner();
        let (deadline_ms, until_ms) = self.lease_end(&inner);
        inner.unanswered_since_ms.get_or_insert(self.replica.clock.now_ms());
        // The lease counts as granted before it is asked for.
        inner.leased_until_ms = inner.leased_until_ms.max(until_ms);
        let order = HoldOrder {
            worker: own.name.clone(),
            deadline_ms,
            fence: own.fence,
            acked_through: inner.acked_through(),
            wait_ms,
        };
        (inner.table.begin_look(), order)
    }

    /// Takes the worker's lists. Tells whether ends wait to be written.
    fn take_lists(
        &self,
        own: &OwnWorker,
        look: LookNumber,
        clock_ms: Option<u64>,
        lists: &WorkerLists,
    ) -> bool {
        let mut inner = self.inner();
        if inner.worker != Some(own.key) {
            return false;
        }
        inner.refused_since_ms = None;
        inner.unanswered_since_ms = None;
        self.note_clock(&mut inner, clock_ms);
        let mut ends = inner.table.looked(look, &lists.running, &lists.ended);
        ends.extend(stray_ends(&inner, &lists.ended, &ends));
        note_ends(&mut inner, &lists.ended, ends);
        note_checkpoints(&mut inner, lists);
        let state = self.replica.state();
        let now_ms = self.replica.clock.now_ms();
        let stalled = inner.progress.look(&lists.running, now_ms, |run| outlook_of(&state, run));
        drop(state);
        if !stalled.is_empty() {
            inner.stalled.extend(stalled);
            self.wake_reports.notify_one();
        }
        if !inner.outgoing.is_empty() {
            self.wake_reports.notify_one();
        }
        self.wake_orders.notify_one();
        !inner.unrecorded.is_empty()
    }

    /// End of a lease that may be granted now, on the worker's clock, and on the boot-time clock. A
    /// worker that does not answer gets none: an order without an answer may have been carried out,
    /// and the lease that it carried would have to be waited for.
    fn lease_end(&self, inner: &Inner) -> (Option<u64>, u64) {
        let Some(confirmed_ms) = self.replica.confirmed_ms() else { return (None, 0) };
        let now_ms = self.replica.clock.now_ms();
        if inner.unanswered_since_ms.is_some_and(|since_ms| now_ms > since_ms + QUIET_MS) {
            return (None, 0);
        }
        let deadline_ms =
            inner.sample.and_then(|sample| self.lease.deadline_ms(sample, confirmed_ms));
        (deadline_ms, confirmed_ms.saturating_add(self.lease.hold_ms))
    }

    fn take_clock(&self, own: &OwnWorker, clock_ms: Option<u64>) {
        let mut inner = self.inner();
        if inner.worker == Some(own.key) {
            self.note_clock(&mut inner, clock_ms);
        }
    }

    fn note_clock(&self, inner: &mut Inner, clock_ms: Option<u64>) {
        if let Some(worker_ms) = clock_ms {
            let at_ms = self.replica.clock.now_ms();
            inner.sample = Some(ClockSample { worker_ms, at_ms });
        }
    }

    fn note_port_error(&self, error: &PortError, call: &str) {
        let mut inner = self.inner();
        match error {
            PortError::Refused => {
                let now_ms = self.replica.clock.now_ms();
                inner.refused_since_ms.get_or_insert(now_ms);
            }
            PortError::Fenced => {
                inner.refused_since_ms = None;
                inner.is_fenced = true;
                self.heard.send_modify(|_| {});
            }
            _ => inner.refused_since_ms = None,
        }
        log::warn!(call; "{error}");
    }

    /// A worker that this agent registered and that it has given up since.
    fn orphan(&self) -> Option<WorkerKey> {
        if self.heard.borrow().is_some() {
            return None;
        }
        let state = self.replica.state();
        let (key, worker) = state.worker_on(&self.replica.place.instance)?;
        (worker.agent == self.replica.incarnation).then_some(key)
    }

    /// Gives up a worker that crashed, or whose lease has run out without an answer.
    async fn check_crashed(&self, own: &OwnWorker) {
        let now_ms = self.replica.clock.now_ms();
        let heard_ms = self.heard.borrow().as_ref().map_or(0, |heard| heard.at_ms);
        let is_silent = now_ms >= heard_ms + CRASHED_MS;
        let (is_refused, has_lapsed) = {
            let inner = self.inner();
            let is_refused =
                inner.refused_since_ms.is_some_and(|since_ms| now_ms >= since_ms + CRASHED_MS / 2);
            let lapses_ms = inner.leased_until_ms + LAPSE_SLACK_MS;
            (is_refused, now_ms >= lapses_ms)
        };
        if is_silent && (is_refused || has_lapsed) {
            log::warn!(worker:% = own.key, silent_ms = now_ms - heard_ms; "the worker is gone");
            self.give_up(own.key, GoneCause::Lapsed).await;
        }
    }

    /// Tells the log that the worker is gone. What it said of itself is forgotten first, or it
    /// would be registered again as soon as the log has it.
    async fn give_up(&self, worker: WorkerKey, cause: GoneCause) {
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

    async fn send_orders(self: Arc<Self>) {
        loop {
            self.wake_orders.notified().await;
            let Some(own) = self.own_worker() else { continue };
            let orders = {
                let mut inner = self.inner();
                if inner.worker != Some(own.key) {
                    continue;
                }
                inner.table.set_closed(self.is_leaving());
                inner.table.next_orders()
            };
            for order in orders {
                let core = Arc::clone(&self);
                let own = own.clone();
                tokio::spawn(async move {
                    match order {
                        Order::Start(run) => core.start(&own, run).await,
                        Order::Stop(run) => core.stop(&own, run).await,
                    }
                });
            }
        }
    }

    async fn start(&self, own: &OwnWorker, run: RunKey) {
        let answer = match self.start_order(own, run) {
            None => StartAnswer::Unknown,
            Some(order) => match self.port.start(order).await {
                Ok(timed) => {
                    self.take_clock(own, timed.clock_ms);
                    timed.answer
                }
                Err(error) => {
                    self.note_port_error(&error, "start");
                    StartAnswer::Unknown
                }
            },
        };
        log::info!(run:% = run, worker:% = own.key, answer:? = answer; "start");
        self.take_start_answer(own, run, answer);
        self.wake_looks.notify_one();
        if matches!(answer, StartAnswer::Unknown | StartAnswer::TooLate) {
            tokio::time::sleep(ORDER_RETRY).await;
            self.wake_orders.notify_one();
        }
    }

    fn take_start_answer(&self, own: &OwnWorker, run: RunKey, answer: StartAnswer) {
        let mut inner = self.inner();
        if inner.worker != Some(own.key) {
            return;
        }
        if let Some(end) = inner.table.start_answered(run, answer) {
            inner.outgoing.push((None, end));
            self.wake_reports.notify_one();
        }
    }

    /// The order, unless the lease could not be extended now or the run is not wanted any more.
    fn start_order(&self, own: &OwnWorker, run: RunKey) -> Option<StartOrder> {
        let mut inner = self.inner();
        let (deadline_ms, until_ms) = self.lease_end(&inner);
        let deadline_ms = deadline_ms?;
        inner.leased_until_ms = inner.leased_until_ms.max(until_ms);
        drop(inner);
        let state = self.replica.state();
        let step = run.task.step;
        let job = state.jobs.get(&step.job).filter(|job| job.is_active())?;
        let spec = job.step_spec(step.step)?;
        let steps = job.steps.get(&(step.occurrence, step.step))?;
        let checkpoint = steps.keeper(spec, run.task.index)?.checkpoint.clone();
        Some(StartOrder {
            worker: own.name.clone(),
            run,
            payload: job.spec.payload.clone(),
            deadline_ms,
            fence: own.fence,
            checkpoint,
        })
    }

    async fn stop(&self, own: &OwnWorker, run: RunKey) {
        let result = self.port.stop(own.name.clone(), run, own.fence).await;
        let is_acknowledged = result.is_ok();
        log::info!(run:% = run, worker:% = own.key, is_acknowledged; "stop");
        if let Err(error) = &result {
            self.note_port_error(error, "stop");
        }
        self.take_stop_answer(own, run, is_acknowledged);
        self.wake_looks.notify_one();
        if !is_acknowledged {
            tokio::time::sleep(ORDER_RETRY).await;
            self.wake_orders.notify_one();
        }
    }

    fn take_stop_answer(&self, own: &OwnWorker, run: RunKey, is_acknowledged: bool) {
        let mut inner = self.inner();
        if inner.worker == Some(own.key) {
            inner.table.stop_answered(run, is_acknowledged);
        }
    }

    /// Writes ends to the log, all that wait at once.
    async fn report_ends(&self) {
        loop {
            self.wake_reports.notified().await;
            self.report_stalled().await;
            loop {
                let (worker, outgoing) = {
                    let mut inner = self.inner();
                    (inner.worker, std::mem::take(&mut inner.outgoing))
                };
                let Some(worker) = worker.filter(|_| !outgoing.is_empty()) else { break };
                self.report(worker, outgoing).await;
            }
        }
    }

    /// Tells the log of runs that stand still. One that still does is told again later.
    async fn report_stalled(&self) {
        let (worker, runs) = {
            let mut inner = self.inner();
            (inner.worker, std::mem::take(&mut inner.stalled))
        };
        let Some(worker) = worker.filter(|_| !runs.is_empty()) else { return };
        for run in &runs {
            log::warn!(run:% = run, worker:% = worker; "run stands still");
        }
        let record = GraphRecord::RunsStalled { worker, runs };
        if let Err(error) = self.replica.write(record, WRITE_TIMEOUT).await {
            log::warn!(worker:% = worker; "stalled runs are not written: {error}");
        }
    }

    async fn report(&self, worker: WorkerKey, outgoing: Vec<(Option<u64>, RunEnd)>) {
        let ends: Vec<RunEnd> = outgoing.iter().map(|(_, end)| end.clone()).collect();
        for end in &ends {
            log::info!(run:% = end.run, worker:% = worker, how:? = end.how; "run ended");
        }
        let record = GraphRecord::RunsEnded { worker, ends };
        let outcome = loop {
            match self.replica.write(record.clone(), WRITE_TIMEOUT).await {
                Ok(outcome) => break outcome,
                Err(error) => log::warn!(worker:% = worker; "ends are not written: {error}"),
            }
            tokio::time::sleep(WRITE_RETRY).await;
        };
        match outcome {
            Ok(GraphEffect::Ended { superseded }) => {
                self.take_recorded(worker, &outgoing, &superseded);
            }
            // The worker was given up meanwhile; its ends are listed again under its next key.
            other => log::warn!(worker:% = worker, outcome:? = other; "ends were not taken"),
        }
        self.wake_looks.notify_one();
    }

    /// Ends in the log may be acknowledged, but for those of runs that were superseded.
    fn take_recorded(
        &self,
        worker: WorkerKey,
        outgoing: &[(Option<u64>, RunEnd)],
        superseded: &[RunKey],
    ) {
        let mut inner = self.inner();
        if inner.worker != Some(worker) {
            return;
        }
        for (number, end) in outgoing {
            if superseded.contains(&end.run) {
                log::warn!(run:% = end.run, worker:% = worker; "an end came too late to count");
            } else if let Some(number) = number {
                inner.unrecorded.remove(number);
            }
        }
    }

    async fn save_checkpoints(&self) {
        let mut pause = CHECKPOINT_EVERY;
        loop {
            tokio::time::sleep(pause).await;
            let began = Instant::now();
            let (worker, saved) = {
                let mut inner = self.inner();
                let fresh = std::mem::take(&mut inner.checkpoints);
                let saved: Vec<(RunKey, SmolStr)> = fresh
                    .into_iter()
                    .filter(|(run, checkpoint)| inner.saved.get(run) != Some(checkpoint))
                    .collect();
                inner.saved.extend(saved.iter().cloned());
                (inner.worker, saved)
            };
            let Some(worker) = worker.filter(|_| !saved.is_empty()) else { continue };
            let record = GraphRecord::CheckpointsSaved { worker, saved };
            if let Err(error) = self.replica.write(record, WRITE_TIMEOUT).await {
                log::warn!(worker:% = worker; "checkpoints are not written: {error}");
            }
            // A log that is slow has better things to do.
            pause = CHECKPOINT_EVERY.max(began.elapsed() * CHECKPOINT_PAUSE_FACTOR);
        }
    }
}

/// The worker of a report in the log, when this agent is its newest.
fn own_in<'a>(
    state: &'a GraphState,
    spec: &WorkerSpec,
    agent: u64,
) -> Option<(WorkerKey, &'a WorkerState)> {
    let (key, worker) = state.worker_on(&spec.instance)?;
    (worker.spec.is_same_life(spec) && worker.agent == agent).then_some((key, worker))
}

/// Listed ends of runs that the log no longer has here, but may yet count: those that finished.
fn stray_ends(inner: &Inner, listed: &[WorkerEnd], ends: &[RunEnd]) -> Vec<RunEnd> {
    listed
        .iter()
        .filter(|entry| entry.end.how == EndKind::Done && !inner.known_ends.contains(&entry.number))
        .filter(|entry| !ends.iter().any(|end| end.run == entry.end.run))
        .map(|entry| entry.end.clone())
        .collect()
}

fn outlook_of(state: &GraphState, run: RunKey) -> Option<RunOutlook> {
    let spec = state.jobs.get(&run.task.step.job)?.step_spec(run.task.step.step)?;
    Some(RunOutlook {
        estimate_ms: spec.estimate_ms,
        is_gang: spec.gang,
        is_lasting: spec.long_running,
    })
}

/// Notes the ends that the worker listed, and which of them the log has to get.
fn note_ends(inner: &mut Inner, listed: &[WorkerEnd], ends: Vec<RunEnd>) {
    for entry in listed {
        inner.listed_through = inner.listed_through.max(entry.number);
        inner.known_ends.insert(entry.number);
    }
    for end in ends {
        let listed = listed.iter().find(|entry| entry.end.run == end.run);
        let number = listed.map(|entry| entry.number);
        if let Some(number) = number {
            inner.unrecorded.insert(number);
        }
        inner.outgoing.push((number, end));
    }
}

fn note_checkpoints(inner: &mut Inner, lists: &WorkerLists) {
    for entry in lists.running.iter().filter(|entry| !entry.checkpoint.is_empty()) {
        inner.checkpoints.insert(entry.run, entry.checkpoint.clone());
    }
}

fn log_registration<R>(record: &GraphRecord, result: &R)
where
    R: std::fmt::Debug,
{
    match record {
        GraphRecord::WorkerUp { agent, spec } => {
            log::info!(worker = spec.name.as_str(), agent = *agent, result:? = result; "registering");
        }
        GraphRecord::WorkerDraining { worker, until_ms } => {
            log::info!(worker:% = worker, until_ms = *until_ms, result:? = result; "draining");
        }
        _ => {}
    }
}
