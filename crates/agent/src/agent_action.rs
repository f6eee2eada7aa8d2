//! Actions that the gang table requests.

use std::net::SocketAddr;

use cuminbarrow_protocol::message::AgentMessage;
use cuminbarrow_protocol::message::GangMessage;
use cuminbarrow_resources::worker_control::TaskStart;
use smol_str::SmolStr;

/// An action that the gang table requests. It may fail; the table requests it again if needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentAction {
    /// Renew the leases of tasks at the worker.
    RenewTasks {
        /// Names of the tasks.
        tasks: Vec<SmolStr>,
        /// Duration of the renewed lease, in ms.
        lease_ms: u64,
    },
    /// Send a message to the entry.
    SendEntry(AgentMessage),
    /// Send a message to another agent.
    SendGang {
        /// Address of the agent.
        address: SocketAddr,
        /// The message.
        message: GangMessage,
    },
    /// Start a task at the worker.
    StartTask(TaskStart),
    /// Stop a task at the worker.
    StopTask {
        /// Name of the task.
        task: SmolStr,
        /// Whether to checkpoint first.
        checkpoint: bool,
    },
}
