//! Jobs as graphs of steps: the replicated scheduler state and the decisions taken on it.
//!
//! A job is a directed acyclic graph of steps that runs once or on a schedule. A step is either a
//! set of independent tasks or a gang whose members run together. [`graph_state::GraphState`] is
//! the result of applying all [`record::GraphRecord`]s in the log. Applying a record is pure, total
//! and deterministic, so all replicas agree. A record whose precondition fails changes nothing and
//! yields a [`refusal::GraphRefusal`].
//!
//! The planner ([`plan_round`]), the agent's view of its worker's runs ([`run_table`]) and the
//! lease arithmetic ([`lease_terms`]) are pure as well: they compute decisions from a state and a
//! time.

pub mod admission;
pub mod admission_forecast;
pub mod admission_memory;
pub mod advice_request;
mod apply_jobs;
mod apply_processes;
mod apply_runs;
mod apply_workers;
pub mod capacity_forecast;
pub mod capacity_map;
mod disruption_budget;
mod done_tasks;
mod draining_workers;
pub mod early_cancellations;
mod ending_runs;
pub mod estimate_errors;
pub mod evacuations;
pub mod graph_state;
pub mod job_claim;
pub mod job_id;
pub mod job_outcomes;
pub mod job_preview;
pub mod job_spec;
pub mod job_state;
pub mod job_terms;
pub mod lease_terms;
pub mod load_order;
mod loss_limit;
mod optional_tail;
mod overdue_turns;
pub mod plan_round;
pub mod planning_options;
pub mod preemption_history;
mod probation_exemption;
pub mod progress_watch;
pub mod queue_table;
pub mod reclaim;
mod reclaim_search;
pub mod record;
pub mod refusal;
pub mod remaining_work;
pub mod resource_amounts;
pub mod run_durations;
pub mod run_table;
mod service_capacity;
pub mod shape_packing;
pub mod slow_worker_migration;
pub mod spec_budget;
pub mod speed_profile;
pub mod speed_watch;
pub mod step_advice;
pub mod step_queue;
pub mod step_state;
pub mod task_key;
pub mod team_shares;
pub mod throttle_control;
mod urgent_demand;
mod urgent_reserve;
pub mod victim_table;
pub mod waiting_cost;
mod wide_reserve;
pub mod worker;
mod worker_class;
mod worker_exclusion;
pub mod worker_health;
pub mod worker_probation;
pub mod worker_quarantine;
