//! Throttles best-effort tasks that run beside latency-sensitive tasks.
//!
//! Best-effort tasks use the processor time that others leave idle, but interfere with them more
//! than their resources suggest. The agent watches the tail latency of the latency-sensitive tasks
//! on its worker. Near the latency target it slows the best-effort tasks down immediately and
//! sharply; well below it, it speeds them up in small steps.

use std::collections::BTreeMap;

use crate::task_key::RunKey;

/// Minimum time between two changes, in ms. A reported latency covers the last half second, and a
/// change takes 100 ms to have an effect.
const SETTLE_INTERVAL_MS: u64 = 600;
/// Latency, in percent of its target, from which the speed of best-effort tasks is halved. Once the
/// target is missed, the speed is quartered.
const HIGH_LATENCY_PERCENT: u64 = 90;
/// Latency, in percent of its target, below which best-effort tasks may speed up.
const LOW_LATENCY_PERCENT: u64 = 70;
/// Percentage points by which best-effort tasks speed up at a time.
const SPEED_STEP_PERCENT: u32 = 10;
/// Speed below which best-effort tasks are paused while the target is missed.
const MIN_SPEED_PERCENT: u32 = 10;
/// Speed of a task that was never throttled.
const FULL_SPEED_PERCENT: u32 = 100;

/// How a run takes part in throttling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleClass {
    /// A run with a latency target.
    LatencySensitive {
        /// Recent tail latency, in ms.
        latency_ms: u32,
        /// Latency target, in ms.
        target_ms: u32,
    },
    /// A run that may be throttled.
    BestEffort,
}

/// Throttle of a best-effort run, as far as the worker is known to have applied it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunThrottle {
    /// The worker acknowledged this speed, in percent.
    Acknowledged(u32),
    /// An order is in flight. A second order could overtake it, so none is sent.
    InFlight,
    /// An order got no answer.
    Unknown,
}

/// Controls the speed of the best-effort tasks on one worker.
#[derive(Clone, Debug)]
pub struct ThrottleControl {
    speed_percent: u32,
    changed_ms: u64,
    throttles: BTreeMap<RunKey, RunThrottle>,
    has_both_classes: bool,
}

impl Default for ThrottleControl {
    fn default() -> Self {
        Self {
            speed_percent: FULL_SPEED_PERCENT,
            changed_ms: 0,
            throttles: BTreeMap::new(),
            has_both_classes: false,
        }
    }
}

impl ThrottleControl {
    /// Takes the best-effort and latency-sensitive runs on the worker at `now_ms`, and updates the
    /// speed of the best-effort ones.
    pub fn observe(&mut self, runs: &[(RunKey, ThrottleClass)], now_ms: u64) {
        let best_effort: Vec<RunKey> = runs
            .iter()
            .filter(|(_, class)| *class == ThrottleClass::BestEffort)
            .map(|(run, _)| *run)
            .collect();
        self.throttles.retain(|run, _| best_effort.contains(run));
        for run in &best_effort {
            self.throttles.entry(*run).or_insert(RunThrottle::Acknowledged(FULL_SPEED_PERCENT));
        }
        let latency_percent = runs.iter().filter_map(|(_, class)| percent_of_target(*class)).max();
        self.has_both_classes = latency_percent.is_some() && !best_effort.is_empty();
        let new_speed_percent = match latency_percent {
            None => FULL_SPEED_PERCENT,
            Some(_) if now_ms < self.changed_ms + SETTLE_INTERVAL_MS => return,
            Some(latency_percent) => self.next_speed(latency_percent),
        };
        if new_speed_percent != self.speed_percent {
            self.speed_percent = new_speed_percent;
            self.changed_ms = now_ms;
        }
    }

    fn next_speed(&self, latency_percent: u64) -> u32 {
        if latency_percent >= 100 {
            let reduced = self.speed_percent / 4;
            if reduced < MIN_SPEED_PERCENT { 0 } else { reduced }
        } else if latency_percent >= HIGH_LATENCY_PERCENT {
            self.speed_percent / 2
        } else if latency_percent < LOW_LATENCY_PERCENT {
            (self.speed_percent + SPEED_STEP_PERCENT).min(FULL_SPEED_PERCENT)
        } else {
            self.speed_percent
        }
    }

    /// Whether the worker has both classes of runs and must be polled frequently.
    pub fn is_needed(&self) -> bool {
        self.has_both_classes
    }

    /// Orders to send now: runs whose speed has to change, with the new speed in percent. No
    /// further order is returned for a run until [`Self::answered`] is called.
    pub fn next_orders(&mut self) -> Vec<(RunKey, u32)> {
        let speed_percent = self.speed_percent;
        let mut orders = Vec::new();
        for (run, throttle) in &mut self.throttles {
            if *throttle != RunThrottle::InFlight
                && *throttle != RunThrottle::Acknowledged(speed_percent)
            {
                *throttle = RunThrottle::InFlight;
                orders.push((*run, speed_percent));
            }
        }
        orders
    }

    /// Records the answer to an order: whether the worker acknowledged the speed.
    pub fn answered(&mut self, run: RunKey, percent: u32, is_acknowledged: bool) {
        if let Some(throttle) = self.throttles.get_mut(&run) {
            *throttle = if is_acknowledged {
                RunThrottle::Acknowledged(percent)
            } else {
                RunThrottle::Unknown
            };
        }
    }
}

/// Tail latency of a latency-sensitive run, in percent of its target.
fn percent_of_target(class: ThrottleClass) -> Option<u64> {
    match class {
        ThrottleClass::LatencySensitive { latency_ms, target_ms } if target_ms > 0 => {
            Some(u64::from(latency_ms) * 100 / u64::from(target_ms))
        }
        ThrottleClass::LatencySensitive { .. } | ThrottleClass::BestEffort => None,
    }
}
