//! A queue that a request addresses.

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
