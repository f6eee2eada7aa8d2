//! Arithmetic of worker leases.
//!
//! An agent may extend the leases of its worker's runs only after a confirmed read of the log that
//! shows no suspicion of the worker. The lease then ends at most one lease duration after that read
//! was confirmed, no matter when the extension is sent. A process that suspects a worker waits one
//! lease duration after the suspicion is in the log; no lease outlives that wait.
//!
//! Two clocks are involved: the agent's boot-time clock, which continues while the instance is
//! suspended, and the worker's own clock, which lease deadlines refer to.

/// Maximum rate by which the worker's clock may run slow, in thousandths. The workers' interface
/// specifies 2 %.
const MAX_CLOCK_DRIFT_PERMILLE: u64 = 20;

/// Added to the end of a lease before its runs are considered gone, in ms. It covers rounding to
/// whole ms and the interval at which the worker checks its leases.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 300;

/// One reading of the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSample {
    /// Time on the worker's clock, in ms.
    pub worker_ms: u64,
    /// Time on the agent's boot-time clock at which the reading arrived, in ms.
    pub at_ms: u64,
}

/// Duration of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Maximum time from a confirmed read to the end of a lease that is based on it, in ms.
    pub duration_ms: u64,
}

impl LeaseTerms {
    /// Deadline, on the worker's clock in ms, of a lease that is based on a read confirmed at
    /// `confirmed_ms` on the agent's boot-time clock. `None` if that time has passed.
    pub fn deadline_ms(&self, sample: ClockSample, confirmed_ms: u64) -> Option<u64> {
        let ends_ms = confirmed_ms.saturating_add(self.duration_ms);
        let remaining_ms =
            ends_ms.checked_sub(sample.at_ms).filter(|remaining_ms| *remaining_ms > 0)?;
        // A slow clock shows less time than has passed, so the lease is shortened accordingly.
        Some(sample.worker_ms + remaining_ms * (1_000 - MAX_CLOCK_DRIFT_PERMILLE) / 1_000)
    }

    /// Latest end of a lease that an order carried out at `at_ms` can grant, on the same clock. The
    /// deadline in the order is no bound if another incarnation of the worker carried it out,
    /// because that incarnation's clock started over.
    pub fn latest_expiry_ms(&self, at_ms: u64) -> u64 {
        let duration_ms = (self.duration_ms * 1_000).div_ceil(1_000 - MAX_CLOCK_DRIFT_PERMILLE);
        at_ms.saturating_add(duration_ms)
    }

    /// Whether every lease that is based on a read confirmed before `since_ms` has ended at
    /// `now_ms`. Both times are on the same boot-time clock.
    pub fn has_lapsed(&self, since_ms: u64, now_ms: u64) -> bool {
        now_ms >= since_ms.saturating_add(self.duration_ms)
    }
}
