//! Decides which connection is closed when a listener has as many as it may hold.
//!
//! Load: clients open more connections than the limit and send nothing, or as little as keeps them
//! from timing out. The longest idle or least progressed connection gives way to a new one. One whose
//! request is being handled or arrives at the minimum rate never does.

use crate::progress_meter::ProgressMeter;

/// Age up to which a connection is not closed for another, in ms: its first bytes may still be on
/// their way.
pub const GRACE_MS: u64 = 250;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Waits for a request, or for the client to read an answer.
    Idle,
    /// A request arrives.
    Receiving,
    /// A request has arrived and is being handled.
    Handling,
}

/// Progress of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionProgress {
    phase: ConnectionPhase,
    /// Counts received bytes since the phase began.
    meter: ProgressMeter,
    /// Since when the client has read nothing of what is being sent.
    blocked_since_ms: Option<u64>,
}

impl ConnectionProgress {
    /// A connection accepted at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        let meter = ProgressMeter::new(now_ms);
        Self { phase: ConnectionPhase::Idle, meter, blocked_since_ms: None }
    }

    /// Counts received bytes; those of an idle connection begin a request.
    pub fn received(&mut self, now_ms: u64, bytes: u64) {
        if self.phase == ConnectionPhase::Idle {
            self.enter(now_ms, ConnectionPhase::Receiving);
        }
        self.meter.add(now_ms, bytes);
    }

    /// Begins another phase.
    pub fn enter(&mut self, now_ms: u64, phase: ConnectionPhase) {
        self.phase = phase;
        self.meter = ProgressMeter::new(now_ms);
    }

    /// Notes whether the client took something of what is being sent.
    pub fn sent(&mut self, now_ms: u64, is_blocked: bool) {
        if is_blocked {
            self.blocked_since_ms.get_or_insert(now_ms);
        } else {
            self.blocked_since_ms = None;
        }
    }

    /// Whether the client has read nothing for longer than `timeout_ms`.
    pub fn is_write_stalled(&self, now_ms: u64, timeout_ms: u64) -> bool {
        self.blocked_since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) > timeout_ms)
    }

    /// Rank of the connection among those that may be closed, lowest first; `None` if it may not.
    fn rank(&self, now_ms: u64, min_rate: u64) -> Option<(u64, u64)> {
        let age_ms = self.meter.age_ms(now_ms);
        let rate = self.meter.rate(now_ms);
        let is_progressing = self.phase == ConnectionPhase::Receiving && rate >= min_rate;
        if self.phase == ConnectionPhase::Handling || is_progressing || age_ms < GRACE_MS {
            return None;
        }
        Some((rate, u64::MAX - age_ms))
    }
}

/// Chooses the connection to close for a new one; `None` if all are young, progressing or handled.
pub fn connection_to_close<I>(now_ms: u64, min_rate: u64, connections: I) -> Option<u64>
where
    I: IntoIterator<Item = (u64, ConnectionProgress)>,
{
    let ranked = connections
        .into_iter()
        .filter_map(|(id, connection)| connection.rank(now_ms, min_rate).map(|rank| (rank, id)));
    ranked.min().map(|(_, id)| id)
}
