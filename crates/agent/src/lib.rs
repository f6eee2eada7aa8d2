//! The agent runs beside each backend server. It registers the server's worker with an entry,
//! carries out the assignments that are recorded in the log, and renews the leases of the worker's
//! tasks.
//!
//! [`gang_table::GangTable`] makes the decisions, without I/O and with the time passed in.
//! [`agent_daemon`] performs the I/O.

pub mod agent_action;
pub mod agent_daemon;
pub mod agent_metrics;
pub mod agent_settings;
mod entry_session;
mod gang_links;
mod gang_state;
pub mod gang_table;
pub mod gang_timing;
mod lead_side;
mod lead_state;
mod member_side;
mod member_state_machine;
mod renewal_tracker;
mod task_runner;
