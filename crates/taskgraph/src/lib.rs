//! Jobs as graphs of steps: the replicated state, and the decisions taken on it.
//!
//! A job is a graph of steps, run once or at set times. A step is a set of tasks that run
//! independently, or a gang that runs together. [`graph_state::GraphState`] is a fold of
//! [`record::GraphRecord`]s: pure, total and deterministic, so that every replica agrees. A record
//! whose precondition fails changes nothing and gives a [`refusal::GraphRefusal`].
//!
//! The planner ([`plan_round`]), the agent's bookkeeping ([`run_table`]) and the arithmetic of
//! leases ([`lease_terms`]) are pure as well: they take a state and a time and give decisions.

pub mod advice_request;
mod apply_jobs;
mod apply_runs;
mod apply_workers;
pub mod capacity_map;
mod disruption_budget;
pub mod graph_state;
pub mod job_id;
pub mod job_spec;
pub mod job_state;
pub mod job_terms;
pub mod lease_terms;
pub mod plan_round;
pub mod progress_watch;
pub mod reclaim;
pub mod record;
pub mod refusal;
pub mod resource_amounts;
pub mod run_table;
pub mod slow_worker_migration;
pub mod speed_watch;
pub mod step_advice;
pub mod step_queue;
pub mod task_key;
pub mod throttle_control;
pub mod worker;
