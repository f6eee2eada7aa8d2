//! Amounts of the resources that a worker provides and a task needs.

use serde::Deserialize;
use serde::Serialize;

/// Amounts of resources: the capacity of a worker, or the demand of one member of a gang.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU cores.
    pub cores: u16,
    /// Memory in GiB.
    pub memory_gib: u16,
    /// Number of accelerators.
    pub accelerators: u8,
    /// Task slots, which limit the number of concurrent tasks.
    pub slots: u8,
    /// Connections to the backend server.
    pub connections: u8,
}

impl Resources {
    /// Whether these amounts are at least `other` in every resource.
    pub fn covers(&self, other: &Self) -> bool {
        self.cores >= other.cores
            && self.memory_gib >= other.memory_gib
            && self.accelerators >= other.accelerators
            && self.slots >= other.slots
            && self.connections >= other.connections
    }

    /// Number of times that `each` fits within these amounts; `usize::MAX` if `each` is all zero.
    pub fn fit_count(&self, each: &Self) -> usize {
        let wide = |amount: u16, each: u16| amount.checked_div(each).map(usize::from);
        let narrow = |amount: u8, each: u8| amount.checked_div(each).map(usize::from);
        let counts = [
            wide(self.cores, each.cores),
            wide(self.memory_gib, each.memory_gib),
            narrow(self.accelerators, each.accelerators),
            narrow(self.slots, each.slots),
            narrow(self.connections, each.connections),
        ];
        counts.into_iter().flatten().min().unwrap_or(usize::MAX)
    }

    /// Saturating sum of both amounts.
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, u16::saturating_add, u8::saturating_add)
    }

    /// Difference of both amounts, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        self.combine(other, u16::saturating_sub, u8::saturating_sub)
    }

    /// Maximum of both amounts, resource by resource.
    pub fn max(&self, other: &Self) -> Self {
        self.combine(other, u16::max, u8::max)
    }

    fn combine<W, N>(&self, other: &Self, wide: W, narrow: N) -> Self
    where
        W: Fn(u16, u16) -> u16,
        N: Fn(u8, u8) -> u8,
    {
        Self {
            cores: wide(self.cores, other.cores),
            memory_gib: wide(self.memory_gib, other.memory_gib),
            accelerators: narrow(self.accelerators, other.accelerators),
            slots: narrow(self.slots, other.slots),
            connections: narrow(self.connections, other.connections),
        }
    }
}
