//! Teams and their guarantees.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::shape::Shape;

/// Guarantee that a team can run `count` gangs of a shape at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Name of the guarantee, unique within its team.
    pub name: SmolStr,
    /// The guaranteed shape.
    pub shape: Shape,
    /// Number of gangs of this shape that are guaranteed at the same time.
    pub count: u8,
}

/// Team as declared in the sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Unique name of the team.
    pub name: SmolStr,
    /// Guarantees of the team.
    pub guarantees: Vec<Guarantee>,
    /// Maximum number of pending jobs of the team.
    pub max_pending: u32,
}
