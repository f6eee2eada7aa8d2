//! The log as a process reaches it: itself, or through an entry.
//!
//! Agents read through an entry of their data centre, so that the log serves a few readers however
//! many workers there are. A process that the log turns away, or whose path to it is broken, goes
//! through an entry for everything. An append whose answer is lost may be sent again by another
//! way: the fold drops the copy.

use std::collections::BTreeSet;
use std::net::SocketAddr;
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
use cuminbarrow_taskgraph::record::ProcessRole;
use tokio::time::Instant;

use crate::caching_log::dropped_page;
use crate::direct_path::DirectPath;
use crate::direct_path::broken_path;
use crate::membership::Membership;
use crate::membership::MembershipError;
use crate::peer_list::PeerList;
use crate::relay_link::PauseTable;
use crate::relay_link::RelayCaller;

/// Time for which entries must have failed before an agent reads the log itself. Entries that were
/// restarted serve again within two seconds; a lease lasts for 6 s and more.
const AGENT_PATIENCE: Duration = Duration::from_millis(2_500);
/// Longest wait of one call for a path that is broken.
const WORKING_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for a record in one read through an entry, in ms. The answer also tells how fresh
/// the entry is.
const RELAY_WAIT_MS: u32 = 600;

/// The log, itself or through an entry.
pub struct RelayedLog {
    direct: Arc<DirectPath>,
    peers: Arc<PeerList>,
    reads: RelayCaller,
    appends: RelayCaller,
    /// A snapshot takes long and may meet a silent entry; nothing else waits for it.
    snapshots: RelayCaller,
    is_entry: bool,
    /// Time for which entries must have failed before an agent reads the log itself.
    patience: Duration,
    unread_since: Mutex<Option<Instant>>,
}

impl RelayedLog {
    /// Reaches the log `direct`ly or through the entries of `peers`, as a process of this role
    /// does.
    pub fn new(
        direct: Arc<DirectPath>,
        peers: Arc<PeerList>,
        dialer: &LinkDialer,
        role: ProcessRole,
    ) -> Self {
        let pauses = Arc::new(PauseTable::default());
        let patience = match role {
            ProcessRole::Agent => AGENT_PATIENCE,
            ProcessRole::Entry => Duration::ZERO,
        };
        Self {
            is_entry: role == ProcessRole::Entry,
            patience,
            unread_since: Mutex::new(None),
            direct,
            peers,
            reads: RelayCaller::new(dialer.clone(), Arc::clone(&pauses)),
            appends: RelayCaller::new(dialer.clone(), Arc::clone(&pauses)),
            snapshots: RelayCaller::new(dialer.clone(), pauses),
        }
    }

    /// Whether entries have failed for so long that the log itself has to be read.
    fn is_out_of_patience(&self) -> bool {
        let mut since = self.unread_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.get_or_insert_with(Instant::now).elapsed() >= self.patience
    }

