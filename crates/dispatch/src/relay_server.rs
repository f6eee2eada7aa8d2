//! Server side of relayed calls, run by entries.
//!
//! Reads are answered from the batches that this entry has read itself; a caller that needs older
//! ones loads a snapshot of this entry's state. All other calls are forwarded to the log.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminbarrow_ledger::snapshot;
use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::link::accept_links;
use cuminbarrow_protocol::link_guard::LinkGuard;
use cuminbarrow_protocol::relay_message::RelayRequest;
use cuminbarrow_protocol::relay_message::RelayResponse;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::caching_log::CachingLog;
use crate::direct_path::DirectPath;
use crate::membership::Membership;
use crate::peer_list::PeerList;
use crate::replica::Replica;

/// Maximum time that a read waits for a batch, in ms.
const MAX_WAIT_MS: u32 = 2_000;
/// Maximum age of this entry's last confirmed read at which it serves reads, in ms: two reads of the
/// entry that reads the log directly, the wait of one relayed read, and their answers.
const MAX_AGE_MS: u64 = 2_200;

/// Serves relayed calls.
#[derive(Clone)]
pub struct RelayServer {
    /// This entry's replica, whose batches answer reads.
    pub replica: Arc<Replica>,
    /// Peers of this entry, which show whether it reads through another entry.
    pub peers: Arc<PeerList>,
    /// Direct path to the log; calls are never relayed to another entry.
    pub direct: Arc<DirectPath>,
    /// Cache of the batches that this entry appended.
    pub caching_log: Arc<CachingLog>,
    /// Membership group that processes join through this entry.
    pub membership: Arc<dyn Membership>,
}

impl RelayServer {
    /// Accepts and serves links; never returns.
    pub async fn run(self, listener: TcpListener, key: SharedKey, guard: Arc<LinkGuard>) {
        accept_links(listener, key, guard, move |incoming| {
            if incoming.kind != LinkKind::Relay {
                log::warn!(
                    "refused a link of kind {:?}; only relay links are served here",
                    incoming.kind
                );
                return;
            }
            let server = self.clone();
            tokio::spawn(async move {
                let error = server.serve(incoming.into_link()).await;
                log::debug!("a relay link ended: {error}");
            });
        })
        .await;
    }

    async fn serve(&self, mut link: Link<RelayResponse, RelayRequest>) -> LinkError {
        loop {
            let request = match link.receiver.receive().await {
                Err(error) => return error,
                Ok(request) => request,
            };
            let response = self.answer(request).await;
            if let Err(error) = link.sender.send(&response).await {
                return error;
            }
        }
    }

    async fn answer(&self, request: RelayRequest) -> RelayResponse {
        match request {
            RelayRequest::Append { body } => match self.direct.append(Bytes::from(body)).await {
                Err(error) => failure_response(error),
                Ok(offset) => RelayResponse::Appended { offset },
            },
            RelayRequest::Join { incarnation } => match self.membership.join(incarnation).await {
                Err(error) => RelayResponse::Refused { reason: error.to_string() },
                Ok(()) => RelayResponse::Done,
            },
            RelayRequest::LoadSnapshot => self.own_snapshot(),
            RelayRequest::Read { is_from_entry: true, .. } if self.peers.is_reading_through() => {
                let reason = "this entry itself reads through another".to_owned();
                RelayResponse::Refused { reason }
            }
            RelayRequest::Read { from, wait_ms, .. } => self.read(from, wait_ms).await,
            RelayRequest::ReadAppended { from, oldest } => {
                match self.caching_log.page_from(from, oldest) {
                    None => RelayResponse::Expired { oldest },
                    Some(page) => to_records(page, Duration::ZERO),
                }
            }
            RelayRequest::SaveSnapshot { chunks, offset } => {
                let chunks = chunks.into_iter().map(Bytes::from).collect();
                match self.direct.log.save_snapshot(offset, chunks).await {
                    Err(error) => failure_response(error),
                    Ok(()) => RelayResponse::Done,
                }
            }
        }
    }

    /// Waits for a batch at or after `from`, then answers from the cached batches.
    async fn read(&self, from: u64, wait_ms: u32) -> RelayResponse {
        let began = Instant::now();
        let deadline = began + Duration::from_millis(u64::from(wait_ms.min(MAX_WAIT_MS)));
        let mut pages = self.replica.log.pages();
        loop {
            pages.mark_unchanged();
            // The wait is measured before the age is taken, because the age does not cover time that
            // passes after it. Otherwise a stall in between would make the answer look newer than it
            // is.
            let waited = began.elapsed();
            let is_over = Instant::now() >= deadline;
            match self.replica.log.recent_page(from) {
                // Batches that are no longer cached are covered by this entry's snapshot.
                None if self.replica.log.is_before_recent(from) => {
                    return RelayResponse::Expired {
                        oldest: self.replica.log.first_recent_offset(),
                    };
                }
                Some(page) if page.age_ms > MAX_AGE_MS => return behind_response(),
                Some(page) if is_over || !page.entries.is_empty() => {
                    return to_records(page, waited);
                }
                None if is_over => return behind_response(),
                _ => {}
            }
            let _ = tokio::time::timeout_at(deadline, pages.changed()).await;
        }
    }

    /// A snapshot of this entry's state.
    fn own_snapshot(&self) -> RelayResponse {
        if self.replica.log.age_ms().is_none_or(|age_ms| age_ms > MAX_AGE_MS) {
            return behind_response();
        }
        let state = self.replica.state().clone();
        match snapshot::encode_chunks(self.replica.incarnation, &state) {
            Err(error) => RelayResponse::Refused { reason: error.to_string() },
            Ok(chunks) => {
                let chunks = chunks.iter().map(|chunk| chunk.to_vec()).collect();
                RelayResponse::SnapshotChunks { chunks }
            }
        }
    }
}

fn behind_response() -> RelayResponse {
    RelayResponse::Refused { reason: "this entry is behind".to_owned() }
}

fn to_records(page: LogPage, waited: Duration) -> RelayResponse {
    RelayResponse::Records {
        oldest: page.oldest,
        next: page.next,
        entries: page.entries,
        waited_ms: u64::try_from(waited.as_millis()).unwrap_or(0),
        age_ms: page.age_ms,
    }
}

fn failure_response(error: LogError) -> RelayResponse {
    match error {
        LogError::Expired { oldest } => RelayResponse::Expired { oldest },
        LogError::Unavailable { reason } => RelayResponse::Refused { reason },
        LogError::Uncertain { reason } => RelayResponse::Uncertain { reason },
        LogError::Rejected { reason } => RelayResponse::Rejected { reason },
    }
}
