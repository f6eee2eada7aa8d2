//! Clocks. Leases and the age of what is believed are judged on the boot-time clock, which goes on
//! while an instance is suspended; timers are not.

use std::time::Duration;

use nix::time::ClockId;

/// A clock that goes on while the instance is suspended.
pub trait BootClock: Send + Sync {
    /// Time since some moment before the process began, in ms.
    fn now_ms(&self) -> u64;
}

/// The boot-time clock of the system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl BootClock for SystemClock {
    fn now_ms(&self) -> u64 {
        match ClockId::CLOCK_BOOTTIME.now() {
            Err(error) => {
                // Without the clock no lease may be extended: time that is over extends none.
                log::error!("the boot-time clock can't be read: {error}");
                u64::MAX
            }
            Ok(time) => u64::try_from(Duration::from(time).as_millis()).unwrap_or(u64::MAX),
        }
    }
}
