//! An agent: starts and stops runs on its worker as the log demands, and reports how they end.
//!
//! Its loops share one table of runs. They keep the worker registered and the agent a member of the
//! group of live processes, follow the log, poll the worker and extend its lease, send orders, and
//! append run ends and checkpoints. The end of a run is acknowledged to the worker only once it is in
//! the log.

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
use crate::worker_reports::LeftWorker;
use crate::worker_reports::Presence;
use crate::worker_reports::ReceivedReport;
use crate::worker_session::WorkerSession;

/// Maximum time that a worker's shutdown notice stays unanswered while its runs are stopped. The worker
/// repeats the notice after a second.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between checks whether all runs of a worker that shuts down have ended.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An agent, which manages one worker.
pub struct AgentCore {
    pub(crate) replica: Arc<Replica>,
    pub(crate) port: Arc<dyn WorkerPort>,
    pub(crate) membership: Arc<dyn Membership>,
    pub(crate) lease: LeaseTerms,
    /// Latest report of the accepted incarnation of the worker.
    pub(crate) latest_report: watch::Sender<Option<ReceivedReport>>,
    /// Latest report of another incarnation, until that has answered.
    pub(crate) unconfirmed_report: watch::Sender<Option<ReceivedReport>>,
    pub(crate) session: Mutex<WorkerSession>,
    /// The latest incarnation that has announced its shutdown.
    pub(crate) left_worker: Mutex<Option<LeftWorker>>,
    /// The worker whose removal this agent is writing to the log. Until the log has the removal, the
    /// agent does not act on this worker.
    pub(crate) removing: Mutex<Option<WorkerKey>>,
    pub(crate) wake_orders: Notify,
    /// Notified when an order has failed or waits, and has to be tried again.
    pub(crate) retry_orders: Notify,
    pub(crate) wake_polls: Notify,
    pub(crate) wake_reports: Notify,
    /// Notified when started runs are to be recorded in the log.
    pub(crate) wake_start_reports: Notify,
}

/// The worker as registered in the log by this agent.
#[derive(Clone)]
pub(crate) struct OwnWorker {
    pub(crate) key: WorkerKey,
    pub(crate) name: SmolStr,
    pub(crate) started_ms: u64,
    pub(crate) fencing_token: u64,
}

impl OwnWorker {
    /// Whether the registration is still current and the worker not suspected, so that orders may be
    /// sent to it.
    pub(crate) fn is_current(&self, state: &GraphState) -> bool {
        let known = state.workers.get(&self.key);
        known
            .is_some_and(|known| known.fencing_token == self.fencing_token && !known.is_suspected())
    }
}

