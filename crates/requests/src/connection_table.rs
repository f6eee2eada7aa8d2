//! Connections of one listener.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection_choice::ConnectionPhase;
use crate::connection_choice::ConnectionProgress;
use crate::connection_choice::connection_to_close;
use crate::request_counters::RefusalReason;
use crate::request_counters::RequestCounters;

/// Delay after which a full table is looked at again for a connection that may be closed.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections of one listener, of which there are at most a fixed number.
pub struct ConnectionTable {
    /// Name of the listener in metrics.
    pub name: &'static str,
    limit: usize,
    min_rate: u64,
    slots: Mutex<BTreeMap<u64, Arc<ConnectionSlot>>>,
    next_id: AtomicU64,
    released: Notify,
    /// Tells the request that has waited longest that a new connection waits.
    slot_wanted: Notify,
    /// Whether a new connection waits although none may be closed.
    is_slot_wanted: AtomicBool,
    counters: Arc<RequestCounters>,
    started: Instant,
}

impl ConnectionTable {
    /// An empty table.
    pub fn new(
        name: &'static str,
        limit: usize,
        min_rate: u64,
        counters: Arc<RequestCounters>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name,
            limit,
            min_rate,
            slots: Mutex::default(),
            next_id: AtomicU64::new(0),
            released: Notify::new(),
            slot_wanted: Notify::new(),
            is_slot_wanted: AtomicBool::new(false),
            counters,
            started: Instant::now(),
        })
    }

    /// Adds a connection. If the table is full, closes the longest idle or least progressed one, or
    /// waits until there is one that may be closed or has answered its request.
    pub async fn admit(self: &Arc<Self>) -> ConnectionGuard {
        loop {
            if let Some(guard) = self.try_admit() {
                return guard;
            }
            self.is_slot_wanted.store(true, Ordering::Relaxed);
            self.slot_wanted.notify_one();
            let _ = tokio::time::timeout(FULL_RETRY_DELAY, self.released.notified()).await;
        }
    }

    /// Whether the connection that answers now is to end with its answer, since a new one waits. Clients
    /// that send one request after another would otherwise keep the table full for good.
    pub fn take_slot_request(&self) -> bool {
        self.is_slot_wanted.swap(false, Ordering::Relaxed)
    }

    /// Completes when a request that only waits is to be answered, since the table is full. The one that
    /// has waited longest is told first.
    pub async fn slot_wanted(&self) {
        self.slot_wanted.notified().await;
    }

    fn try_admit(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let now_ms = self.now_ms();
        let mut slots = self.lock();
        if slots.len() >= self.limit {
            let connections = slots.iter().map(|(id, slot)| (*id, *slot.lock()));
            let id = connection_to_close(now_ms, self.min_rate, connections)?;
            if let Some(slot) = slots.remove(&id) {
                slot.close();
                self.counters.add(RefusalReason::Connections);
            }
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let slot = Arc::new(ConnectionSlot {
            progress: Mutex::new(ConnectionProgress::new(now_ms)),
            closing: Arc::new(Notify::new()),
            started: self.started,
        });
        slots.insert(id, Arc::clone(&slot));
        Some(ConnectionGuard { table: Arc::clone(self), id, slot })
    }

    /// Connections held now.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Waits until there are no connections.
    pub async fn emptied(&self) {
        while !self.is_empty() {
            let _ = tokio::time::timeout(FULL_RETRY_DELAY, self.released.notified()).await;
        }
    }

    /// Closes connections whose clients have read nothing for longer than `timeout_ms`.
    pub fn close_stalled(&self, timeout_ms: u64) {
        let now_ms = self.now_ms();
        self.lock().retain(|_, slot| {
            let is_stalled = slot.lock().is_write_stalled(now_ms, timeout_ms);
            if is_stalled {
                slot.close();
                self.counters.add(RefusalReason::SlowReader);
            }
            !is_stalled
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ConnectionSlot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        elapsed_ms(self.started)
    }
}

/// Progress of one connection, shared by its table, stream and handler.
pub struct ConnectionSlot {
    progress: Mutex<ConnectionProgress>,
    pub(crate) closing: Arc<Notify>,
    started: Instant,
}

impl ConnectionSlot {
    /// Notes the phase that the connection begins.
    pub fn enter(&self, phase: ConnectionPhase) {
        self.lock().enter(elapsed_ms(self.started), phase);
    }

    /// Counts received bytes.
    pub(crate) fn received(&self, bytes: usize) {
        self.lock().received(elapsed_ms(self.started), bytes as u64);
    }

    /// Notes whether the client took something of what is being sent.
    pub(crate) fn sent(&self, is_blocked: bool) {
        self.lock().sent(elapsed_ms(self.started), is_blocked);
    }

    /// Completes when the connection is to be closed.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    pub(crate) fn close(&self) {
        self.closing.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Entry of a connection in its table; removed when dropped.
pub struct ConnectionGuard {
    /// Table of the connection.
    pub table: Arc<ConnectionTable>,
    id: u64,
    /// Progress of the connection.
    pub slot: Arc<ConnectionSlot>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.lock().remove(&self.id);
        self.table.released.notify_one();
    }
}

fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
