//! Client side of relayed calls: sends them to an entry, and backs off from entries that fail.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::relay_message::RelayRequest;
use cuminbarrow_protocol::relay_message::RelayResponse;
use tokio::time::Instant;

/// Time allowed for an entry's answer beyond the requested wait; it covers the entry's own call to
/// the log.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which an entry is skipped after a failure; doubled with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which an entry is skipped after it refused a call, for example because it is behind.
const REFUSED_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum time for which an entry is skipped after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// Timeout for opening a link. A round trip between regions and the handshake take about 50 ms.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which a call tries no further entries. While no entry can serve, the calls of all
/// processes would otherwise keep all entries busy with refusals; the next call goes on with the
/// entries that this one did not reach.
const SWEEP_TIMEOUT: Duration = Duration::from_millis(400);

type RelayLink = Link<RelayRequest, RelayResponse>;

/// Backoff of entries that failed recently, shared by all callers of a process.
#[derive(Default)]
pub(crate) struct EntryBackoffs {
    by_address: Mutex<BTreeMap<SocketAddr, Backoff>>,
}

#[derive(Clone, Copy)]
struct Backoff {
    until: Instant,
    length: Duration,
}

impl EntryBackoffs {
    fn is_backing_off(&self, address: SocketAddr) -> bool {
        self.lock().get(&address).is_some_and(|backoff| Instant::now() < backoff.until)
    }

    fn back_off(&self, address: SocketAddr) {
        let mut by_address = self.lock();
        let last = by_address.get(&address).map(|backoff| backoff.length);
        let length = last.map_or(INITIAL_BACKOFF, |last| (last * 2).min(MAX_BACKOFF));
        by_address.insert(address, Backoff { until: Instant::now() + length, length });
    }

    /// Backs off only briefly, because an entry that refuses a call may be able to serve it soon.
    fn back_off_briefly(&self, address: SocketAddr) {
        let until = Instant::now() + REFUSED_BACKOFF;
        self.lock().insert(address, Backoff { until, length: REFUSED_BACKOFF });
    }

    fn reset(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Backoff>> {
        self.by_address.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends one call at a time to the first entry that answers.
pub(crate) struct RelayCaller {
    dialer: LinkDialer,
    backoffs: Arc<EntryBackoffs>,
    state: tokio::sync::Mutex<CallerState>,
}

#[derive(Default)]
struct CallerState {
    open: Option<(SocketAddr, RelayLink)>,
    /// The entry with which the next call begins, because the last one ran out of time before it;
    /// `None` to begin with the first.
    resume_at: Option<SocketAddr>,
}

impl CallerState {
    /// The addresses in the order in which to try them.
    fn order(&mut self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut ordered = addresses.to_vec();
        let resume_at = self.resume_at.take();
        if let Some(start) = ordered.iter().position(|address| Some(*address) == resume_at) {
            ordered.rotate_left(start);
        }
        ordered
    }
}

impl RelayCaller {
    pub(crate) fn new(dialer: LinkDialer, backoffs: Arc<EntryBackoffs>) -> Self {
        Self { dialer, backoffs, state: tokio::sync::Mutex::default() }
    }

    /// Calls `addresses` in order until one answers; `None` if none does in time. `is_retryable` says
    /// whether the call may be sent to another entry after it was sent to one that did not answer.
    pub(crate) async fn call(
        &self,
        addresses: &[SocketAddr],
        request: &RelayRequest,
        wait: Duration,
        is_retryable: bool,
    ) -> Option<RelayResponse> {
        if addresses.is_empty() {
            return None;
        }
        let mut state = self.state.lock().await;
        let began = Instant::now();
        for address in &state.order(addresses) {
            if self.backoffs.is_backing_off(*address) {
                continue;
            }
            if began.elapsed() >= SWEEP_TIMEOUT {
                state.resume_at = Some(*address);
                return None;
            }
            let result = self.call_one(&mut state.open, *address, request, wait).await;
            match result {
                // Another entry may be able to serve the call.
                Ok(RelayResponse::Refused { reason }) => {
                    log::debug!(address:% = address; "skipping a relaying entry that refused a call: {reason}");
                    self.backoffs.back_off_briefly(*address);
                }
                Ok(response) => {
                    self.backoffs.reset(*address);
                    return Some(response);
                }
                Err((is_sent, error)) => {
                    log::info!(address:% = address; "skipping a relaying entry that failed: {error}");
                    self.backoffs.back_off(*address);
                    if is_sent && !is_retryable {
                        return Some(RelayResponse::Uncertain { reason: error.to_string() });
                    }
                }
            }
        }
        None
    }

    async fn call_one(
        &self,
        open: &mut Option<(SocketAddr, RelayLink)>,
        address: SocketAddr,
        request: &RelayRequest,
        wait: Duration,
    ) -> Result<RelayResponse, (bool, LinkError)> {
        let mut link = match open.take() {
            Some((known, link)) if known == address => link,
            Some(_) | None => {
                let dial = self.dialer.open(address, LinkKind::Relay);
                let dial = tokio::time::timeout(DIAL_TIMEOUT, dial).await;
                dial.map_err(|_| (false, LinkError::TimedOut))?.map_err(|error| (false, error))?
            }
        };
        let exchange = async {
            link.sender.send(request).await?;
            link.receiver.receive().await
        };
        let answer = tokio::time::timeout(wait + ANSWER_TIMEOUT, exchange).await;
        let answer = answer.map_err(|_| (true, LinkError::TimedOut))?;
        let response = answer.map_err(|error| (true, error))?;
        *open = Some((address, link));
        Ok(response)
    }
}
