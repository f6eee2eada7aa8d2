//! Stand-ins of the platform for the cases of the second review, with the standard library only.
//!
//! They follow the users' pages: a store with a log, workers, callers, and the machines on which the
//! project's own programs run as separate processes.

#![allow(dead_code)]

pub mod deployment;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
pub mod worker;
