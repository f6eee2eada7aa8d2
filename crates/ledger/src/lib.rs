//! The replicated state: a deterministic function of the records in the log.
//!
//! [`state::State::apply`] is pure and total: no clock, no I/O, no random numbers and no
//! iteration in hash order. A record whose precondition fails changes nothing and gives a typed
//! [`refusal::Refusal`], so that the first of two racing writers in log order wins and every
//! replica agrees. The `log_*` modules write batches to the log service and follow it.

pub mod apply;
mod apply_ends;
mod apply_placements;
mod apply_planner;
mod apply_sheet;
mod apply_submissions;
mod apply_workers;
pub mod batch;
pub mod capacity_sample;
pub mod codec;
pub mod invariants;
pub mod job_state;
pub mod log_tail;
pub mod log_writer;
pub mod pack;
pub mod past_attempt;
pub mod record;
pub mod refusal;
pub mod replicated_state;
pub mod reservation;
pub mod run_estimate;
pub mod sheet_preview;
pub mod snapshot;
pub mod state;
pub mod team_commitment;
pub mod usage_account;
pub mod worker_state;
