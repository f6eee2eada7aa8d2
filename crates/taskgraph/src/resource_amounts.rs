//! Amounts of what a task takes on a worker.

use serde::Deserialize;
use serde::Serialize;

/// Cores that one accelerator counts for when work is weighed.
pub const CORES_PER_ACCELERATOR: u64 = 8;

/// Amounts of processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceAmounts {
    /// Thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl ResourceAmounts {
    /// Whether `other` fits within these amounts.
    pub fn covers(&self, other: &Self) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// How many times `each` fits within these amounts.
    pub fn fit_count(&self, each: &Self) -> u32 {
        [
            self.cpu_millis.checked_div(each.cpu_millis),
            self.memory_mb.checked_div(each.memory_mb),
            self.accelerators.checked_div(each.accelerators),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(u32::MAX)
    }

    /// Sum of both, saturating.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// These amounts less the other, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// These amounts `count` times, saturating.
    pub fn scaled(&self, count: u32) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Weight of work, in thousandths of a core; an accelerator counts for several cores.
    pub fn weight(&self) -> u64 {
        u64::from(self.cpu_millis) + u64::from(self.accelerators) * CORES_PER_ACCELERATOR * 1_000
    }
}
