//! The fold, the planner and the agent's bookkeeping.

#![allow(clippy::unwrap_used, reason = "a test may fail where it stands")]

mod advice;
mod fold;
mod graph_builder;
mod leases;
mod load_patterns;
mod many_occurrences;
mod pacing;
mod planning;
mod random_histories;
mod restored_states;
mod run_table;
mod slow_workers;
