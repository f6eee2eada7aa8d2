//! Links to the agents that this one shares gangs with, opened on demand.
//!
//! A message that can't be sent is dropped; the gang protocol sends it again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::message::GangMessage;
use tokio::sync::mpsc;

/// Capacity of the message queue of each link.
const QUEUE_CAPACITY: usize = 1_024;
/// Time without messages to send after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Links to other agents, by address.
pub(crate) struct GangLinks {
    dialer: LinkDialer,
    queues: BTreeMap<SocketAddr, mpsc::Sender<GangMessage>>,
}

impl GangLinks {
    pub(crate) fn new(dialer: LinkDialer) -> Self {
        Self { dialer, queues: BTreeMap::new() }
    }

    /// Queues a message for the agent at `address`, or drops it when the queue is full.
    pub(crate) fn send(&mut self, address: SocketAddr, message: GangMessage) {
        let has_link = self.queues.get(&address).is_some_and(|queue| !queue.is_closed());
        if !has_link {
            let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(run_link(self.dialer.clone(), address, receiver));
            self.queues.insert(address, queue);
        }
        if let Some(queue) = self.queues.get(&address)
            && queue.try_send(message).is_err()
        {
            log::warn!("a message to the agent at {address} was dropped: its queue is full");
        }
    }
}

async fn run_link(dialer: LinkDialer, address: SocketAddr, mut queue: mpsc::Receiver<GangMessage>) {
    if let Err(error) = forward(&dialer, address, &mut queue).await {
        log::debug!("the link to the agent at {address} ended: {error}");
    }
}

async fn forward(
    dialer: &LinkDialer,
    address: SocketAddr,
    queue: &mut mpsc::Receiver<GangMessage>,
) -> Result<(), LinkError> {
    let mut link: Link<GangMessage, GangMessage> = dialer.open(address, LinkKind::Gang).await?;
    loop {
        tokio::select! {
            message = tokio::time::timeout(IDLE_TIMEOUT, queue.recv()) => {
                let Ok(Some(message)) = message else {
                    link.sender.close();
                    return Ok(());
                };
                link.sender.send(&message).await?;
            }
            message = link.receiver.receive() => {
                message?;
            }
        }
    }
}
