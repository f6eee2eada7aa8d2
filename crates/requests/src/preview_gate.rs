//! Admits requests for previews one at a time, and not more often than once in an interval.
//!
//! A preview copies the state and plans twice, so many at once would take the memory and processor time
//! of the requests that matter.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Minimum time from the start of one preview to that of the next.
const PREVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after which a refused request may be repeated, in s.
pub const PREVIEW_RETRY_S: u64 = PREVIEW_INTERVAL.as_secs();

#[derive(Debug, Default)]
struct GateState {
    is_running: bool,
    started: Option<Instant>,
}

/// Decides which requests for previews are served.
#[derive(Debug, Default)]
pub struct PreviewGate {
    state: Mutex<GateState>,
}

/// Permission for one preview, which counts as running until this is dropped.
#[derive(Debug)]
pub struct PreviewPermit {
    gate: Arc<PreviewGate>,
}

impl PreviewGate {
    /// Permits a preview that starts at `now`; `None` while another one runs or has started recently.
    pub fn enter(self: &Arc<Self>, now: Instant) -> Option<PreviewPermit> {
        let mut state = self.state();
        let is_early = state
            .started
            .is_some_and(|started| now.saturating_duration_since(started) < PREVIEW_INTERVAL);
        if state.is_running || is_early {
            return None;
        }
        *state = GateState { is_running: true, started: Some(now) };
        Some(PreviewPermit { gate: Arc::clone(self) })
    }

    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PreviewPermit {
    fn drop(&mut self) {
        self.gate.state().is_running = false;
    }
}
