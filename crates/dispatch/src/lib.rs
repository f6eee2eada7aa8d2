//! The processes that run task graphs: entries accept jobs and plan, agents start tasks.
//!
//! Every process holds a replica of the state in the log ([`replica`]). Agents read the log through
//! an entry ([`relayed_log`], [`relay_server`]); processes have no other links to each other. An entry
//! appends records for its callers' requests ([`job_service`]) and, while it holds the planner role,
//! for placement decisions ([`planner_task`]). An agent starts and stops runs on its worker as the
//! log demands ([`agent_core`]) and appends how they ended; it goes by the reports of the worker that
//! runs on its instance ([`worker_reports`]). Traits abstract from the platform: the
//! log ([`cuminbarrow_resources::log_store`]), the worker ([`worker_port`]), the service that advises
//! on placement ([`advice_port`]), the directory of entries ([`entry_directory`]) and the group of
//! live processes ([`membership`]).

pub mod admission_gate;
pub mod advice_port;
mod advice_requester;
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
pub mod evacuation_recorder;
pub mod evacuation_view;
pub mod failure_detector;
pub mod group_commit_log;
pub mod health_checks;
pub mod job_previewer;
pub mod job_service;
mod lease_grants;
mod lease_obstacle;
pub mod load_report;
pub mod membership;
mod operator_recorder;
pub mod peer_list;
pub mod planner_role;
pub mod planner_task;
pub mod queue_recorder;
pub mod queue_scope;
mod relay_link;
pub mod relay_server;
pub mod relayed_log;
pub mod replica;
pub mod snapshot_writer;
mod speed_log;
pub mod worker_port;
pub mod worker_reports;
mod worker_session;
