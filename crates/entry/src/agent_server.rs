//! Server side of agent sessions: registers the worker, sends its assignments and writes the
//! agent's reports to the log.

use std::time::Duration;

use cuminbarrow_ledger::apply::Effect;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::worker_state::WorkerStatus;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::worker::WorkerSpec;
use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::message::AgentMessage;
use cuminbarrow_protocol::message::EntryMessage;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::entry_core::SharedCore;
use crate::pending_reports::PendingReports;
use crate::pending_reports::ReportSubject;

/// Maximum number of messages queued for one agent.
const AGENT_QUEUE_CAPACITY: usize = 256;
/// Timeout for the first message of a session.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the end of a session within which the agent may connect to any entry before its
/// worker is declared lost.
const RECONNECT_GRACE: Duration = Duration::from_secs(3);
/// Delay between attempts to write a record that must reach the log.
const RETRY_DELAY: Duration = Duration::from_millis(500);

type AgentLink = Link<EntryMessage, AgentMessage>;

/// Worker, incarnation and session of a connected agent.
#[derive(Clone)]
struct AgentIdentity {
    spec: WorkerSpec,
    incarnation: u64,
    session: u32,
}

/// Serves the link of one agent until it closes, then reports the worker lost if the agent does
/// not reconnect.
pub(crate) async fn serve(core: SharedCore, mut link: AgentLink) {
    let hello = tokio::time::timeout(HELLO_TIMEOUT, link.receiver.receive()).await;
    let Ok(Ok(AgentMessage::Hello { spec, incarnation, session, .. })) = hello else {
        log::warn!("closed the link of an agent that did not start with a Hello message");
        return;
    };
    let identity = AgentIdentity { spec, incarnation, session };
    let (joined_sender, joined) = oneshot::channel();
    let joining = join(core.clone(), identity.clone(), joined_sender);
    let join_task = tokio::spawn(joining);
    let mut session = AgentSession {
        core: core.clone(),
        identity: identity.clone(),
        worker: None,
        queue: None,
        pending_reports: PendingReports::default(),
    };
    let error = session.run(&mut link, joined).await;
    join_task.abort();
    log::info!("the session of agent {:?} ended: {error}", identity.spec.name);
    if let Some(worker) = session.worker {
        core.sessions.close(worker, session.id());
        report_lost(core, worker, identity).await;
    }
}

