//! Requests between entries: serves those of peers and sends this entry's own.

use std::net::SocketAddr;
use std::time::Duration;

use cuminbarrow_ledger::codec;
use cuminbarrow_ledger::log_tail::BatchObserver;
use cuminbarrow_ledger::state::State;
use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::message::PeerRequest;
use cuminbarrow_protocol::message::PeerResponse;

use crate::entry_core::SharedCore;
use crate::entry_core::lock;

/// Timeout for a request to a peer, and maximum time that a peer's log read blocks here.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves the link of another entry until it closes.
pub(crate) async fn serve(core: SharedCore, mut link: Link<PeerResponse, PeerRequest>) {
    while let Ok(request) = link.receiver.receive().await {
        let response = match request {
            PeerRequest::FetchProgress => PeerResponse::Progress { progress: core.progress() },
            PeerRequest::FetchState => PeerResponse::State { body: state_bytes(&core) },
            PeerRequest::Ping => PeerResponse::Pong,
            PeerRequest::ReadLog { from, limit, wait_ms } => {
                read_log(&core, from, limit, wait_ms).await
            }
        };
        if link.sender.send(&response).await.is_err() {
            return;
        }
    }
}

/// Returns cached log batches to another entry of the region; waits up to `wait_ms` for the first.
async fn read_log(core: &SharedCore, from: u64, limit: u32, wait_ms: u32) -> PeerResponse {
    let wait = Duration::from_millis(wait_ms.into()).min(PEER_TIMEOUT);
    let mut offsets = core.tail.offsets();
    let _ = tokio::time::timeout(wait, offsets.wait_for(|offset| *offset > from)).await;
    let next = core.tail.state().offset;
    let page = lock(&core.recent_batches).page(from, limit).filter(|_| core.tail.is_current());
    match page {
        Some(entries) if !entries.is_empty() || next <= from => {
            PeerResponse::Log { oldest: core.tail.oldest_offset(), next, entries }
        }
        None | Some(_) => PeerResponse::LogUnavailable,
    }
}

/// Encodes the state for a peer; empty if this entry has none yet.
fn state_bytes(core: &SharedCore) -> Vec<u8> {
    let state = core.tail.state();
    if state.offset == 0 {
        return Vec::new();
    }
    codec::encode(&*state).unwrap_or_default()
}

/// Sends one request to another entry and returns its response.
pub(crate) async fn call_peer(
    dialer: &LinkDialer,
    address: SocketAddr,
    request: PeerRequest,
) -> Result<PeerResponse, LinkError> {
    let call = async {
        let mut link: Link<PeerRequest, PeerResponse> =
            dialer.open(address, LinkKind::Peer).await?;
        link.sender.send(&request).await?;
        link.receiver.receive().await
    };
    tokio::time::timeout(PEER_TIMEOUT, call).await.map_err(|_| LinkError::TimedOut)?
}

/// Loads the state from the first peer that provides one, for use while the log is unavailable. The
/// state contains its offset, so following the log later resumes there without skipping a batch.
pub(crate) async fn load_peer_state(core: &SharedCore) {
    for &address in &core.settings.peers {
        let Ok(PeerResponse::State { body }) =
            call_peer(&core.dialer, address, PeerRequest::FetchState).await
        else {
            continue;
        };
        match codec::decode::<State>(&body) {
            Err(error) => log::warn!("peer {address} sent no usable state: {error}"),
            Ok(state) => {
                log::info!("loaded the state of peer {address} at offset {}", state.offset);
                core.tail.replace(state);
                core.state_replaced(&core.tail.state());
                return;
            }
        }
    }
}
