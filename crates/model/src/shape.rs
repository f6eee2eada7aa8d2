//! Shapes of gangs: number of members, resources of each, and the span that must contain them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::resources::Resources;

/// Topology level within which all members of a gang must be placed, ordered from the narrowest to
/// the widest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Span {
    /// All members on the same worker.
    Worker,
    /// All members in the same rack.
    Rack,
    /// All members in the same data centre.
    DataCentre,
}

impl fmt::Display for Span {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::DataCentre => "data_centre",
            Self::Rack => "rack",
            Self::Worker => "worker",
        })
    }
}

/// Resources that a gang needs: `members` equal members, all placed within one `span`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of members, 1 to [`Shape::MAX_MEMBERS`].
    pub members: u8,
    /// Resources of each member; its accelerators must have adjacent indices on one worker.
    pub per_member: Resources,
    /// Topology level that must contain all members.
    pub span: Span,
}

impl Shape {
    /// Maximum number of members of a gang.
    pub const MAX_MEMBERS: u8 = 64;

    /// Total number of accelerators of all members.
    pub fn accelerators(&self) -> u32 {
        u32::from(self.members) * u32::from(self.per_member.accelerators)
    }

    /// Whether a gang of shape `other` can run in the places of a gang of this shape, each member
    /// in the place of one member.
    pub fn covers(&self, other: &Self) -> bool {
        self.members >= other.members
            && self.per_member.covers(&other.per_member)
            && self.span <= other.span
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let each = &self.per_member;
        write!(
            formatter,
            "{}x({} accelerators, {} cores, {} GiB)/{}",
            self.members, each.accelerators, each.cores, each.memory_gib, self.span
        )
    }
}