impl AgentCore {
    /// Creates an agent for the worker behind `port`.
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
            latest_report: watch::Sender::new(None),
            unconfirmed_report: watch::Sender::new(None),
            session: Mutex::default(),
            left_worker: Mutex::default(),
            removing: Mutex::default(),
            wake_orders: Notify::new(),
            retry_orders: Notify::new(),
            wake_polls: Notify::new(),
            wake_reports: Notify::new(),
            wake_start_reports: Notify::new(),
        })
    }

    /// Runs all loops; never returns.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.maintain_membership(),
            self.confirm_reports(),
            self.keep_registered(),
            self.follow_log(),
            self.poll_worker(),
            Arc::clone(&self).send_orders(),
            self.wake_order_retries(),
            self.report_ends(),
            self.report_starts(),
            self.save_checkpoints(),
        );
    }

    /// Handles the notice of the worker of this name that it shuts down now. Its runs are stopped; runs
    /// that can't be stopped any more are abandoned when its lease has expired.
    pub async fn handle_leave(&self, name: &str) {
        let latest = self.latest_report.borrow().as_ref().map(|latest| latest.report.spec.clone());
        let is_accepted = latest.as_ref().is_none_or(|latest| latest.name == name);
        let unconfirmed_ms = self.drop_unconfirmed(name);
        if !is_accepted && unconfirmed_ms.is_none() {
            // A delayed notice of the previous worker.
            log::warn!(worker = name; "ignored the shutdown notice of a previous worker");
            return;
        }
        let accepted_ms = latest.filter(|_| is_accepted).map(|latest| latest.started_ms);
        self.record_left_worker(name, unconfirmed_ms.or(accepted_ms));
        let Some(own) = self.own_worker().filter(|_| is_accepted) else {
            // Its registration may be in flight.
            log::info!(worker = name; "a worker left before it was registered");
            if is_accepted {
                self.latest_report.send_replace(None);
            }
            return;
        };
        if let Some(mut session) = self.session_of(own.key) {
            session.begin_leave();
        }
        log::info!(worker:% = own.key; "the worker shuts down");
        self.wake_orders.notify_one();
        self.wake_polls.notify_one();
        let until = Instant::now() + LEAVE_TIMEOUT;
        let is_busy = || self.session_of(own.key).is_some_and(|session| !session.table.is_idle());
        while is_busy() && Instant::now() < until {
            tokio::time::sleep(LEAVE_CHECK_INTERVAL).await;
        }
    }

    /// Extends the lease as far as permitted before this process exits, so that the agent that follows
    /// has as much time as possible to renew it.
    pub async fn extend_lease_before_exit(&self) {
        if let Some(own) = self.own_worker() {
            self.poll_once(&own, 0).await;
        }
    }

    pub(crate) fn left_worker(&self) -> MutexGuard<'_, Option<LeftWorker>> {
        self.left_worker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn removing(&self) -> MutexGuard<'_, Option<WorkerKey>> {
        self.removing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn session(&self) -> MutexGuard<'_, WorkerSession> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The session of `worker`; `None` if there is already a session of a later worker. A new session
    /// replaces that of an earlier worker, and starts with the runs that the log has placed there: any
    /// of them may have been started by order of an earlier agent, or on an earlier incarnation.
    pub(crate) fn session_of(&self, worker: WorkerKey) -> Option<MutexGuard<'_, WorkerSession>> {
        let mut session = self.session();
        if session.worker > Some(worker) {
            return None;
        }
        if session.worker != Some(worker) {
            // A previous agent may have granted leases up to this moment.
            let now_ms = self.replica.clock.now_ms();
            let leased_until_ms = now_ms.saturating_add(self.lease.duration_ms);
            let earlier =
                std::mem::replace(&mut *session, WorkerSession::new(worker, leased_until_ms));
            if let Some(known) = self.replica.state().workers.get(&worker) {
                session.table.sync(&known.runs);
            }
            if earlier.worker.is_some() {
                session.leases.inherit(earlier.leases);
            } else {
                session.suspect_unanswered_starts(now_ms);
            }
        }
        Some(session)
    }

    /// The registered worker; `None` while this agent may not act on it.
    pub(crate) fn own_worker(&self) -> Option<OwnWorker> {
        let latest = self.latest_report.borrow();
        let latest = latest.as_ref()?;
        let state = self.replica.state();
        let spec = registered_spec(&state, &latest.report.spec, self.replica.incarnation);
        let (key, worker) = find_own_worker(&state, &spec, self.replica.incarnation)?;
        if worker.is_suspected() || *self.removing() == Some(key) {
            return None;
        }
        let WorkerSpec { name, started_ms, .. } = &worker.spec;
        Some(OwnWorker {
            key,
            name: name.clone(),
            started_ms: *started_ms,
            fencing_token: worker.fencing_token,
        })
    }

    /// Whether no run may be started on the worker: it is draining, or its data centre is evacuated.
    pub(crate) fn holds_back_starts(&self, own: &OwnWorker) -> bool {
        self.is_draining() || self.replica.state().is_worker_evacuated(own.key)
    }

    /// Whether the worker reports that it is draining.
    fn is_draining(&self) -> bool {
        let latest = self.latest_report.borrow();
        latest.as_ref().is_some_and(|latest| latest.report.drain_remaining_ms.is_some())
    }

    async fn maintain_membership(&self) {
        loop {
            if let Err(error) = self.membership.join(self.replica.incarnation).await {
                log::warn!("{error}");
            }
            tokio::time::sleep(JOIN_INTERVAL).await;
        }
    }

    /// Keeps the worker's registration in the log consistent with its latest report.
    async fn keep_registered(&self) {
        let mut latest = self.latest_report.subscribe();
        let mut applied = self.replica.applied();
        loop {
            latest.mark_unchanged();
            applied.mark_unchanged();
            if let Some(record) = self.registration() {
                if !self.is_registrable(&record).await {
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                    continue;
                }
                let result = self.replica.write(record.clone()).await;
                log_registration(&record, &result);
                if !matches!(result, Ok(Ok(_))) {
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
                continue;
            }
            tokio::select! {
                _ = latest.changed() => {}
                _ = applied.changed() => {}
            }
        }
    }

    /// Whether a record may be written: a worker that the log does not know yet must answer first. Its
    /// report may have been delayed until after the worker left, and an agent that was restarted since
    /// then knows nothing of that.
    async fn is_registrable(&self, record: &GraphRecord) -> bool {
        let GraphRecord::WorkerRegistered { spec, .. } = record else { return true };
        let presence = self.presence_of(spec).await;
        let is_answering = presence == Presence::Running;
        if presence == Presence::Replaced {
            // The report of the incarnation that runs here counted as outdated until now.
            self.forget_replaced(spec);
        }
        if !is_answering {
            log::warn!(worker = spec.name.as_str(), born_ms = spec.started_ms; "not registering a worker that does not answer");
        }
        is_answering
    }

    /// The next record that updates the worker's registration in the log, if any.
    fn registration(&self) -> Option<GraphRecord> {
        let latest = self.latest_report.borrow().clone()?;
        if !self.replica.is_fresh() {
            return None;
        }
        // Lock order, here as elsewhere: the session before the state.
        let is_fenced = std::mem::take(&mut self.session().is_fenced);
        let state = self.replica.state();
        let spec = registered_spec(&state, &latest.report.spec, self.replica.incarnation);
        let own = find_own_worker(&state, &spec, self.replica.incarnation);
        let register = GraphRecord::WorkerRegistered { agent: self.replica.incarnation, spec };
        if own.is_some_and(|(worker, _)| *self.removing() == Some(worker)) {
            return None;
        }
        let Some((worker, known)) = own.filter(|(_, known)| !known.is_suspected()) else {
            return Some(register);
        };
        let (registered, reported) = (&known.spec, &latest.report.spec);
        let is_changed =
            registered.resources != reported.resources || registered.service != reported.service;
        if is_changed || is_fenced {
            return Some(register);
        }
        let is_draining = matches!(known.status, WorkerStatus::Draining { .. });
        let drain_remaining_ms = latest.report.drain_remaining_ms.filter(|_| !is_draining)?;
        Some(GraphRecord::WorkerDraining { worker, until_ms: wall_ms() + drain_remaining_ms })
    }

    /// Keeps the table of runs in step with the runs that the log places on the worker.
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
        let (wanted, is_evacuated) = {
            let state = self.replica.state();
            let worker = state.workers.get(&own.key);
            let is_evacuated = worker.is_some_and(|worker| state.is_evacuated(worker));
            (worker.map(|worker| worker.runs.clone()).unwrap_or_default(), is_evacuated)
        };
        let holds_back_starts = self.is_draining() || is_evacuated;
        let Some(mut session) = self.session_of(own.key) else { return };
        session.table.sync(&wanted);
        session.table.set_draining(holds_back_starts);
        session.log_evacuation(is_evacuated);
        session.saved_checkpoints.retain(|run, _| wanted.contains_key(run));
        drop(session);
        self.wake_orders.notify_one();
        self.wake_polls.notify_one();
    }
}

