//! A log client that calls the log directly or relays its calls through an entry.
//!
//! Agents read through an entry of their data centre, so that the log has few readers however many
//! workers there are. A process whose calls the log refuses, or whose path to the log is broken,
//! relays all its calls. An append whose answer was lost may be sent again over another path, because
//! duplicates are dropped when batches are applied.

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
use cuminbarrow_resources::log_store::RetainedLog;
use cuminbarrow_taskgraph::record::ProcessRole;
use tokio::time::Instant;

use crate::caching_log::dropped_page;
use crate::direct_path::DirectPath;
use crate::direct_path::broken_path;
use crate::membership::Membership;
use crate::membership::MembershipError;
use crate::peer_list::PeerList;
use crate::relay_link::EntryBackoffs;
use crate::relay_link::RelayCaller;

/// Time for which reads through entries must have failed before an agent reads the log directly.
/// Restarted entries serve again within two seconds; a lease lasts for at least 6 s.
const AGENT_DIRECT_READ_DELAY: Duration = Duration::from_millis(2_500);
/// Maximum time that one read waits for a broken path to work again.
const DIRECT_PATH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that one append waits for a broken path to work again. Until it returns, its record
/// counts as sent, and callers can't be told that it was not written.
const APPEND_PATH_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time that one read through an entry waits for a record, in ms. Even an answer without
/// records reports how fresh the entry is.
const MAX_RELAYED_WAIT_MS: u32 = 600;

/// A log client that calls the log directly or through an entry.
pub struct RelayedLog {
    direct: Arc<DirectPath>,
    peers: Arc<PeerList>,
    reads: RelayCaller,
    appends: RelayCaller,
    /// Separate caller for snapshots, which take long and may wait for an unresponsive entry, so that
    /// no other call is held up.
    snapshots: RelayCaller,
    is_entry: bool,
    /// Time for which reads through entries must have failed before the log is read directly.
    direct_read_delay: Duration,
    relayed_reads_failing_since: Mutex<Option<Instant>>,
}

impl RelayedLog {
    /// Creates a client for a process of this role that calls the log over `direct` or through the
    /// entries of `peers`.
    pub fn new(
        direct: Arc<DirectPath>,
        peers: Arc<PeerList>,
        dialer: &LinkDialer,
        role: ProcessRole,
    ) -> Self {
        let backoffs = Arc::new(EntryBackoffs::default());
        let direct_read_delay = match role {
            ProcessRole::Agent => AGENT_DIRECT_READ_DELAY,
            ProcessRole::Entry => Duration::ZERO,
        };
        Self {
            is_entry: role == ProcessRole::Entry,
            direct_read_delay,
            relayed_reads_failing_since: Mutex::new(None),
            direct,
            peers,
            reads: RelayCaller::new(dialer.clone(), Arc::clone(&backoffs)),
            appends: RelayCaller::new(dialer.clone(), Arc::clone(&backoffs)),
            snapshots: RelayCaller::new(dialer.clone(), backoffs),
        }
    }

    /// Whether reads through entries have failed for long enough to read the log directly.
    fn may_read_directly(&self) -> bool {
        let mut since =
            self.relayed_reads_failing_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.get_or_insert_with(Instant::now).elapsed() >= self.direct_read_delay
    }

