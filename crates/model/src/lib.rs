//! Domain types of the scheduler: who asks, what is asked for, and where it can run.
//!
//! Everything here is plain data. It has no clock, does no I/O and is shared by every other
//! package. Types that go to the log or the wire derive serde, and their variants and fields are
//! in wire order: new ones come last.

pub mod accelerator_set;
pub mod attempt;
pub mod digest;
pub mod job;
pub mod keys;
pub mod resources;
pub mod shape;
pub mod sheet;
pub mod team;
pub mod topology;
pub mod worker;
