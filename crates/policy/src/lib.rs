//! Placement policies: pure planning over the replicated state.
//!
//! A policy proposes; `State::apply` disposes. Nothing here has a clock, does I/O or draws random
//! numbers, so that the same state gives the same plan.

mod claim_table;
pub mod first_fit;
pub mod guaranteed;
mod large_shield;
pub mod placement_policy;
mod plan_round;
pub mod policy_weights;
mod queue_order;
mod room_overlay;
mod victim_choice;
