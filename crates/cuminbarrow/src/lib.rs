//! Main functions of the daemons and the command-line client. The logic of entries and agents is in
//! packages of their own.

pub mod agent_main;
pub mod api_client;
pub mod client_error;
pub mod client_options;
pub mod client_output;
pub mod command;
pub mod command_audit;
pub mod command_demo;
pub mod command_explain;
pub mod command_job;
pub mod command_preview;
pub mod command_report;
pub mod command_sheet;
pub mod command_status;
pub mod command_team;
pub mod command_worker;
pub mod daemon_error;
pub mod daemon_options;
pub mod demo_cluster;
pub mod entry_main;
pub mod platform_main;
pub mod report_page;
pub mod settings_file;
pub mod shutdown_signal;
pub mod standin_main;