/// Writes the worker's registration to the log, retrying until it succeeds. Waits for the
/// registration of this entry first, because the planner treats the workers of an unregistered
/// entry as lost.
async fn join(core: SharedCore, identity: AgentIdentity, joined: oneshot::Sender<WorkerKey>) {
    let mut offsets = core.tail.offsets();
    while !core.tail.state().entries.contains_key(&core.instance) {
        let _ = offsets.changed().await;
    }
    loop {
        let record = Record::WorkerJoined {
            spec: identity.spec.clone(),
            incarnation: identity.incarnation,
            session: identity.session,
            entry: core.instance,
        };
        match core.write(record).await {
            Err(error) => {
                log::warn!(
                    "registering worker {:?} failed, retrying: {}",
                    identity.spec.name,
                    error.detail
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Ok(Effect::Worker { worker }) => {
                let _ = joined.send(worker);
                return;
            }
            Ok(_) => return,
        }
    }
}

/// Writes that the worker is lost, unless its agent reconnects to any entry within the grace
/// period.
async fn report_lost(core: SharedCore, worker: WorkerKey, identity: AgentIdentity) {
    tokio::time::sleep(RECONNECT_GRACE).await;
    loop {
        let is_latest_session = core.tail.state().worker(worker).is_some_and(|known| {
            known.incarnation == identity.incarnation && known.session == identity.session
        });
        if !is_latest_session || core.is_closing() {
            return;
        }
        let record = Record::WorkerLost {
            worker,
            incarnation: identity.incarnation,
            session: identity.session,
        };
        if core.writer.write(record, core.write_timeout()).await.is_ok() {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Session of one agent with this entry.
struct AgentSession {
    core: SharedCore,
    identity: AgentIdentity,
    /// Key of the worker; `None` until the session is open.
    worker: Option<WorkerKey>,
    /// Messages to the agent; `None` until the session is open.
    queue: Option<mpsc::Receiver<EntryMessage>>,
    pending_reports: PendingReports,
}

impl AgentSession {
    /// Distinguishes this session from the worker's other sessions.
    fn id(&self) -> u64 {
        self.identity.incarnation ^ u64::from(self.identity.session)
    }

    /// Exchanges messages with the agent until the link fails, the agent is silent for the session
    /// timeout, or the entry closes.
    async fn run(
        &mut self,
        link: &mut AgentLink,
        mut joined: oneshot::Receiver<WorkerKey>,
    ) -> LinkError {
        if let Some(worker) = self.known_worker()
            && let Err(error) = self.open(link, worker).await
        {
            return error;
        }
        let timeout = self.core.session_timeout();
        let core = self.core.clone();
        let mut last_received = Instant::now();
        let mut is_joined = false;
        loop {
            let result = tokio::select! {
                message = link.receiver.receive() => {
                    last_received = Instant::now();
                    match message {
                        Err(error) => Err(error),
                        Ok(message) => self.handle(link, message).await,
                    }
                }
                message = next_message(&mut self.queue) => match message {
                    None => Err(LinkError::TimedOut),
                    Some(message) => link.sender.send(&message).await,
                },
                worker = &mut joined, if !is_joined => {
                    is_joined = true;
                    match worker {
                        Err(_) => Err(LinkError::Closed),
                        Ok(worker) => self.open(link, worker).await,
                    }
                }
                () = core.closed() => {
                    let _ = link.sender.send(&EntryMessage::Closing).await;
                    Err(LinkError::Closed)
                }
                () = tokio::time::sleep_until(last_received + timeout) => Err(LinkError::TimedOut),
            };
            if let Err(error) = result {
                return error;
            }
        }
    }

    /// Returns the worker if the state already contains this incarnation of the agent. Its session
    /// can then open without a log append, so it also works while the log is unavailable.
    fn known_worker(&self) -> Option<WorkerKey> {
        let state = self.core.tail.state();
        let worker = state.worker_key(&self.identity.spec.name)?;
        let known = state.worker(worker)?;
        (known.incarnation == self.identity.incarnation).then_some(worker)
    }

    /// Opens the session and sends all current assignments of the worker.
    async fn open(&mut self, link: &mut AgentLink, worker: WorkerKey) -> Result<(), LinkError> {
        let (sender, receiver) = mpsc::channel(AGENT_QUEUE_CAPACITY);
        self.core.sessions.open(worker, self.id(), sender);
        self.worker = Some(worker);
        self.queue = Some(receiver);
        let sync = self.core.sync_message(&self.core.tail.state(), worker);
        link.sender.send(&sync).await
    }

    async fn handle(
        &mut self,
        link: &mut AgentLink,
        message: AgentMessage,
    ) -> Result<(), LinkError> {
        if let Some((subject, record)) = self.record_of_report(message) {
            self.pending_reports.write(self.core.clone(), subject, record);
            return Ok(());
        }
        if self.is_declared_lost() {
            return Err(LinkError::Closed);
        }
        link.sender.send(&EntryMessage::HeartbeatAck).await
    }

    /// Whether the worker was declared lost in the log while this session is alive. The session is
    /// then closed, and the agent registers again when it reconnects.
    fn is_declared_lost(&self) -> bool {
        let Some(worker) = self.worker else { return false };
        let state = self.core.tail.state();
        state.worker(worker).is_some_and(|known| {
            known.status == WorkerStatus::Lost
                && known.incarnation == self.identity.incarnation
                && known.session == self.identity.session
        })
    }

    /// Returns the log record for a reported message; a heartbeat has none.
    fn record_of_report(&self, message: AgentMessage) -> Option<(ReportSubject, Record)> {
        let worker = self.worker?;
        let incarnation = self.identity.incarnation;
        match message {
            AgentMessage::Draining => {
                Some((ReportSubject::Draining(worker), Record::WorkerDrained { worker }))
            }
            AgentMessage::Ended { attempt, end } => {
                let record = Record::JobEnded { attempt, lead_incarnation: incarnation, end };
                Some((ReportSubject::Ended(attempt), record))
            }
            AgentMessage::Heartbeat | AgentMessage::Hello { .. } => None,
            AgentMessage::Leaving => {
                Some((ReportSubject::Leaving(worker), Record::WorkerLeft { worker, incarnation }))
            }
            AgentMessage::StartRequested { attempt } => {
                let record = Record::JobStarted { attempt, lead_incarnation: incarnation };
                Some((ReportSubject::Started(attempt), record))
            }
        }
    }
}

/// Receives the next queued message; waits forever while the session is not open.
async fn next_message(queue: &mut Option<mpsc::Receiver<EntryMessage>>) -> Option<EntryMessage> {
    match queue {
        None => std::future::pending().await,
        Some(queue) => queue.recv().await,
    }
}
