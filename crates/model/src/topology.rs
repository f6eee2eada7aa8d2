//! Location of a worker in the topology of regions, data centres and racks.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Location of a worker. Rack names are unique only within their data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Name of the region.
    pub region: SmolStr,
    /// Name of the data centre.
    pub data_centre: SmolStr,
    /// Name of the rack within the data centre.
    pub rack: SmolStr,
}
