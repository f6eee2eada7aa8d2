//! Bit set of accelerator indices on one worker.

use serde::Deserialize;
use serde::Serialize;

/// Set of accelerator indices of one worker; index 0 is the lowest bit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AcceleratorSet(pub u32);

impl AcceleratorSet {
    /// The empty set.
    pub const EMPTY: Self = Self(0);

    /// Set of the first `count` indices; counts above 32 are treated as 32.
    pub fn first(count: u8) -> Self {
        if count >= 32 { Self(u32::MAX) } else { Self((1 << count) - 1) }
    }

    /// Number of accelerators in the set.
    pub fn count(self) -> u8 {
        u8::try_from(self.0.count_ones()).unwrap_or(u8::MAX)
    }

    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Indices in both sets.
    pub fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Indices in either set.
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Indices in this set and not in the other.
    pub fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Whether every index of `other` is in this set.
    pub fn contains(self, other: Self) -> bool {
        other.difference(self).is_empty()
    }

    /// Best-fit block of `count` adjacent indices: it is cut from the shortest run of adjacent
    /// indices that is long enough, so that longer runs are left for larger requests.
    pub fn contiguous_block(self, count: u8) -> Option<Self> {
        if count == 0 {
            return Some(Self::EMPTY);
        }
        let mut best: Option<(u32, u32)> = None;
        let mut remaining = self.0;
        let mut base = 0;
        while remaining != 0 {
            let skipped = remaining.trailing_zeros();
            base += skipped;
            remaining >>= skipped;
            let length = remaining.trailing_ones();
            let is_better = best.is_none_or(|(_, shortest)| length < shortest);
            if length >= u32::from(count) && is_better {
                best = Some((base, length));
            }
            base += length;
            remaining = remaining.checked_shr(length).unwrap_or(0);
        }
        best.map(|(start, _)| Self(Self::first(count).0 << start))
    }
}
