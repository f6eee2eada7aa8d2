//! Workers as they announce themselves.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::resources::Resources;
use crate::topology::Location;

/// What a backend server's agent announces of its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Worker name, unique in the deployment.
    pub name: SmolStr,
    /// Where the worker stands.
    pub location: Location,
    /// What the worker has.
    pub capacity: Resources,
    /// Where other agents reach this worker's agent.
    pub address: SocketAddr,
}
