//! Worker specifications as announced by agents.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::resources::Resources;
use crate::topology::Location;

/// Properties of a worker that its agent announces to the entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Name of the worker, unique in the deployment.
    pub name: SmolStr,
    /// Location of the worker in the topology.
    pub location: Location,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Address at which other agents reach this worker's agent.
    pub address: SocketAddr,
}
