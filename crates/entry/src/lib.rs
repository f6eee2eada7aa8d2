//! The entry process: serves the HTTP API for callers and operators, keeps a replica of the state
//! by following the log, runs planning rounds while it holds the planner role, and sends
//! assignments to the agents connected to it.

pub mod access;
mod agent_server;
pub mod api_error;
mod api_explain;
mod api_jobs;
mod api_operators;
mod api_report;
mod api_server;
mod api_sheet;
pub mod api_types;
mod assignment;
pub mod entry_core;
pub mod entry_daemon;
mod entry_metrics;
pub mod entry_settings;
mod job_preview;
mod job_waiters;
mod liveness_monitor;
pub mod offset_gate;
mod peer_server;
mod pending_reports;
mod planner_loop;
mod planner_role;
mod recent_batches;
mod region_log;
mod session_table;
