//! How fast filling tasks may work beside tasks that serve.
//!
//! Filling tasks take what others leave, but disturb them by more than their room tells. The agent
//! looks at the tail latency of the serving tasks on its worker: near their target it slows the
//! filling tasks down, at once and by much; well below it lets them work faster, step by step.

use std::collections::BTreeMap;

use crate::task_key::RunKey;

/// Least time between changes, in ms. A latency is that of the last half second, and a change takes
/// 100 ms to have an effect.
const SETTLE_INTERVAL_MS: u64 = 600;
/// Share of the target from which on filling tasks work at half their pace, in percent.
const HIGH_LOAD_PERCENT: u64 = 90;
/// Share of the target below which filling tasks may work faster, in percent.
const LOW_LOAD_PERCENT: u64 = 70;
/// Points by which their pace rises in a step.
const SPEED_STEP_PERCENT: u32 = 10;
/// Pace below which filling tasks stand still while the target is missed.
const MIN_SPEED_PERCENT: u32 = 10;
/// Pace of a task that was told nothing.
const FULL_SPEED_PERCENT: u32 = 100;

/// What a run is to the others on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleClass {
    /// It serves users of its own.
    LatencySensitive {
        /// Tail latency of late, in ms.
        latency_ms: u32,
        /// What that should stay below, in ms.
        target_ms: u32,
    },
    /// It takes what the others leave.
    BestEffort,
}

/// What a filling run was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunThrottle {
    /// The worker acknowledged this pace.
    Acknowledged(u32),
    /// An order is under way; a second one could overtake it.
    InFlight,
    /// An order got no answer.
    Unknown,
}

/// Pace of the filling tasks on one worker.
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
    /// Takes what the worker's runs are at `now_ms`.
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
        let load = runs.iter().filter_map(|(_, class)| load_percent(*class)).max();
        self.has_both_classes = load.is_some() && !best_effort.is_empty();
        let target = match load {
            None => FULL_SPEED_PERCENT,
            Some(_) if now_ms < self.changed_ms + SETTLE_INTERVAL_MS => return,
            Some(load) => self.next_speed(load),
        };
        if target != self.speed_percent {
            self.speed_percent = target;
            self.changed_ms = now_ms;
        }
    }

    fn next_speed(&self, load: u64) -> u32 {
        if load >= 100 {
            let reduced = self.speed_percent / 4;
            if reduced < MIN_SPEED_PERCENT { 0 } else { reduced }
        } else if load >= HIGH_LOAD_PERCENT {
            self.speed_percent / 2
        } else if load < LOW_LOAD_PERCENT {
            (self.speed_percent + SPEED_STEP_PERCENT).min(FULL_SPEED_PERCENT)
        } else {
            self.speed_percent
        }
    }

    /// Whether the worker has both kinds, and has to be looked at often.
    pub fn is_needed(&self) -> bool {
        self.has_both_classes
    }

    /// Runs that are to work at another pace than they were told, with that pace in percent. Each
    /// order is out until it is answered.
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

    /// Takes the answer to an order: whether the worker acknowledged the pace.
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

/// Latency of a serving run in percent of its target.
fn load_percent(class: ThrottleClass) -> Option<u64> {
    match class {
        ThrottleClass::LatencySensitive { latency_ms, target_ms } if target_ms > 0 => {
            Some(u64::from(latency_ms) * 100 / u64::from(target_ms))
        }
        ThrottleClass::LatencySensitive { .. } | ThrottleClass::BestEffort => None,
    }
}
