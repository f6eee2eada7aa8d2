//! Domain types of the scheduler: teams, jobs, shapes, workers and their topology.
//!
//! All types are plain data without a clock or I/O, and the other packages share them. Types that
//! are stored in the log or sent between processes derive serde and are encoded by position, so
//! new variants and fields must be added at the end.

pub mod accelerator_set;
pub mod attempt;
pub mod digest;
pub mod job;
pub mod keys;
pub mod placement_preview;
pub mod resources;
pub mod shape;
pub mod sheet;
pub mod team;
pub mod topology;
pub mod worker;
