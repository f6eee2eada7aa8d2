//! An agent: brings its worker to the state that the log wants, and reports how runs end.
//!
//! Four loops share one table of runs. One registers the worker, one stays in the list of live
//! agents, one asks the worker for its lists and extends its lease, and one sends orders. Ends are
//! acknowledged to the worker only once they are in the log.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker::WorkerSpec;
use cuminbarrow_taskgraph::worker::WorkerState;
use cuminbarrow_taskgraph::worker::WorkerStatus;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::membership::JOIN_INTERVAL;
use crate::membership::Membership;
use crate::replica::Replica;
use crate::replica::WRITE_RETRY_DELAY;
use crate::worker_port::WorkerPort;
use crate::worker_session::WorkerSession;

/// Longest time for which a worker that ends waits for its answer, while its runs are stopped. It asks
/// again after a second.
const LEAVE_WAIT: Duration = Duration::from_millis(800);
/// Time between looks at whether all of them have ended.
const LEAVE_LOOK: Duration = Duration::from_millis(20);
/// Time for which reports of a worker that said that it ends are taken for late ones, in ms. Orders and
/// reports are up to 12 s late.
const LEFT_KEPT_MS: u64 = 15_000;

/// What the worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// The worker.
    pub spec: WorkerSpec,
    /// Least time for which it goes on, in ms, once it leaves.
    pub drain_remaining_ms: Option<u64>,
    /// Number of the report within the worker's incarnation.
    pub sequence: u64,
}

/// The newest report, with when it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeardReport {
    pub(crate) report: WorkerReport,
    pub(crate) at_ms: u64,
}

/// An incarnation that said that it ends.
#[derive(Clone, Debug)]
pub(crate) struct LeftWorker {
    name: SmolStr,
    /// Start of the incarnation; 0 where it is not known.
    born_ms: u64,
    /// When it said so, on the boot-time clock.
    at_ms: u64,
}

impl LeftWorker {
    /// Whether a report is one of its, told late.
    fn is_late(&self, spec: &WorkerSpec, now_ms: u64) -> bool {
        let is_same = spec.name == self.name && spec.started_ms == self.born_ms;
        is_same && now_ms < self.at_ms + LEFT_KEPT_MS
    }
}

/// An agent.
pub struct AgentCore {
    pub(crate) replica: Arc<Replica>,
    pub(crate) port: Arc<dyn WorkerPort>,
    pub(crate) membership: Arc<dyn Membership>,
    pub(crate) lease: LeaseTerms,
    pub(crate) heard: watch::Sender<Option<HeardReport>>,
    pub(crate) session: Mutex<WorkerSession>,
    /// The last incarnation that said that it ends.
    pub(crate) left_worker: Mutex<Option<LeftWorker>>,
    /// The worker that the log is told to be gone. Until it is, nothing of it is used.
    pub(crate) given_up: Mutex<Option<WorkerKey>>,
    pub(crate) wake_orders: Notify,
    pub(crate) wake_polls: Notify,
    pub(crate) wake_reports: Notify,
}

/// The worker as the log knows it, when this agent is its newest.
#[derive(Clone)]
pub(crate) struct OwnWorker {
    pub(crate) key: WorkerKey,
    pub(crate) name: SmolStr,
    pub(crate) born_ms: u64,
    pub(crate) fence: u64,
}

