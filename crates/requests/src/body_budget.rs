//! Byte budget for request bodies, shared by all listeners of a process.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::body_ledger::BodyId;
use crate::body_ledger::BodyLedger;
use crate::body_ledger::BudgetExhausted;
use crate::request_limits::RequestLimits;

/// Shared budget.
pub struct BodyBudget {
    inner: Mutex<BudgetState>,
    started: Instant,
}

struct BudgetState {
    ledger: BodyLedger,
    /// Tasks that read or send a body, told when it is aborted.
    readers: BTreeMap<BodyId, Arc<Notify>>,
}

impl BudgetState {
    fn notify(&mut self, aborted: &[BodyId]) {
        for reader in aborted.iter().filter_map(|id| self.readers.remove(id)) {
            reader.notify_one();
        }
    }
}

impl BodyBudget {
    /// A budget of which nothing is reserved.
    pub fn new(limits: RequestLimits) -> Arc<Self> {
        let ledger = BodyLedger::new(limits);
        let inner = Mutex::new(BudgetState { ledger, readers: BTreeMap::new() });
        Arc::new(Self { inner, started: Instant::now() })
    }

    /// Reserves bytes for a body.
    ///
    /// # Errors
    /// [`BudgetExhausted`].
    pub fn reserve(self: &Arc<Self>, bytes: u64) -> Result<BodyReservation, BudgetExhausted> {
        self.reserve_until(bytes, Arc::new(Notify::new()))
    }

    /// Reserves bytes for a body. `abort` is notified when it is aborted.
    ///
    /// # Errors
    /// [`BudgetExhausted`].
    pub(crate) fn reserve_until(
        self: &Arc<Self>,
        bytes: u64,
        abort: Arc<Notify>,
    ) -> Result<BodyReservation, BudgetExhausted> {
        let mut state = self.lock();
        let (id, aborted) = state.ledger.open(self.now_ms(), bytes)?;
        state.notify(&aborted);
        state.readers.insert(id, Arc::clone(&abort));
        Ok(BodyReservation { budget: Arc::clone(self), id, abort })
    }

    /// Bytes reserved now.
    pub fn held_bytes(&self) -> u64 {
        self.lock().ledger.held_bytes()
    }

    /// Aborts bodies below the minimum rate while the budget is short.
    pub fn abort_slow(&self) {
        let mut state = self.lock();
        let aborted = state.ledger.abort_slow(self.now_ms());
        state.notify(&aborted);
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Bytes reserved for one request; released when dropped.
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    id: BodyId,
    abort: Arc<Notify>,
}

impl BodyReservation {
    /// Changes the number of reserved bytes.
    ///
    /// # Errors
    /// [`BudgetExhausted`].
    pub fn resize(&self, bytes: u64) -> Result<(), BudgetExhausted> {
        let mut state = self.budget.lock();
        let aborted = state.ledger.resize(self.budget.now_ms(), self.id, bytes)?;
        state.notify(&aborted);
        Ok(())
    }

    /// Counts bytes that arrived.
    pub(crate) fn record(&self, bytes: u64) {
        self.budget.lock().ledger.record(self.budget.now_ms(), self.id, bytes);
    }

    /// Protects the body from being aborted, since it has arrived. Returns false if it has been.
    pub(crate) fn complete(&self) -> bool {
        self.budget.lock().ledger.complete(self.id)
    }

    /// Completes when the body is aborted for others.
    pub(crate) async fn aborted(&self) {
        self.abort.notified().await;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.ledger.close(self.id);
        state.readers.remove(&self.id);
    }
}
