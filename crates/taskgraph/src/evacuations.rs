//! Data centres that the operator has asked to evacuate: no task is started on their workers.
//!
//! The operator's request is read by each entry and recorded in the log, so that all processes know it,
//! whoever plans. Placements on workers there are refused when they are applied, the planner does not
//! offer them, and their agents start nothing. Runs in progress continue to their end.
//!
//! Entries read the request at different times. Each record names the position in the operator's topic
//! as of which it is known, and an older position changes nothing.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::ensure;

use crate::graph_state::GraphEffect;
use crate::graph_state::GraphOutcome;
use crate::graph_state::GraphState;
use crate::refusal::InvalidEvacuationsSnafu;
use crate::refusal::StaleEvacuationsSnafu;
use crate::worker::WorkerKey;
use crate::worker::WorkerState;

/// Maximum number of evacuated data centres. A service has a handful of them.
pub const MAX_EVACUATED_DATA_CENTRES: usize = 256;
/// Maximum length of a data centre's name, in bytes: what the longest key leaves for it.
pub const MAX_DATA_CENTRE_BYTES: usize = 246;

/// The evacuated data centres, as recorded in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Position in the operator's topic as of which they are known; 0 before the first record.
    pub as_of: u64,
    /// Names of the data centres.
    pub data_centres: BTreeSet<SmolStr>,
}

impl Evacuations {
    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }
}

/// Whether a data centre of this name can be evacuated.
pub fn is_data_centre_name(name: &str) -> bool {
    (1..=MAX_DATA_CENTRE_BYTES).contains(&name.len()) && !name.chars().any(char::is_control)
}

impl GraphState {
    /// Whether a worker is in an evacuated data centre.
    pub fn is_evacuated(&self, worker: &WorkerState) -> bool {
        self.evacuations.contains(&worker.spec.data_centre)
    }

    /// Whether a registered worker is in an evacuated data centre.
    pub fn is_worker_evacuated(&self, worker: WorkerKey) -> bool {
        self.workers.get(&worker).is_some_and(|worker| self.is_evacuated(worker))
    }

    /// Replaces the set of evacuated data centres, unless a set as of the same position or a later one is
    /// recorded.
    pub(crate) fn evacuations_read(
        &mut self,
        as_of: u64,
        data_centres: &BTreeSet<SmolStr>,
    ) -> GraphOutcome {
        let current = self.evacuations.as_of;
        ensure!(as_of > current, StaleEvacuationsSnafu { as_of, current });
        let is_valid = data_centres.len() <= MAX_EVACUATED_DATA_CENTRES
            && data_centres.iter().all(|name| is_data_centre_name(name));
        ensure!(is_valid, InvalidEvacuationsSnafu);
        self.evacuations = Evacuations { as_of, data_centres: data_centres.clone() };
        Ok(GraphEffect::Done)
    }
}
