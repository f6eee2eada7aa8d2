//! The agent's session with an entry. When it ends, the agent opens one with the next entry.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminbarrow_model::worker::WorkerSpec;
use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::message::AgentMessage;
use cuminbarrow_protocol::message::EntryMessage;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::agent_daemon::AgentEvent;
use crate::agent_metrics::AgentMetrics;
use crate::agent_settings::AgentSettings;

/// Upper limit of the first backoff before reconnecting.
const INITIAL_BACKOFF_MS: u64 = 50;
/// Upper limit of any backoff before reconnecting.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Maintains a session with one entry at a time.
pub(crate) struct EntrySession {
    pub(crate) settings: Arc<AgentSettings>,
    pub(crate) spec: WorkerSpec,
    pub(crate) incarnation: u64,
    pub(crate) applied_offset: Arc<AtomicU64>,
    pub(crate) dialer: LinkDialer,
    pub(crate) metrics: Arc<AgentMetrics>,
    pub(crate) outbox: mpsc::Receiver<AgentMessage>,
    pub(crate) events: mpsc::Sender<AgentEvent>,
}

impl EntrySession {
    /// Runs until the agent's event loop ends.
    pub(crate) async fn run(mut self) {
        let mut session = 0;
        let mut failures = 0_u32;
        let entries = self.settings.entries.clone();
        for address in entries.iter().cycle() {
            if self.events.is_closed() {
                return;
            }
            session += 1;
            let link = self.dialer.open(*address, LinkKind::Agent).await;
            let error = match link {
                Err(error) => error,
                Ok(link) => {
                    let started = Instant::now();
                    let error = self.serve(link, session).await;
                    let is_short = started.elapsed() < Duration::from_secs(1);
                    failures = if is_short { failures } else { 0 };
                    error
                }
            };
            log::info!("the session with entry {address} ended: {error}");
            let limit_ms = (INITIAL_BACKOFF_MS << failures.min(10)).min(MAX_BACKOFF_MS);
            failures += 1;
            let backoff_ms = rand::rng().random_range(limit_ms / 2..=limit_ms);
            tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        }
    }

    async fn serve(
        &mut self,
        mut link: Link<AgentMessage, EntryMessage>,
        session: u32,
    ) -> LinkError {
        let hello = AgentMessage::Hello {
            spec: self.spec.clone(),
            incarnation: self.incarnation,
            session,
            applied_offset: self.applied_offset.load(Ordering::Relaxed),
        };
        if let Err(error) = link.sender.send(&hello).await {
            return error;
        }
        self.metrics.sessions.fetch_add(1, Ordering::Relaxed);
        let timeout = Duration::from_millis(self.settings.session_timeout_ms);
        let mut heartbeat =
            tokio::time::interval(Duration::from_millis(self.settings.heartbeat_ms));
        heartbeat.reset();
        let mut last_received = Instant::now();
        loop {
            let result = tokio::select! {
                message = link.receiver.receive() => {
                    last_received = Instant::now();
                    self.forward_message(message).await
                }
                message = self.outbox.recv() => match message {
                    None => Err(LinkError::Closed),
                    Some(message) => link.sender.send(&message).await,
                },
                _ = heartbeat.tick() => link.sender.send(&AgentMessage::Heartbeat).await,
                () = tokio::time::sleep_until(last_received + timeout) => Err(LinkError::TimedOut),
            };
            if let Err(error) = result {
                return error;
            }
        }
    }

    async fn forward_message(
        &self,
        message: Result<EntryMessage, LinkError>,
    ) -> Result<(), LinkError> {
        match message? {
            EntryMessage::Closing => Err(LinkError::Closed),
            EntryMessage::HeartbeatAck => Ok(()),
            message @ (EntryMessage::Sync { .. } | EntryMessage::Update { .. }) => {
                let event = AgentEvent::Entry(message);
                self.events.send(event).await.map_err(|_| LinkError::Closed)
            }
        }
    }
}
