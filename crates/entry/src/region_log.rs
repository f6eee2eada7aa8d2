//! Log access of an entry. In a region without the log service, one entry, the reader, reads the
//! log from the other region, and the region's other entries read from it.
//!
//! The reader is the region's entry with the lowest instance number. If it returns no page, an
//! entry reads the log directly for the backoff time, so a failed reader costs only one timeout.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::message::PeerRequest;
use cuminbarrow_protocol::message::PeerResponse;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::entry_core::SharedCore;

/// Maximum time that a read of an entry other than the reader waits for the next batch, in ms.
const MAX_READER_WAIT_MS: u32 = 1_500;
/// Time that the reader gets for its response in addition to the wait.
const READER_RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which the reader is not used after a call to it failed or it lacked the batches.
const READER_BACKOFF: Duration = Duration::from_secs(5);

/// Open link to the region's reader.
struct ReaderLink {
    address: SocketAddr,
    link: Link<PeerRequest, PeerResponse>,
}

/// Log store that reads through the region's reader if there is one, and directly otherwise.
pub(crate) struct RegionLog {
    core: SharedCore,
    store: Arc<dyn LogStore>,
    reader: Mutex<Option<ReaderLink>>,
    reader_backoff_until: Mutex<Instant>,
}

impl RegionLog {
    pub(crate) fn new(core: SharedCore, store: Arc<dyn LogStore>) -> Self {
        Self {
            core,
            store,
            reader: Mutex::new(None),
            reader_backoff_until: Mutex::new(Instant::now()),
        }
    }

    /// Returns the address of the region's reader; `None` if this entry is the reader, the log
    /// service is in this region, or no entry of the region is registered yet.
    fn reader_address(&self) -> Option<SocketAddr> {
        if !self.core.settings.is_log_in_other_region() {
            return None;
        }
        let state = self.core.tail.state();
        let region = &self.core.settings.region;
        let (instance, entry) = state.entries.iter().find(|(_, entry)| entry.region == *region)?;
        (*instance != self.core.instance).then_some(entry.address)
    }

    /// Reads a page from the reader; `None` if it does not have the requested batches. The link is
    /// kept for the next read only after a response, so a failed one is not reused.
    async fn read_from_reader(
        &self,
        address: SocketAddr,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<Option<LogPage>, LinkError> {
        let mut reader = self.reader.lock().await;
        let mut link = match reader.take() {
            Some(cached) if cached.address == address => cached.link,
            Some(_) | None => self.core.dialer.open(address, LinkKind::Peer).await?,
        };
        let wait_ms = wait_ms.min(MAX_READER_WAIT_MS);
        link.sender.send(&PeerRequest::ReadLog { from, limit, wait_ms }).await?;
        let timeout = Duration::from_millis(wait_ms.into()) + READER_RESPONSE_MARGIN;
        let response = tokio::time::timeout(timeout, link.receiver.receive()).await;
        let response = response.map_err(|_| LinkError::TimedOut)??;
        *reader = Some(ReaderLink { address, link });
        Ok(match response {
            PeerResponse::Log { oldest, next, entries } => {
                Some(LogPage { oldest, next, first: from, entries, ..LogPage::default() })
            }
            _ => None,
        })
    }
}

#[async_trait]
impl LogStore for RegionLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        self.store.append(stream, body).await
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        let address = self.reader_address().filter(|_| stream == LogStream::Records);
        let Some(address) = address else {
            return self.store.read(stream, from, limit, wait_ms).await;
        };
        if Instant::now() >= *self.reader_backoff_until.lock().await {
            match self.read_from_reader(address, from, limit, wait_ms).await {
                Err(error) => log::info!("reader at {address} failed, reading directly: {error}"),
                Ok(Some(page)) => return Ok(page),
                Ok(None) => log::debug!("reader at {address} has no batch {from}"),
            }
            *self.reader_backoff_until.lock().await = Instant::now() + READER_BACKOFF;
        }
        let wait_ms = wait_ms.min(MAX_READER_WAIT_MS);
        self.store.read(stream, from, limit, wait_ms).await
    }
}
