//! Which jobs a request to a queue concerns.
//!
//! Callers name a job by the address of its queue, which is a host and a path prefix, and its id. A job
//! stays at its address, whatever name a version of the configuration gives the queue there. Where no
//! queue has that address any more, the job belongs to the queue that has taken the name to another one.

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_id::JobId;

use crate::configuration::Configuration;
use crate::configuration::Queue;

/// A queue in a version of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct QueueScope<'a> {
    /// The configuration.
    pub configuration: &'a Configuration,
    /// One of its queues.
    pub queue: &'a Queue,
}

impl QueueScope<'_> {
    /// Whether a known job belongs to the queue.
    pub(crate) fn holds(&self, state: &GraphState, job: JobId) -> bool {
        match state.queues.of_job(job) {
            Some((address, queue)) => self.holds_jobs_at(address, &queue.latest.name),
            None => state.jobs.get(&job).is_some_and(|job| job.terms.queue == self.queue.name),
        }
    }

    /// Number of the queue's active jobs of which no worker has started any task.
    pub(crate) fn count_pending(&self, state: &GraphState) -> usize {
        state.pending_jobs().filter(|(id, _)| self.holds(state, *id)).count()
    }

    /// Whether the jobs that were submitted at an address belong to the queue; `name` is the latest known
    /// name of the queue there.
    fn holds_jobs_at(&self, address: &str, name: &str) -> bool {
        let holder = self.configuration.queue_of_jobs_at(address, name);
        holder.is_some_and(|holder| holder.address() == self.queue.address())
    }
}
