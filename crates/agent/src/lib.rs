//! The agent beside each backend server: it announces the server's worker, holds the leases of
//! its tasks and carries out what the log decided.
//!
//! [`gang_table::GangTable`] decides, without I/O and with time passed in. [`agent_daemon`] moves
//! its messages.

pub mod agent_action;
pub mod agent_daemon;
pub mod agent_metrics;
pub mod agent_settings;
mod entry_session;
mod gang_entry;
mod gang_lead;
mod gang_links;
pub mod gang_table;
pub mod gang_timing;
mod lead_side;
mod member_machine;
mod member_side;
mod renewal_watch;
mod task_runner;
