//! A retry budget that limits retries to a tenth of the initial calls, so that retries do not
//! multiply the load on a service that is failing under load.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Deposit of an initial call, in tenths of a retry.
const DEPOSIT_TENTHS: u32 = 1;
/// Cost of a retry, in tenths of a retry.
const RETRY_COST_TENTHS: u32 = 10;
/// Upper limit of the balance, in tenths of a retry: a burst of ten retries.
const MAX_BALANCE_TENTHS: u32 = 100;
/// Initial balance, in tenths of a retry, so that the first failures can be retried.
const INITIAL_BALANCE_TENTHS: u32 = 30;

/// A retry budget, safe to share between threads.
#[derive(Debug)]
pub struct RetryBudget {
    balance_tenths: AtomicU32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_tenths: AtomicU32::new(INITIAL_BALANCE_TENTHS) }
    }
}

impl RetryBudget {
    /// Credits an initial call.
    pub fn deposit(&self) {
        let add = |tenths: u32| Some((tenths + DEPOSIT_TENTHS).min(MAX_BALANCE_TENTHS));
        let _ = self.balance_tenths.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Pays for one retry. Returns false, at no cost, when the balance does not cover it.
    pub fn try_withdraw(&self) -> bool {
        let take = |tenths: u32| tenths.checked_sub(RETRY_COST_TENTHS);
        self.balance_tenths.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }
}