/// The registration in the log of the reported incarnation, if it was made by `agent`.
pub(crate) fn find_own_worker<'a>(
    state: &'a GraphState,
    spec: &WorkerSpec,
    agent: u64,
) -> Option<(WorkerKey, &'a WorkerState)> {
    let (key, worker) = state.worker_on(&spec.instance)?;
    (worker.spec.is_same_incarnation(spec) && worker.agent == agent).then_some((key, worker))
}

/// The spec with which a worker is registered. It keeps the instance under which this agent, or that of
/// an earlier version, has registered a worker here. Otherwise one worker would have two keys, and a
/// lease that is extended under one of them would outlast the removal of the other.
pub(crate) fn registered_spec(state: &GraphState, spec: &WorkerSpec, agent: u64) -> WorkerSpec {
    let mut workers = state.workers.values();
    let known = workers
        .find(|known| known.agent == agent || known.spec.is_earlier_form_of(spec))
        .map(|known| known.spec.instance.clone());
    WorkerSpec { instance: known.unwrap_or_else(|| spec.instance.clone()), ..spec.clone() }
}

fn log_registration<R>(record: &GraphRecord, result: &R)
where
    R: std::fmt::Debug,
{
    match record {
        GraphRecord::WorkerRegistered { agent, spec } => {
            log::info!(worker = spec.name.as_str(), born_ms = spec.started_ms, instance = spec.instance.as_str(), agent = *agent, result:? = result; "registering");
        }
        GraphRecord::WorkerDraining { worker, until_ms } => {
            log::info!(worker:% = worker, until_ms = *until_ms, result:? = result; "draining");
        }
        _ => {}
    }
}
