//! The processes that run task graphs: entries that accept jobs and plan, agents that start tasks.
//!
//! Every process is a replica of the log ([`replica`]). Agents read it through an entry
//! ([`relayed_log`], [`relay_server`]); beyond that there is no link between processes. An entry
//! appends what callers ask for ([`job_service`]) and, while it holds the planner role, what
//! is placed where ([`planner_task`]). An agent brings its worker to the state that the log wants
//! ([`agent_core`]) and reports how runs end. What differs between platforms stands behind traits:
//! the log ([`cuminbarrow_resources::log_store`]), the worker ([`worker_port`]) and the list of live
//! agents ([`membership`]).

mod advice_desk;
pub mod advice_port;
pub mod agent_core;
mod agent_orders;
mod agent_polls;
mod agent_reports;
pub mod caching_log;
pub mod clock;
pub mod configuration;
pub mod confirmed_log;
pub mod direct_path;
pub mod entry_announcer;
pub mod entry_directory;
pub mod group_commit_log;
pub mod job_service;
mod lease_book;
pub mod membership;
pub mod peer_list;
pub mod planner_task;
mod relay_link;
pub mod relay_server;
pub mod relayed_log;
pub mod replica;
pub mod snapshot_writer;
pub mod worker_port;
mod worker_session;
pub mod worker_watch;
