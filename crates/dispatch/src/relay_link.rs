//! Calls to an entry that passes them on to the log.

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

/// Time that an entry has for a call beyond the wait asked for: its own call to the log.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which an entry that failed is passed over; doubled with each failure in a row.
const PAUSE: Duration = Duration::from_secs(1);
/// Time for which an entry that is behind is passed over.
const BRIEF_PAUSE: Duration = Duration::from_millis(300);
/// Longest such time after failures.
const MAX_PAUSE: Duration = Duration::from_secs(16);

/// Longest time to open a link: a round trip between regions and the handshake take some 50 ms.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);

type RelayLink = Link<RelayRequest, RelayResponse>;

/// Entries that failed lately, shared by all callers of a process.
#[derive(Default)]
pub(crate) struct PauseTable {
    paused: Mutex<BTreeMap<SocketAddr, Pause>>,
}

#[derive(Clone, Copy)]
struct Pause {
    until: Instant,
    length: Duration,
}

impl PauseTable {
    fn is_paused(&self, address: SocketAddr) -> bool {
        self.lock().get(&address).is_some_and(|pause| Instant::now() < pause.until)
    }

    fn pause(&self, address: SocketAddr) {
        let mut paused = self.lock();
        let last = paused.get(&address).map(|pause| pause.length);
        let length = last.map_or(PAUSE, |last| (last * 2).min(MAX_PAUSE));
        paused.insert(address, Pause { until: Instant::now() + length, length });
    }

    /// An entry that answers, but not with what is asked for, may do so soon.
    fn pause_briefly(&self, address: SocketAddr) {
        let until = Instant::now() + BRIEF_PAUSE;
        self.lock().insert(address, Pause { until, length: BRIEF_PAUSE });
    }

    fn resume(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Pause>> {
        self.paused.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One call at a time, to the first of some entries that answers.
pub(crate) struct RelayCaller {
    dialer: LinkDialer,
    pauses: Arc<PauseTable>,
    open: tokio::sync::Mutex<Option<(SocketAddr, RelayLink)>>,
}

impl RelayCaller {
    pub(crate) fn new(dialer: LinkDialer, pauses: Arc<PauseTable>) -> Self {
        Self { dialer, pauses, open: tokio::sync::Mutex::default() }
    }

    /// Calls the first of `addresses` that answers; nothing where none does. `is_repeatable` tells
    /// whether the call may go to a second entry after a first did not answer.
    pub(crate) async fn call(
        &self,
        addresses: &[SocketAddr],
        request: &RelayRequest,
        wait: Duration,
        is_repeatable: bool,
    ) -> Option<RelayResponse> {
        if addresses.is_empty() {
            return None;
        }
        let mut open = self.open.lock().await;
        for address in addresses {
            if self.pauses.is_paused(*address) {
                continue;
            }
            let result = self.call_one(&mut open, *address, request, wait).await;
            match result {
                // What this entry can't do another may.
                Ok(RelayResponse::Refused { reason }) => {
                    log::debug!(address:% = address; "a relaying entry is passed over: {reason}");
                    self.pauses.pause_briefly(*address);
                }
                Ok(response) => {
                    self.pauses.resume(*address);
                    return Some(response);
                }
                Err((is_sent, error)) => {
                    log::info!(address:% = address; "a relaying entry is passed over: {error}");
                    self.pauses.pause(*address);
                    if is_sent && !is_repeatable {
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
