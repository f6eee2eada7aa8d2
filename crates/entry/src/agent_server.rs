//! Sessions of agents with this entry.

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

/// Messages that may wait for one agent.
const AGENT_QUEUE_CAPACITY: usize = 256;
/// Time that an agent has to say hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that an agent has to come back to some entry before it counts as lost.
const RECONNECT_GRACE: Duration = Duration::from_secs(3);
/// Wait between tries of a record that must get into the log.
const RETRY_DELAY: Duration = Duration::from_millis(500);

type AgentLink = Link<EntryMessage, AgentMessage>;

/// Who is connected.
#[derive(Clone)]
struct AgentIdentity {
    spec: WorkerSpec,
    incarnation: u64,
    session: u32,
}

/// Serves one agent's link until it ends.
pub(crate) async fn serve(core: SharedCore, mut link: AgentLink) {
    let hello = tokio::time::timeout(HELLO_TIMEOUT, link.receiver.receive()).await;
    let Ok(Ok(AgentMessage::Hello { spec, incarnation, session, .. })) = hello else {
        log::warn!("an agent's link did not begin with a hello");
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

/// Puts the announcement into the log, however long that takes. This entry's own announcement
/// goes first: the planner takes the worker of an unknown entry for lost.
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
                log::warn!("agent {:?} can't join yet: {}", identity.spec.name, error.detail);
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

/// Declares the worker lost unless its agent came back to some entry.
async fn report_lost(core: SharedCore, worker: WorkerKey, identity: AgentIdentity) {
    tokio::time::sleep(RECONNECT_GRACE).await;
    loop {
        let is_current = core.tail.state().worker(worker).is_some_and(|known| {
            known.incarnation == identity.incarnation && known.session == identity.session
        });
        if !is_current || core.is_closing() {
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

struct AgentSession {
    core: SharedCore,
    identity: AgentIdentity,
    worker: Option<WorkerKey>,
    queue: Option<mpsc::Receiver<EntryMessage>>,
    pending_reports: PendingReports,
}

impl AgentSession {
    /// Identity of this session among those of its worker.
    fn id(&self) -> u64 {
        self.identity.incarnation ^ u64::from(self.identity.session)
    }

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

    /// The worker, when the log knows this very agent already: it can act during an outage.
    fn known_worker(&self) -> Option<WorkerKey> {
        let state = self.core.tail.state();
        let worker = state.worker_key(&self.identity.spec.name)?;
        let known = state.worker(worker)?;
        (known.incarnation == self.identity.incarnation).then_some(worker)
    }

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

    /// Whether the log says that the worker of this live session is lost. The session ends then,
    /// and the agent joins again with the next one.
    fn is_declared_lost(&self) -> bool {
        let Some(worker) = self.worker else { return false };
        let state = self.core.tail.state();
        state.worker(worker).is_some_and(|known| {
            known.status == WorkerStatus::Lost
                && known.incarnation == self.identity.incarnation
                && known.session == self.identity.session
        })
    }

    /// The record that a message asks for; a heartbeat asks for none.
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

async fn next_message(queue: &mut Option<mpsc::Receiver<EntryMessage>>) -> Option<EntryMessage> {
    match queue {
        None => std::future::pending().await,
        Some(queue) => queue.recv().await,
    }
}
