//! Where a worker stands: region, data centre, rack.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Place of a worker. Racks are named within their data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Region.
    pub region: SmolStr,
    /// Data centre.
    pub data_centre: SmolStr,
    /// Rack within the data centre.
    pub rack: SmolStr,
}
