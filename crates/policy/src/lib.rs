//! Placement policies, which plan on the replicated state.
//!
//! A policy only proposes decisions; `State::apply` accepts or refuses them. A policy reads no
//! clock, does no I/O and draws no random numbers, so that the same state gives the same plan.

mod capacity_overlay;
mod claim_table;
pub mod first_fit;
pub mod guaranteed;
pub mod placement_policy;
mod plan_round;
pub mod planned_start;
pub mod policy_weights;
mod queue_order;
mod victim_selection;
