//! Calls to an entry that passes them on to the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkError;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::relay_message::RelayRequest;
use cuminbarrow_protocol::relay_message::RelayResponse;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// Time that an entry has for a call beyond the wait asked for: its own call to the log.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which an entry that failed is passed over; doubled with each failure in a row.
const PAUSE: Duration = Duration::from_secs(1);
/// Longest such time.
const MAX_PAUSE: Duration = Duration::from_secs(16);

type RelayLink = Link<RelayRequest, RelayResponse>;

#[derive(Default)]
struct Links {
    open: Option<(SocketAddr, RelayLink)>,
    paused: BTreeMap<SocketAddr, Pause>,
}

#[derive(Clone, Copy)]
struct Pause {
    until: Instant,
    length: Duration,
}

impl Links {
    fn is_paused(&self, address: SocketAddr) -> bool {
        self.paused.get(&address).is_some_and(|pause| Instant::now() < pause.until)
    }

    fn pause(&mut self, address: SocketAddr) {
        let last = self.paused.get(&address).map(|pause| pause.length);
        let length = last.map_or(PAUSE, |last| (last * 2).min(MAX_PAUSE));
        self.paused.insert(address, Pause { until: Instant::now() + length, length });
    }
}

/// One call at a time, to the first of some entries that answers.
pub(crate) struct RelayCaller {
    dialer: LinkDialer,
    links: Mutex<Links>,
}

impl RelayCaller {
    pub(crate) fn new(dialer: LinkDialer) -> Self {
        Self { dialer, links: Mutex::default() }
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
        let mut links = self.links.lock().await;
        for address in addresses {
            if links.is_paused(*address) {
                continue;
            }
            let result = self.call_one(&mut links, *address, request, wait).await;
            match result {
                // What this entry can't do another may.
                Ok(RelayResponse::Refused { reason }) => {
                    log::info!(address:% = address; "a relaying entry is passed over: {reason}");
                    links.pause(*address);
                }
                Ok(response) => {
                    links.paused.remove(address);
                    return Some(response);
                }
                Err((is_sent, error)) => {
                    log::info!(address:% = address; "a relaying entry is passed over: {error}");
                    links.pause(*address);
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
        links: &mut Links,
        address: SocketAddr,
        request: &RelayRequest,
        wait: Duration,
    ) -> Result<RelayResponse, (bool, LinkError)> {
        let mut link = match links.open.take() {
            Some((known, link)) if known == address => link,
            Some(_) | None => {
                let open = self.dialer.open(address, LinkKind::Relay);
                let open = tokio::time::timeout(ANSWER_TIMEOUT, open).await;
                open.map_err(|_| (false, LinkError::TimedOut))?.map_err(|error| (false, error))?
            }
        };
        let exchange = async {
            link.sender.send(request).await?;
            link.receiver.receive().await
        };
        let answer = tokio::time::timeout(wait + ANSWER_TIMEOUT, exchange).await;
        let answer = answer.map_err(|_| (true, LinkError::TimedOut))?;
        let response = answer.map_err(|error| (true, error))?;
        links.open = Some((address, link));
        Ok(response)
    }
}