impl OwnWorker {
    /// Whether the log still has it so, and it may be given orders.
    pub(crate) fn is_current(&self, state: &GraphState) -> bool {
        let known = state.workers.get(&self.key);
        known.is_some_and(|known| known.fencing_token == self.fence && !known.is_suspected())
    }
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
            session: Mutex::default(),
            left_worker: Mutex::default(),
            given_up: Mutex::default(),
            wake_orders: Notify::new(),
            wake_polls: Notify::new(),
            wake_reports: Notify::new(),
        })
    }

    /// Runs all loops for good.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.stay_member(),
            self.keep_registered(),
            self.follow_log(),
            self.poll_worker(),
            Arc::clone(&self).send_orders(),
            self.report_ends(),
            self.save_checkpoints(),
        );
    }

    /// Takes a report of the worker. An older one than the newest is dropped, and so is one of an
    /// incarnation that said that it ends.
    pub fn record_report(&self, report: WorkerReport) {
        let at_ms = self.replica.clock.now_ms();
        if self.left_worker().as_ref().is_some_and(|left| left.is_late(&report.spec, at_ms)) {
            return;
        }
        self.heard.send_if_modified(|heard| {
            let is_newer = heard.as_ref().is_none_or(|known| {
                let known = &known.report;
                (report.spec.started_ms, report.sequence) > (known.spec.started_ms, known.sequence)
            });
            if !is_newer {
                return false;
            }
            let is_changed = heard.as_ref().is_none_or(|known| {
                known.report.spec != report.spec
                    || known.report.drain_remaining_ms.is_some()
                        != report.drain_remaining_ms.is_some()
            });
            *heard = Some(HeardReport { report, at_ms });
            is_changed
        });
    }

    /// The worker of this name says that it ends now. What it runs is stopped; what can't be stopped
    /// any more is given up when its lease is over.
    pub async fn handle_leave(&self, name: &str) {
        let heard = self.heard.borrow().as_ref().map(|heard| heard.report.spec.clone());
        if heard.as_ref().is_some_and(|heard| heard.name != name) {
            // The worker before the one that is here, told late.
            log::warn!(worker = name; "another worker than the one here says that it ends");
            return;
        }
        self.note_left_worker(name, heard.map(|heard| heard.started_ms));
        let Some(own) = self.own_worker() else {
            // It may be on its way into the log.
            log::info!(worker = name; "a worker left before it was registered");
            self.heard.send_replace(None);
            return;
        };
        if let Some(mut session) = self.session_of(own.key) {
            session.note_left();
        }
        log::info!(worker:% = own.key; "the worker leaves");
        self.wake_orders.notify_one();
        self.wake_polls.notify_one();
        let until = Instant::now() + LEAVE_WAIT;
        let is_busy = || self.session_of(own.key).is_some_and(|session| !session.table.is_idle());
        while is_busy() && Instant::now() < until {
            tokio::time::sleep(LEAVE_LOOK).await;
        }
    }

    /// Extends the lease as far as it may, before this process ends.
    pub async fn extend_lease_before_exit(&self) {
        if let Some(own) = self.own_worker() {
            self.poll_once(&own, 0).await;
        }
    }

    /// Remembers an incarnation that ends. It may say so again once it was forgotten.
    fn note_left_worker(&self, name: &str, born_ms: Option<u64>) {
        let mut left = self.left_worker();
        let known_ms = left.as_ref().filter(|left| left.name == name).map(|left| left.born_ms);
        let born_ms = born_ms.or(known_ms).unwrap_or(0);
        let at_ms = self.replica.clock.now_ms();
        *left = Some(LeftWorker { name: name.into(), born_ms, at_ms });
    }

    fn left_worker(&self) -> MutexGuard<'_, Option<LeftWorker>> {
        self.left_worker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn given_up(&self) -> MutexGuard<'_, Option<WorkerKey>> {
        self.given_up.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn session(&self) -> MutexGuard<'_, WorkerSession> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is known of this worker, begun anew where it was another: with the runs that the log has
    /// there, any of which an earlier agent or incarnation may have been ordered to start. Nothing for
    /// a worker that has a successor.
    pub(crate) fn session_of(&self, worker: WorkerKey) -> Option<MutexGuard<'_, WorkerSession>> {
        let mut session = self.session();
        if session.worker > Some(worker) {
            return None;
        }
        if session.worker != Some(worker) {
            // An agent before this one may have granted a lease until now.
            let now_ms = self.replica.clock.now_ms();
            *session = WorkerSession::new(worker, now_ms.saturating_add(self.lease.duration_ms));
            if let Some(known) = self.replica.state().workers.get(&worker) {
                session.table.sync(&known.runs);
            }
        }
        Some(session)
    }

    /// The worker, while this agent may act on it.
    pub(crate) fn own_worker(&self) -> Option<OwnWorker> {
        let heard = self.heard.borrow();
        let heard = heard.as_ref()?;
        let state = self.replica.state();
        let (key, worker) = own_in(&state, &heard.report.spec, self.replica.incarnation)?;
        if worker.is_suspected() || *self.given_up() == Some(key) {
            return None;
        }
        let WorkerSpec { name, started_ms, .. } = &worker.spec;
        Some(OwnWorker {
            key,
            name: name.clone(),
            born_ms: *started_ms,
            fence: worker.fencing_token,
        })
    }

    pub(crate) fn is_leaving(&self) -> bool {
        let heard = self.heard.borrow();
        heard.as_ref().is_some_and(|heard| heard.report.drain_remaining_ms.is_some())
    }

    async fn stay_member(&self) {
        loop {
            if let Err(error) = self.membership.join(self.replica.incarnation).await {
                log::warn!("{error}");
            }
            tokio::time::sleep(JOIN_INTERVAL).await;
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
                let result = self.replica.write(record.clone()).await;
                log_registration(&record, &result);
                if !matches!(result, Ok(Ok(_))) {
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
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
        // The session is locked before the state, here as elsewhere.
        let is_fenced = std::mem::take(&mut self.session().is_fenced);
        let state = self.replica.state();
        let own = own_in(&state, &heard.report.spec, self.replica.incarnation);
        let spec = heard.report.spec.clone();
        let up = GraphRecord::WorkerRegistered { agent: self.replica.incarnation, spec };
        if own.is_some_and(|(worker, _)| *self.given_up() == Some(worker)) {
            return None;
        }
        let Some((worker, known)) = own.filter(|(_, known)| !known.is_suspected()) else {
            return Some(up);
        };
        if known.spec.resources != heard.report.spec.resources || is_fenced {
            return Some(up);
        }
        let is_draining = matches!(known.status, WorkerStatus::Draining { .. });
        let drain_remaining_ms = heard.report.drain_remaining_ms.filter(|_| !is_draining)?;
        Some(GraphRecord::WorkerDraining { worker, until_ms: wall_ms() + drain_remaining_ms })
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

    pub(crate) fn sync_table(&self) {
        let Some(own) = self.own_worker() else { return };
        let wanted = {
            let state = self.replica.state();
            state.workers.get(&own.key).map(|worker| worker.runs.clone()).unwrap_or_default()
        };
        let Some(mut session) = self.session_of(own.key) else { return };
        session.table.sync(&wanted);
        session.table.set_draining(self.is_leaving());
        session.saved.retain(|run, _| wanted.contains_key(run));
        drop(session);
        self.wake_orders.notify_one();
        self.wake_polls.notify_one();
    }
}

/// The worker of a report in the log, when this agent is its newest.
pub(crate) fn own_in<'a>(
    state: &'a GraphState,
    spec: &WorkerSpec,
    agent: u64,
) -> Option<(WorkerKey, &'a WorkerState)> {
    let (key, worker) = state.worker_on(&spec.instance)?;
    (worker.spec.is_same_incarnation(spec) && worker.agent == agent).then_some((key, worker))
}

fn log_registration<R>(record: &GraphRecord, result: &R)
where
    R: std::fmt::Debug,
{
    match record {
        GraphRecord::WorkerRegistered { agent, spec } => {
            log::info!(worker = spec.name.as_str(), agent = *agent, result:? = result; "registering");
        }
        GraphRecord::WorkerDraining { worker, until_ms } => {
            log::info!(worker:% = worker, until_ms = *until_ms, result:? = result; "draining");
        }
        _ => {}
    }
}
