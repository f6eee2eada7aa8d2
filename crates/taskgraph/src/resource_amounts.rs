//! Amounts of the resources that tasks use and workers offer.

use serde::Deserialize;
use serde::Serialize;

/// Number of cores that one accelerator is equivalent to when work is weighted.
pub const CORES_PER_ACCELERATOR: u64 = 8;

/// Amounts of processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceAmounts {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl ResourceAmounts {
    /// Whether these amounts are at least `other` in every dimension.
    pub fn covers(&self, other: &Self) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// How many copies of `each` fit within these amounts; `u32::MAX` if `each` is zero in every
    /// dimension.
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

    /// Sum of both amounts, saturating.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference of both amounts, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// These amounts multiplied by `count`, saturating.
    pub fn scaled(&self, count: u32) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Weight of work that uses these amounts, in thousandths of a core. An accelerator counts as
    /// [`CORES_PER_ACCELERATOR`] cores; memory does not count.
    pub fn weight(&self) -> u64 {
        u64::from(self.cpu_millis) + u64::from(self.accelerators) * CORES_PER_ACCELERATOR * 1_000
    }
}
