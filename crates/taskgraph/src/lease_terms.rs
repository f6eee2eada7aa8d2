//! Arithmetic of leases.
//!
//! An agent may extend the lease of what its worker runs only on the strength of a read of the log
//! that showed no suspicion of the worker. The lease then ends at most one lease length after that
//! read was confirmed, whenever the extension itself is sent. Who suspects a worker waits for a
//! lease length after the suspicion stood in the log; no lease outlives that wait.
//!
//! Times are of two clocks: the agent's boot-time clock, which goes on while the instance is
//! suspended, and the worker's own clock, on which leases are stated.

/// Most by which the worker's clock may run slow, in thousandths. The workers' interface states
/// 2 %.
const MAX_CLOCK_DRIFT_PERMILLE: u64 = 20;

/// Added to the end of a lease before its runs are given up, in ms: rounding to whole ms, and the
/// worker's check of its leases.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 300;

/// What the worker's clock showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSample {
    /// The worker's clock, in ms.
    pub worker_ms: u64,
    /// When the answer that told it arrived, on the agent's boot-time clock, in ms.
    pub at_ms: u64,
}

/// How long leases last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Longest time from a confirmed read to the end of a lease that rests on it, in ms.
    pub duration_ms: u64,
}

impl LeaseTerms {
    /// End of a lease that rests on a read confirmed at `confirmed_ms` on the agent's boot-time
    /// clock, on the worker's clock in ms. Nothing when that time is over.
    pub fn deadline_ms(&self, sample: ClockSample, confirmed_ms: u64) -> Option<u64> {
        let ends_ms = confirmed_ms.saturating_add(self.duration_ms);
        let left_ms = ends_ms.checked_sub(sample.at_ms).filter(|left_ms| *left_ms > 0)?;
        // A slow clock shows less time than passes, so it is given less.
        Some(sample.worker_ms + left_ms * (1_000 - MAX_CLOCK_DRIFT_PERMILLE) / 1_000)
    }

    /// End of the longest lease that an order carried out at `at_ms` can give, on the same clock. The
    /// deadline does not bound it where another incarnation carried it out, whose clock began anew.
    pub fn latest_expiry_ms(&self, at_ms: u64) -> u64 {
        let lasts_ms = (self.duration_ms * 1_000).div_ceil(1_000 - MAX_CLOCK_DRIFT_PERMILLE);
        at_ms.saturating_add(lasts_ms)
    }

    /// Whether every lease that rests on a read confirmed before `since_ms` has ended at `now_ms`,
    /// both on one boot-time clock.
    pub fn has_lapsed(&self, since_ms: u64, now_ms: u64) -> bool {
        now_ms >= since_ms.saturating_add(self.duration_ms)
    }
}
