//! Simulation tests of entries, agents and workers in virtual time. An observer sees what actually
//! runs on each worker and records every violated invariant.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod cancellations;
mod evacuations;
mod fake_fleet;
mod fake_log;
mod fake_worker;
mod foreign_reports;
mod late_orders;
mod log_outages;
mod observer;
mod order_retries;
mod random_faults;
mod random_histories;
mod silent_processes;
mod single_execution;
mod test_log;
mod unknown_workers;
mod unlisted_ends;
mod worker_restarts;
