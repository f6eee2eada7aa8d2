//! Tests of the replicated state, the planner and the agent's run table.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod admission;
mod advice;
mod evacuation;
mod graph_builder;
mod job_outcomes;
mod job_preview;
mod leases;
mod load_patterns;
mod many_occurrences;
mod moved_queues;
mod planning;
mod played_load;
mod preemption_history;
mod random_histories;
mod record_effects;
mod restored_states;
mod run_table;
mod shape_packing;
mod single_runs;
mod slow_workers;
mod spec_budget;
mod speed_profiles;
mod team_shares;
mod throttling;
mod waiting_cost;
mod wide_reserve;
mod wide_steps;
mod worker_health;
mod worker_probation;
