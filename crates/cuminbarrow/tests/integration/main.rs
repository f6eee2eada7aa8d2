//! Integration tests with deployments of real processes, one file per feature.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod bad_input;
#[allow(dead_code, reason = "the benchmarks use the rest of it")]
mod cluster_builder;
mod entry_failover;
mod gang_completion;
mod gang_failures;
mod graceful_shutdown;
mod lost_worker;
mod many_callers;
mod operator_commands;
mod region_reader;
mod settings_files;
mod sheet_propagation;
mod takeover;
mod unsent_jobs;
mod worker_drain;
