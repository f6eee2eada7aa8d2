//! A budget of retries: a tenth of the first tries, so that retries never multiply a load under
//! which something is failing.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Tenths of a retry that a first try earns.
const EARNED_TENTHS: u32 = 1;
/// Tenths of a retry that a retry costs.
const COST_TENTHS: u32 = 10;
/// Most tenths kept: a burst of ten retries.
const MAX_TENTHS: u32 = 100;
/// Tenths at the start, so that the first failures are retried.
const FIRST_TENTHS: u32 = 30;

/// A budget of retries.
#[derive(Debug)]
pub struct RetryBudget {
    tenths: AtomicU32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tenths: AtomicU32::new(FIRST_TENTHS) }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn deposit(&self) {
        let add = |tenths: u32| Some((tenths + EARNED_TENTHS).min(MAX_TENTHS));
        let _ = self.tenths.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Takes a retry, if there is one left.
    pub fn try_withdraw(&self) -> bool {
        let take = |tenths: u32| tenths.checked_sub(COST_TENTHS);
        self.tenths.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }
}
