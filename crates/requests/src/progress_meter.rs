//! Recent rate at which a request arrives.
//!
//! A body that stops a byte short has arrived quickly until then, so its average says nothing about
//! whether it will end. Only the bytes of the last two windows count.

/// Length of a window, in ms. A sender that pauses for two of them counts as stalled.
pub const WINDOW_MS: u64 = 250;

/// Counts bytes in the current and the previous window.
#[derive(Clone, Copy, Debug)]
pub struct ProgressMeter {
    began_ms: u64,
    window_start_ms: u64,
    current: u64,
    previous: u64,
}

impl ProgressMeter {
    /// Meter of something that begins at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self { began_ms: now_ms, window_start_ms: now_ms, current: 0, previous: 0 }
    }

    /// Counts bytes that arrived.
    pub fn add(&mut self, now_ms: u64, bytes: u64) {
        self.roll(now_ms);
        self.current += bytes;
    }

    /// Time since the beginning, in ms.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.began_ms)
    }

    /// Recent rate, in bytes a second.
    pub fn rate(&self, now_ms: u64) -> u64 {
        let mut meter = *self;
        meter.roll(now_ms);
        let from_ms = meter.window_start_ms.saturating_sub(WINDOW_MS).max(meter.began_ms);
        let covered_ms = now_ms.saturating_sub(from_ms).max(1);
        (meter.current + meter.previous).saturating_mul(1_000) / covered_ms
    }

    fn roll(&mut self, now_ms: u64) {
        let windows = now_ms.saturating_sub(self.window_start_ms) / WINDOW_MS;
        if windows == 0 {
            return;
        }
        self.previous = if windows == 1 { self.current } else { 0 };
        self.current = 0;
        self.window_start_ms += windows * WINDOW_MS;
    }
}
