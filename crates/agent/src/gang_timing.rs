//! Timeouts and intervals of the gang protocol.

use serde::Deserialize;
use serde::Serialize;

/// Timeouts and intervals of the gang protocol, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangTiming {
    /// Duration of the lease of a gang and of its tasks.
    pub lease_ms: u64,
    /// Interval between renewal rounds.
    pub renew_ms: u64,
    /// Delay after which an unacknowledged message is sent again.
    pub resend_ms: u64,
    /// Time within which all members must become ready.
    pub hold_ms: u64,
    /// Time that tasks have to checkpoint and stop, after which they are stopped without a
    /// checkpoint.
    pub stop_grace_ms: u64,
}

impl Default for GangTiming {
    fn default() -> Self {
        Self {
            lease_ms: 15_000,
            renew_ms: 5_000,
            resend_ms: 1_000,
            hold_ms: 30_000,
            stop_grace_ms: 5_000,
        }
    }
}
