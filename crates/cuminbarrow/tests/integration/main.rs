//! Whole deployments of real processes, one file a feature.

mod bad_input;
mod cluster_builder;
mod entry_failover;
mod gang_failures;
mod gang_path;
mod graceful_shutdown;
mod many_callers;
mod settings_files;
mod worker_drain;
