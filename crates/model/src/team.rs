//! Teams and what they are promised.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::shape::Shape;

/// A guaranteed shape and how many of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Name of the guarantee, unique within its team.
    pub name: SmolStr,
    /// The guaranteed shape.
    pub shape: Shape,
    /// How many of the shape are guaranteed at once.
    pub count: u8,
}

/// A team as the sheet states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Team name, unique.
    pub name: SmolStr,
    /// Guaranteed shapes.
    pub guarantees: Vec<Guarantee>,
    /// Most jobs of the team that may wait at once.
    pub max_pending: u32,
}