    fn record_relayed_read(&self) {
        *self.relayed_reads_failing_since.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Calls the fallback entries; `None` if none of them answers.
    async fn call_fallbacks(
        &self,
        caller: &RelayCaller,
        request: RelayRequest,
    ) -> Option<RelayResponse> {
        let peers = self.peers.choice().fallbacks;
        caller.call(&peers, &request, Duration::ZERO, false).await
    }

    async fn read_direct(&self, from: u64, limit: u32, wait_ms: u32) -> Result<LogPage, LogError> {
        match self.direct.read(from, limit, wait_ms).await {
            Err(LogError::Expired { oldest }) => self.read_dropped(from, oldest).await,
            Err(failure) => Err(failure),
            Ok(page) => {
                self.peers.set_reading_through(false);
                Ok(page)
            }
        }
    }

    /// Reads batches that the log has dropped; they are in the cache of the entry that appended them.
    async fn read_dropped(&self, from: u64, oldest: u64) -> Result<LogPage, LogError> {
        // A process that starts from offset 0 loads a snapshot instead.
        let peers = if from == 0 { Vec::new() } else { self.peers.choice().fallbacks };
        let request = RelayRequest::ReadAppended { from, oldest };
        for peer in peers {
            let answer = self.reads.call(&[peer], &request, Duration::ZERO, true).await;
            if let Some(RelayResponse::Records { entries, .. }) = answer {
                log::info!(from, oldest, batches = entries.len(), entry:% = peer; "read dropped batches from the cache of an entry");
                return Ok(dropped_page(from, oldest, entries));
            }
        }
        Err(LogError::Expired { oldest })
    }

    /// Like [`Self::read_through`], but returns `None` only after [`DIRECT_PATH_TIMEOUT`].
    async fn read_through_patiently(
        &self,
        peers: &[SocketAddr],
        from: u64,
        wait_ms: u32,
    ) -> Option<Result<LogPage, LogError>> {
        let until = Instant::now() + DIRECT_PATH_TIMEOUT;
        let result = self.read_through(peers, from, wait_ms).await;
        if result.is_none() {
            tokio::time::sleep_until(until).await;
        }
        result
    }

    async fn read_through(
        &self,
        peers: &[SocketAddr],
        from: u64,
        wait_ms: u32,
    ) -> Option<Result<LogPage, LogError>> {
        let wait_ms = wait_ms.min(MAX_RELAYED_WAIT_MS);
        let request = RelayRequest::Read { from, wait_ms, is_from_entry: self.is_entry };
        let wait = Duration::from_millis(u64::from(wait_ms));
        let response = self.reads.call(peers, &request, wait, true).await?;
        match response {
            RelayResponse::Records { oldest, next, entries, waited_ms, age_ms } => {
                self.peers.set_reading_through(true);
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
        if let Some(result) = append_result(self.call_fallbacks(&self.appends, request).await) {
            return result;
        }
        if self.direct.is_broken() && self.direct.wait_until_working(APPEND_PATH_TIMEOUT).await {
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
            self.record_relayed_read();
            return result;
        }
        let began = Instant::now();
        let is_direct = self.may_read_directly();
        let mut error = broken_path();
        if is_direct && !self.direct.is_broken() {
            match self.read_direct(from, limit, wait_ms).await {
                result @ (Ok(_) | Err(LogError::Expired { .. })) => return result,
                Err(failure) => error = failure,
            }
        }
        if !is_direct {
            let result = self.read_through(&choice.fallbacks, from, wait_ms).await;
            return result.unwrap_or(Err(error));
        }
        // The entries may be behind as well. This replica then stays stale, and its callers wait, until
        // the direct path works again. The read therefore takes whichever comes first: an entry's
        // answer or a working direct path.
        tokio::select! {
            result = self.read_through_patiently(&choice.fallbacks, from, wait_ms) => {
                return result.unwrap_or(Err(error));
            }
            () = self.direct.working() => {}
        }
        let waited_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(0);
        let page = self.read_direct(from, limit, 0).await?;
        Ok(LogPage { waited_ms, ..page })
    }

    async fn save_snapshot(&self, offset: u64, chunks: Vec<Bytes>) -> Result<(), LogError> {
        let error = match self.direct.log.save_snapshot(offset, chunks.clone()).await {
            Err(error) => error,
            Ok(()) => return Ok(()),
        };
        let chunks = chunks.iter().map(|chunk| chunk.to_vec()).collect();
        let request = RelayRequest::SaveSnapshot { chunks, offset };
        match self.call_fallbacks(&self.snapshots, request).await {
            Some(RelayResponse::Done) => Ok(()),
            _ => Err(error),
        }
    }

    async fn load_snapshot_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        let readers = self.peers.choice().readers;
        let request = RelayRequest::LoadSnapshot;
        let answer = self.snapshots.call(&readers, &request, Duration::ZERO, true).await;
        if let Some(RelayResponse::SnapshotChunks { chunks }) = answer {
            return Ok(chunks);
        }
        if !self.may_read_directly() {
            return Err(LogError::Unavailable { reason: "no entry answers yet".to_owned() });
        }
        let error = match self.direct.log.load_snapshot_chunks().await {
            Err(error) => error,
            Ok(chunks) => return Ok(chunks),
        };
        match self.call_fallbacks(&self.snapshots, RelayRequest::LoadSnapshot).await {
            Some(RelayResponse::SnapshotChunks { chunks }) => Ok(chunks),
            _ => Err(error),
        }
    }

    /// Never relayed: the entries and the snapshots must be read in one order by one process.
    async fn load_retained(&self) -> Result<Option<RetainedLog>, LogError> {
        self.direct.log.load_retained().await
    }

    fn release_before(&self, offset: u64) {
        self.direct.log.release_before(offset);
    }
}

/// The result of an append according to an entry's answer; `None` if the answer shows no result.
fn append_result(answer: Option<RelayResponse>) -> Option<Result<u64, LogError>> {
    match answer? {
        RelayResponse::Appended { offset } => Some(Ok(offset)),
        RelayResponse::Uncertain { reason } => Some(Err(LogError::Uncertain { reason })),
        RelayResponse::Rejected { reason } => Some(Err(LogError::Rejected { reason })),
        _ => None,
    }
}

/// Membership client that joins directly, or through an entry if the direct call fails.
pub struct RelayedMembership {
    direct: Arc<dyn Membership>,
    peers: Arc<PeerList>,
    calls: RelayCaller,
}

impl RelayedMembership {
    /// Creates a client that calls `direct`, with the entries of `peers` as fallbacks.
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