    fn note_read(&self) {
        *self.unread_since.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Asks the entries that this process may fall back on; nothing where none answers.
    async fn fall_back(
        &self,
        caller: &RelayCaller,
        request: RelayRequest,
    ) -> Option<RelayResponse> {
        let peers = self.peers.choice().fallbacks;
        caller.call(&peers, &request, Duration::ZERO, false).await
    }

    async fn read_direct(&self, from: u64, limit: u32, wait_ms: u32) -> Result<LogPage, LogError> {
        match self.direct.read(from, limit, wait_ms).await {
            Err(LogError::Expired { oldest }) => self.read_lost(from, oldest).await,
            Err(failure) => Err(failure),
            Ok(page) => {
                self.peers.note_reading_through(false);
                Ok(page)
            }
        }
    }

    /// Batches that the log dropped, from an entry that appended them.
    async fn read_lost(&self, from: u64, oldest: u64) -> Result<LogPage, LogError> {
        // A process that begins takes a snapshot.
        let peers = if from == 0 { Vec::new() } else { self.peers.choice().fallbacks };
        let request = RelayRequest::ReadAppended { from, oldest };
        for peer in peers {
            let answer = self.reads.call(&[peer], &request, Duration::ZERO, true).await;
            if let Some(RelayResponse::Records { entries, .. }) = answer {
                log::info!(from, oldest, batches = entries.len(), entry:% = peer; "read lost batches");
                return Ok(dropped_page(from, oldest, entries));
            }
        }
        Err(LogError::Expired { oldest })
    }

    async fn read_through(
        &self,
        peers: &[SocketAddr],
        from: u64,
        wait_ms: u32,
    ) -> Option<Result<LogPage, LogError>> {
        let wait_ms = wait_ms.min(RELAY_WAIT_MS);
        let request = RelayRequest::Read { from, wait_ms, is_entry: self.is_entry };
        let wait = Duration::from_millis(u64::from(wait_ms));
        let response = self.reads.call(peers, &request, wait, true).await?;
        match response {
            RelayResponse::Records { oldest, next, entries, waited_ms, age_ms } => {
                self.peers.note_reading_through(true);
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
        if stream != LogStream::Records {
            return self.direct.log.append(stream, body).await;
        }
        let appenders = self.peers.choice().appenders;
        let request = RelayRequest::Append { body: body.to_vec() };
        let answer = self.appends.call(&appenders, &request, Duration::ZERO, false).await;
        if let Some(result) = append_result(answer) {
            return result;
        }
        let error = match self.direct.append(body.clone()).await {
            Err(error @ LogError::Unavailable { .. }) => error,
            result => return result,
        };
        if let Some(result) = append_result(self.fall_back(&self.appends, request).await) {
            return result;
        }
        if self.direct.is_broken() && self.direct.wait_until_working(WORKING_WAIT).await {
            return self.direct.append(body).await;
        }
        Err(error)
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        if stream != LogStream::Records {
            return self.direct.log.read(stream, from, limit, wait_ms).await;
        }
        let choice = self.peers.choice();
        if let Some(result) = self.read_through(&choice.readers, from, wait_ms).await {
            self.note_read();
            return result;
        }
        let began = Instant::now();
        let is_direct = self.is_out_of_patience();
        let mut error = broken_path();
        if is_direct && !self.direct.is_broken() {
            match self.read_direct(from, limit, wait_ms).await {
                Err(failure @ (LogError::Unavailable { .. } | LogError::Uncertain { .. })) => {
                    error = failure;
                }
                result => return result,
            }
        }
        // An entry may have no news either. Whoever reads is behind until the path works again, and
        // callers wait for that.
        tokio::select! {
            Some(result) = self.read_through(&choice.fallbacks, from, wait_ms) => return result,
            true = self.direct.wait_until_working(WORKING_WAIT), if is_direct => {}
            else => return Err(error),
        }
        let waited_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(0);
        let page = self.read_direct(from, limit, 0).await?;
        Ok(LogPage { waited_ms, ..page })
    }

    async fn save_chunks(&self, chunks: Vec<Bytes>) -> Result<(), LogError> {
        let error = match self.direct.log.save_chunks(chunks.clone()).await {
            Err(error) => error,
            Ok(()) => return Ok(()),
        };
        let chunks = chunks.iter().map(|chunk| chunk.to_vec()).collect();
        match self.fall_back(&self.snapshots, RelayRequest::SaveChunks { chunks }).await {
            Some(RelayResponse::Done) => Ok(()),
            _ => Err(error),
        }
    }

    async fn load_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        let readers = self.peers.choice().readers;
        let request = RelayRequest::LoadChunks;
        let answer = self.snapshots.call(&readers, &request, Duration::ZERO, true).await;
        if let Some(RelayResponse::Chunks { chunks }) = answer {
            return Ok(chunks);
        }
        if !self.is_out_of_patience() {
            return Err(LogError::Unavailable { reason: "no entry answers yet".to_owned() });
        }
        let error = match self.direct.log.load_chunks().await {
            Err(error) => error,
            Ok(chunks) => return Ok(chunks),
        };
        match self.fall_back(&self.snapshots, RelayRequest::LoadChunks).await {
            Some(RelayResponse::Chunks { chunks }) => Ok(chunks),
            _ => Err(error),
        }
    }
}

/// What an entry's answer says of an append; nothing where it does not tell.
fn append_result(answer: Option<RelayResponse>) -> Option<Result<u64, LogError>> {
    match answer? {
        RelayResponse::Appended { offset } => Some(Ok(offset)),
        RelayResponse::Uncertain { reason } => Some(Err(LogError::Uncertain { reason })),
        _ => None,
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
        Self { direct, peers, calls: RelayCaller::new(dialer.clone(), Arc::default()) }
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

    async fn members(&self) -> Result<BTreeSet<u64>, MembershipError> {
        self.direct.members().await
    }
}
