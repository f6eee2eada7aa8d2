//! Agents, planners and workers in virtual time, with an observer that knows what really runs.

#![allow(clippy::unwrap_used, reason = "a test may fail where it stands")]

mod fake_fleet;
mod fake_log;
mod fake_worker;
mod observer;
mod proof_of_end;
mod random_faults;
mod random_histories;
