//! What the gang table wants done.

use std::net::SocketAddr;

use cuminbarrow_protocol::message::AgentMessage;
use cuminbarrow_protocol::message::GangMessage;
use cuminbarrow_resources::worker_control::TaskStart;
use smol_str::SmolStr;

/// What the gang table wants done. Any of these may fail; the table asks again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentAction {
    /// Renew the leases of tasks.
    RenewTasks {
        /// Tasks.
        tasks: Vec<SmolStr>,
        /// Lease from now, in ms.
        lease_ms: u64,
    },
    /// Send to the entry.
    SendEntry(AgentMessage),
    /// Send to another agent.
    SendGang {
        /// Where it is reached.
        address: SocketAddr,
        /// The message.
        message: GangMessage,
    },
    /// Start a task.
    StartTask(TaskStart),
    /// Stop a task.
    StopTask {
        /// Task.
        task: SmolStr,
        /// Whether to checkpoint first.
        checkpoint: bool,
    },
}
