//! Forecast of the capacity that a service has for waiting work.
//!
//! Capacity is measured in billionths of a service. A task takes one part in as many as the usable
//! workers hold of it, so the forecast accounts for shapes that leave a part of each worker unused.

use std::collections::HashMap;

use crate::resource_amounts::ResourceAmounts;
use crate::service_capacity::WorkerSizes;
use crate::worker::WorkerState;

/// Capacity of a whole service.
pub const WHOLE_CAPACITY: u64 = 1_000_000_000;

/// Part of the free capacity that a forecast counts on, in percent. Gangs and wide tasks leave some of it
/// unused, and a set of jobs that only just fits would be late as a whole.
const USABLE_PERCENT: u128 = 90;

/// Shapes of a service's usable workers.
#[derive(Clone, Debug, Default)]
pub struct ServiceShape {
    sizes: WorkerSizes,
    slots: HashMap<ResourceAmounts, u32>,
}

impl ServiceShape {
    /// Adds a worker to which tasks may be placed.
    pub fn add_worker(&mut self, worker: &WorkerState) {
        self.sizes.add(worker.spec.resources);
    }

    /// Number of tasks with these resources that the service holds at once.
    pub fn slots(&mut self, each: &ResourceAmounts) -> u32 {
        let sizes = &self.sizes;
        *self.slots.entry(*each).or_insert_with(|| sizes.slots(each, u32::MAX))
    }

    /// Capacity that a task with these resources takes; 0 if no worker holds one.
    pub fn size(&mut self, each: &ResourceAmounts) -> u64 {
        WHOLE_CAPACITY.checked_div(u64::from(self.slots(each))).unwrap_or(0)
    }
}

/// Capacity that a run holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeldCapacity {
    /// Expected time until the run ends, in ms; `u64::MAX` if it does not end by itself.
    pub remaining_ms: u64,
    /// Capacity that the run holds.
    pub size: u64,
}

/// Free capacity of a service over time, while the runs of now end and nothing else begins.
#[derive(Clone, Debug)]
pub struct CapacityForecast {
    /// Times at which the free capacity changes: time from now in ms, free capacity from then on, and free
    /// capacity summed over the time until then.
    changes: Vec<(u64, u64, u128)>,
}

impl CapacityForecast {
    /// Forecast for a service with these runs.
    pub fn new(mut held: Vec<HeldCapacity>) -> Self {
        held.sort_unstable();
        let used = held.iter().fold(0_u64, |sum, run| sum.saturating_add(run.size));
        // More than the whole is in use if workers with runs can't be used any more.
        let mut excess = used.saturating_sub(WHOLE_CAPACITY);
        let mut free = WHOLE_CAPACITY.saturating_sub(used);
        let mut changes = vec![(0, free, 0)];
        for run in held.into_iter().filter(|run| run.remaining_ms < u64::MAX) {
            let absorbed = excess.min(run.size);
            excess -= absorbed;
            let (at_ms, until_now, sum) = changes.last().copied().unwrap_or_default();
            let sum = sum + u128::from(until_now) * u128::from(run.remaining_ms - at_ms);
            free += run.size - absorbed;
            if at_ms == run.remaining_ms {
                changes.pop();
            }
            changes.push((run.remaining_ms, free, sum));
        }
        Self { changes }
    }

    /// Free capacity after `after_ms`.
    pub fn free_capacity(&self, after_ms: u64) -> u64 {
        let next = self.changes.partition_point(|(at_ms, ..)| *at_ms <= after_ms);
        self.changes.get(next.saturating_sub(1)).map_or(0, |(_, free, _)| *free)
    }

    /// Time until there is this much free capacity at once, in ms; `u64::MAX` if there never is.
    pub fn time_until_free(&self, size: u64) -> u64 {
        let next = self.changes.partition_point(|(_, free, _)| *free < size);
        self.changes.get(next).map_or(u64::MAX, |(at_ms, ..)| *at_ms)
    }

    /// Time until this much work, in capacity times ms, can be done, in ms; `u64::MAX` if it never can.
    pub fn time_for(&self, work: u128) -> u64 {
        let needed = work.saturating_mul(100) / USABLE_PERCENT;
        let next = self.changes.partition_point(|(.., sum)| *sum < needed);
        let Some((at_ms, free, sum)) = self.changes.get(next.saturating_sub(1)) else { return 0 };
        if needed <= *sum {
            return *at_ms;
        }
        let rest_ms = (needed - sum).checked_div(u128::from(*free));
        rest_ms
            .and_then(|rest_ms| u64::try_from(rest_ms).ok())
            .map_or(u64::MAX, |rest_ms| at_ms.saturating_add(rest_ms))
    }
}
