//! Queues of the known jobs, as recorded in the log.
//!
//! A queue is the address at which jobs are submitted. A version of the configuration may give it another
//! name or another service, and its jobs follow: what is not placed yet is placed on workers of the new
//! service, and runs in progress continue to their end. Entries learn of versions at different times, so
//! each queue has the version that it is known from, and an older one changes nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ensure;

use crate::graph_state::GraphEffect;
use crate::graph_state::GraphOutcome;
use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::refusal::StaleQueueSnafu;
use crate::refusal::UnknownQueueSnafu;

/// A queue in a version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueVersion {
    /// Version of the configuration.
    pub version: u64,
    /// Name of the queue.
    pub name: SmolStr,
    /// Service whose workers run the tasks of its jobs.
    pub service: SmolStr,
}

/// A queue with its jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueState {
    /// The queue in the latest version that is recorded.
    pub latest: QueueVersion,
    /// Jobs that were submitted at the queue's address, including recently ended ones.
    pub jobs: BTreeSet<JobId>,
}

/// Queues with known jobs, by address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QueueTable {
    queues: BTreeMap<SmolStr, QueueState>,
}

impl QueueTable {
    /// Whether there is no queue.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Queues with their addresses.
    pub fn iter(&self) -> impl Iterator<Item = (&SmolStr, &QueueState)> {
        self.queues.iter()
    }

    /// A queue by its address.
    pub fn get(&self, address: &str) -> Option<&QueueState> {
        self.queues.get(address)
    }

    /// Address and queue of a job; `None` for one that a previous release accepted.
    pub fn of_job(&self, job: JobId) -> Option<(&SmolStr, &QueueState)> {
        self.queues.iter().find(|(_, queue)| queue.jobs.contains(&job))
    }

    /// Adds a job that was submitted at an address in a version of the configuration.
    pub(crate) fn add_job(&mut self, address: &SmolStr, submitted: QueueVersion, job: JobId) {
        let queue = self.queues.entry(address.clone()).or_default();
        if queue.jobs.is_empty() || submitted.version > queue.latest.version {
            queue.latest = submitted;
        }
        queue.jobs.insert(job);
    }

    /// Removes a job, and its queue with the last one.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        self.queues.retain(|_, queue| !queue.jobs.remove(&job) || !queue.jobs.is_empty());
    }
}

impl GraphState {
    /// Changes the name or the service of a queue.
    pub(crate) fn queue_changed(&mut self, address: &SmolStr, next: &QueueVersion) -> GraphOutcome {
        let queue = self.queues.queues.get_mut(address);
        let queue = queue.context(UnknownQueueSnafu { address: address.clone() })?;
        let current = queue.latest.version;
        let is_later = next.version > current;
        ensure!(
            is_later,
            StaleQueueSnafu { address: address.clone(), version: next.version, current }
        );
        queue.latest = next.clone();
        self.move_jobs(address);
        Ok(GraphEffect::Done)
    }

    /// Lets the active jobs of a queue follow it to its service.
    pub(crate) fn move_jobs(&mut self, address: &str) {
        let Some(queue) = self.queues.queues.get(address) else { return };
        for id in queue.jobs.intersection(&self.active) {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if job.terms.service != queue.latest.service {
                Arc::make_mut(&mut job.terms).service = queue.latest.service.clone();
            }
        }
    }
}
