//! Links that a process accepts, and what peers without the shared key may make it hold.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminbarrow_requests::connection_table::ConnectionTable;
use cuminbarrow_requests::request_counters::RefusalReason;
use cuminbarrow_requests::request_counters::RequestCounters;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::byte_counter::ByteCounter;
use crate::link_limits::LinkLimits;

/// Maximum number of incoming links that have proved possession of the key.
const MAX_LINKS: usize = 4_096;
/// Minimum interval between log lines on refused links.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Reason for which an incoming connection was closed before the proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkRefusal {
    /// It gave way to a new one.
    Connections,
    /// It sent too many bytes.
    Bytes,
    /// The proof did not come in time.
    Timeout,
    /// The key was missing or wrong, or the path unknown.
    Key,
    /// There are as many links as the process accepts.
    Links,
}

impl LinkRefusal {
    const ALL: [Self; 5] = [Self::Connections, Self::Bytes, Self::Timeout, Self::Key, Self::Links];

    fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bytes => "bytes",
            Self::Timeout => "timeout",
            Self::Key => "key",
            Self::Links => "links",
        }
    }
}

/// Limits of a process's incoming links, and what was refused.
pub struct LinkGuard {
    pub(crate) limits: LinkLimits,
    pub(crate) bytes: Arc<ByteCounter>,
    /// Connections before the proof.
    pub(crate) unproved: Arc<ConnectionTable>,
    /// Links after the proof.
    pub(crate) links: Arc<Semaphore>,
    /// Counts the connections that gave way to a new one.
    closed: Arc<RequestCounters>,
    refused: [AtomicU64; LinkRefusal::ALL.len()],
    logged_at: Mutex<Option<Instant>>,
}

impl Default for LinkGuard {
    fn default() -> Self {
        Self::new(LinkLimits::default(), Arc::default())
    }
}

impl LinkGuard {
    /// Limits of a process without links, whose bytes are counted in `bytes`.
    pub fn new(limits: LinkLimits, bytes: Arc<ByteCounter>) -> Self {
        let closed = Arc::new(RequestCounters::default());
        // No rate protects a connection from giving way: a proof is a single header.
        let min_rate = u64::MAX;
        let unproved =
            ConnectionTable::new("links", limits.unproved, min_rate, Arc::clone(&closed));
        Self {
            limits,
            bytes,
            unproved,
            links: Arc::new(Semaphore::new(MAX_LINKS)),
            closed,
            refused: Default::default(),
            logged_at: Mutex::default(),
        }
    }

    /// Number of connections that have not proved possession of the key.
    pub fn unproved(&self) -> u64 {
        self.unproved.len() as u64
    }

    /// Connections refused since the start of the process, by reason.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        LinkRefusal::ALL.iter().map(|reason| (reason.name(), self.count(*reason))).collect()
    }

    fn count(&self, reason: LinkRefusal) -> u64 {
        match reason {
            LinkRefusal::Connections => self.closed.count(RefusalReason::Connections),
            _ => self.refused[reason as usize].load(Ordering::Relaxed),
        }
    }

    /// Counts a refusal. Logs all counts, at most once in [`LOG_INTERVAL`].
    pub(crate) fn refuse(&self, reason: LinkRefusal) {
        self.refused[reason as usize].fetch_add(1, Ordering::Relaxed);
        let mut logged_at = self.logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        if logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        *logged_at = Some(Instant::now());
        log::warn!(
            connections = self.count(LinkRefusal::Connections),
            bytes = self.count(LinkRefusal::Bytes),
            timeout = self.count(LinkRefusal::Timeout),
            key = self.count(LinkRefusal::Key),
            links = self.count(LinkRefusal::Links);
            "links are refused; counts since the start"
        );
    }
}
