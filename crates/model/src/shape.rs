//! Shapes: how many members, what each takes, and how close together they must be.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::resources::Resources;

/// Narrowest part of the topology that must hold every member of a shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Span {
    /// All members on one worker.
    Worker,
    /// All members in one rack.
    Rack,
    /// All members in one data centre.
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

/// What a gang needs: `members` equal members within one `span`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of members, 1 to [`Shape::MAX_MEMBERS`].
    pub members: u8,
    /// What each member takes on its worker; the accelerators have adjacent indices.
    pub per_member: Resources,
    /// Narrowest part of the topology that must hold all members.
    pub span: Span,
}

impl Shape {
    /// Largest gang.
    pub const MAX_MEMBERS: u8 = 64;

    /// Accelerators of all members.
    pub fn accelerators(&self) -> u32 {
        u32::from(self.members) * u32::from(self.per_member.accelerators)
    }

    /// Whether a job of the `other` shape can run inside this one, member by member.
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
