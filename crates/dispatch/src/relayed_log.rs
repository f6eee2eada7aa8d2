//! The log as a process reaches it: itself, or through an entry.
//!
//! Agents read through an entry of their data centre, so that the log serves a few readers however
//! many workers there are. A process that the log turns away, or whose path to it is broken, goes
//! through an entry for everything. An append whose answer is lost may be sent again by another
//! way: the fold drops the copy.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::relay_message::RelayRequest;
use cuminbarrow_protocol::relay_message::RelayResponse;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use tokio::time::Instant;

use crate::membership::Membership;
use crate::membership::MembershipError;
use crate::peer_list::PeerList;
use crate::relay_link::RelayCaller;

/// Time for which the log itself is passed over after it failed this process.
const DIRECT_PAUSE: Duration = Duration::from_secs(1);
/// Longest wait for a record in one read through an entry, in ms. The answer also tells how fresh
/// the entry is.
const RELAY_WAIT_MS: u32 = 600;

/// The log, itself or through an entry.
pub struct RelayedLog {
    direct: Arc<dyn LogStore>,
    peers: Arc<PeerList>,
    reads: RelayCaller,
    calls: RelayCaller,
    paused_until: Mutex<Option<Instant>>,
}

impl RelayedLog {
    /// Reaches the log `direct`ly or through the entries of `peers`.
    pub fn new(direct: Arc<dyn LogStore>, peers: Arc<PeerList>, dialer: &LinkDialer) -> Self {
        Self {
            direct,
            peers,
            reads: RelayCaller::new(dialer.clone()),
            calls: RelayCaller::new(dialer.clone()),
            paused_until: Mutex::new(None),
        }
    }

    fn is_direct_paused(&self) -> bool {
        let paused = self.paused_until.lock().unwrap_or_else(PoisonError::into_inner);
        paused.is_some_and(|until| Instant::now() < until)
    }

    fn pause_direct(&self) {
        let until = Instant::now() + DIRECT_PAUSE;
        *self.paused_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    /// Asks the entries that this process may fall back on; nothing where none answers.
    async fn fall_back(&self, request: RelayRequest) -> Option<RelayResponse> {
        let peers = self.peers.choice().fallbacks;
        self.calls.call(&peers, &request, Duration::ZERO, false).await
    }

    async fn read_through(
        &self,
        peers: &[std::net::SocketAddr],
        from: u64,
        wait_ms: u32,
    ) -> Option<Result<LogPage, LogError>> {
        let wait_ms = wait_ms.min(RELAY_WAIT_MS);
        let request = RelayRequest::Read { from, wait_ms };
        let wait = Duration::from_millis(u64::from(wait_ms));
        let response = self.reads.call(peers, &request, wait, true).await?;
        match response {
            RelayResponse::Records { oldest, next, entries, waited_ms, age_ms } => {
                Some(Ok(LogPage { oldest, next, first: from, entries, waited_ms, age_ms }))
            }
            RelayResponse::Expired { oldest } => Some(Err(LogError::Expired { oldest })),
            _ => None,
        }
    }
}

#[async_trait]
impl LogStore for RelayedLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        let mut error = LogError::Unavailable { reason: "passed over after a failure".to_owned() };
        if !self.is_direct_paused() {
            match self.direct.append(stream, body.clone()).await {
                Err(LogError::Unavailable { reason }) => {
                    self.pause_direct();
                    error = LogError::Unavailable { reason };
                }
                Err(uncertain) => {
                    self.pause_direct();
                    return Err(uncertain);
                }
                Ok(offset) => return Ok(offset),
            }
        }
        match self.fall_back(RelayRequest::Append { body: body.to_vec() }).await {
            Some(RelayResponse::Appended { offset }) => Ok(offset),
            Some(RelayResponse::Uncertain { reason }) => Err(LogError::Uncertain { reason }),
            _ => Err(error),
        }
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        if stream != LogStream::Records {
            return self.direct.read(stream, from, limit, wait_ms).await;
        }
        let choice = self.peers.choice();
        if let Some(result) = self.read_through(&choice.readers, from, wait_ms).await {
            return result;
        }
        let mut error = LogError::Unavailable { reason: "passed over after a failure".to_owned() };
        if !self.is_direct_paused() {
            match self.direct.read(stream, from, limit, wait_ms).await {
                Err(LogError::Expired { oldest }) => return Err(LogError::Expired { oldest }),
                Err(failure) => {
                    self.pause_direct();
                    error = failure;
                }
                Ok(page) => return Ok(page),
            }
        }
        let result = self.read_through(&choice.fallbacks, from, wait_ms).await;
        result.unwrap_or(Err(error))
    }

    async fn save_chunks(&self, chunks: Vec<Bytes>) -> Result<(), LogError> {
        let error = match self.direct.save_chunks(chunks.clone()).await {
            Err(error) => error,
            Ok(()) => return Ok(()),
        };
        let chunks = chunks.iter().map(|chunk| chunk.to_vec()).collect();
        match self.fall_back(RelayRequest::SaveChunks { chunks }).await {
            Some(RelayResponse::Done) => Ok(()),
            _ => Err(error),
        }
    }

    async fn load_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        let error = match self.direct.load_chunks().await {
            Err(error) => error,
            Ok(chunks) => return Ok(chunks),
        };
        match self.fall_back(RelayRequest::LoadChunks).await {
            Some(RelayResponse::Chunks { chunks }) => Ok(chunks),
            _ => Err(error),
        }
    }
}

/// The list of live agents, entered by this process or by an entry on its behalf.
pub struct RelayedMembership {
    direct: Arc<dyn Membership>,
    peers: Arc<PeerList>,
    calls: RelayCaller,
}

impl RelayedMembership {
    /// Reaches the list `direct`ly or through the entries of `peers`.
    pub fn new(direct: Arc<dyn Membership>, peers: Arc<PeerList>, dialer: &LinkDialer) -> Self {
        Self { direct, peers, calls: RelayCaller::new(dialer.clone()) }
    }
}

#[async_trait]
impl Membership for RelayedMembership {
    async fn join(&self, incarnation: u64) -> Result<(), MembershipError> {
        let error = match self.direct.join(incarnation).await {
            Err(error) => error,
            Ok(()) => return Ok(()),
        };
        let peers = self.peers.choice().fallbacks;
        let request = RelayRequest::Join { incarnation };
        match self.calls.call(&peers, &request, Duration::ZERO, true).await {
            Some(RelayResponse::Done) => Ok(()),
            _ => Err(error),
        }
    }

    async fn members(&self) -> Result<std::collections::BTreeSet<u64>, MembershipError> {
        self.direct.members().await
    }
}
