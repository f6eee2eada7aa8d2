//! Placement policies: pure planning over the replicated state.
//!
//! A policy proposes; `State::apply` disposes. Nothing here has a clock, does I/O or draws random
//! numbers, so that the same state gives the same plan.

pub mod first_fit;
pub mod placement_policy;
pub mod room_overlay;
