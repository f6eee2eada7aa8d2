//! How fast filling tasks may work beside tasks that serve.
//!
//! Filling tasks take what others leave, but disturb them by more than their room tells. The agent
//! looks at the tail latency of the serving tasks on its worker: near their target it slows the
//! filling tasks down, at once and by much; well below it lets them work faster, step by step.

use std::collections::BTreeMap;

use crate::task_key::RunKey;

/// Least time between changes, in ms. A latency is that of the last half second, and a change takes
/// 100 ms to have an effect.
const SETTLE_MS: u64 = 600;
/// Share of the target from which on filling tasks work at half their pace, in percent.
const NEAR_PERCENT: u64 = 90;
/// Share of the target below which filling tasks may work faster, in percent.
const CALM_PERCENT: u64 = 70;
/// Points by which their pace rises in a step.
const RISE: u32 = 10;
/// Pace below which filling tasks stand still while the target is missed.
const LEAST: u32 = 10;
/// Pace of a task that was told nothing.
const FULL: u32 = 100;

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
enum Told {
    /// The worker acknowledged this pace.
    Pace(u32),
    /// An order is under way; a second one could overtake it.
    Sending,
    /// An order got no answer.
    Unknown,
}

/// Pace of the filling tasks on one worker.
#[derive(Clone, Debug)]
pub struct ThrottleControl {
    pace: u32,
    changed_ms: u64,
    told: BTreeMap<RunKey, Told>,
    has_both: bool,
}

impl Default for ThrottleControl {
    fn default() -> Self {
        Self { pace: FULL, changed_ms: 0, told: BTreeMap::new(), has_both: false }
    }
}

impl ThrottleControl {
    /// Takes what the worker's runs are at `now_ms`.
    pub fn observe(&mut self, runs: &[(RunKey, ThrottleClass)], now_ms: u64) {
        let filling: Vec<RunKey> = runs
            .iter()
            .filter(|(_, role)| *role == ThrottleClass::BestEffort)
            .map(|(run, _)| *run)
            .collect();
        self.told.retain(|run, _| filling.contains(run));
        for run in &filling {
            self.told.entry(*run).or_insert(Told::Pace(FULL));
        }
        let load = runs.iter().filter_map(|(_, role)| load_percent(*role)).max();
        self.has_both = load.is_some() && !filling.is_empty();
        let wanted = match load {
            None => FULL,
            Some(_) if now_ms < self.changed_ms + SETTLE_MS => return,
            Some(load) => self.next_pace(load),
        };
        if wanted != self.pace {
            self.pace = wanted;
            self.changed_ms = now_ms;
        }
    }

    fn next_pace(&self, load: u64) -> u32 {
        if load >= 100 {
            let slowed = self.pace / 4;
            if slowed < LEAST { 0 } else { slowed }
        } else if load >= NEAR_PERCENT {
            self.pace / 2
        } else if load < CALM_PERCENT {
            (self.pace + RISE).min(FULL)
        } else {
            self.pace
        }
    }

    /// Whether the worker has both kinds, and has to be looked at often.
    pub fn is_needed(&self) -> bool {
        self.has_both
    }

    /// Runs that are to work at another pace than they were told, with that pace in percent. Each
    /// order is out until it is answered.
    pub fn next_orders(&mut self) -> Vec<(RunKey, u32)> {
        let pace = self.pace;
        let mut orders = Vec::new();
        for (run, told) in &mut self.told {
            if *told != Told::Sending && *told != Told::Pace(pace) {
                *told = Told::Sending;
                orders.push((*run, pace));
            }
        }
        orders
    }

    /// Takes the answer to an order: whether the worker acknowledged the pace.
    pub fn answered(&mut self, run: RunKey, percent: u32, is_acknowledged: bool) {
        if let Some(told) = self.told.get_mut(&run) {
            *told = if is_acknowledged { Told::Pace(percent) } else { Told::Unknown };
        }
    }
}

/// Latency of a serving run in percent of its target.
fn load_percent(role: ThrottleClass) -> Option<u64> {
    match role {
        ThrottleClass::LatencySensitive { latency_ms, target_ms } if target_ms > 0 => {
            Some(u64::from(latency_ms) * 100 / u64::from(target_ms))
        }
        ThrottleClass::LatencySensitive { .. } | ThrottleClass::BestEffort => None,
    }
}
