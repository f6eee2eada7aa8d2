//! The boot-time clock, which also advances while an instance is suspended. Leases and the age of
//! replicated state are measured on it; timers use the ordinary monotonic clock.

use std::time::Duration;

use nix::time::ClockId;

/// A monotonic clock that also advances while the instance is suspended.
pub trait BootClock: Send + Sync {
    /// Time since a fixed moment before the process started, in ms.
    fn now_ms(&self) -> u64;
}

/// The boot-time clock of the system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl BootClock for SystemClock {
    fn now_ms(&self) -> u64 {
        match ClockId::CLOCK_BOOTTIME.now() {
            Err(error) => {
                // Without the clock no lease may be extended. The latest possible time makes every
                // lease count as expired.
                log::error!("the boot-time clock can't be read: {error}");
                u64::MAX
            }
            Ok(time) => u64::try_from(Duration::from(time).as_millis()).unwrap_or(u64::MAX),
        }
    }
}
