//! Counts refused requests and closed connections by reason.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Reason for a refusal or a closed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The body budget was exhausted.
    NoMemory,
    /// A body was aborted for others, or was below the minimum rate.
    SlowBody,
    /// A body did not end within its time limit.
    BodyTimeout,
    /// A body was too large.
    TooLarge,
    /// A connection was closed for a new one.
    Connections,
    /// A client did not read its answer.
    SlowReader,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::NoMemory,
        Self::SlowBody,
        Self::BodyTimeout,
        Self::TooLarge,
        Self::Connections,
        Self::SlowReader,
    ];

    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoMemory => "no_memory",
            Self::SlowBody => "slow_body",
            Self::BodyTimeout => "body_timeout",
            Self::TooLarge => "too_large",
            Self::Connections => "connections",
            Self::SlowReader => "slow_reader",
        }
    }
}

/// Counters by reason since the start of the process.
#[derive(Debug, Default)]
pub struct RequestCounters {
    counts: [AtomicU64; RefusalReason::ALL.len()],
}

impl RequestCounters {
    /// Counts one refusal.
    pub fn add(&self, reason: RefusalReason) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Refusals for a reason.
    pub fn count(&self, reason: RefusalReason) -> u64 {
        self.counts[reason as usize].load(Ordering::Relaxed)
    }

    /// All counts, in the order of [`RefusalReason::ALL`].
    pub fn counts(&self) -> [u64; RefusalReason::ALL.len()] {
        RefusalReason::ALL.map(|reason| self.count(reason))
    }
}
