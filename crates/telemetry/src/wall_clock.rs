//! Wall clock time.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Time since the Unix epoch, in ms. A clock set before the epoch gives 0.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
