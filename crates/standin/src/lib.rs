//! A stand-in for the platform, for tests and the demo: a log service and workers, in memory,
//! which can be told to misbehave.

pub mod fault_proxy;
pub mod log_service;
pub mod payload;
pub mod platform_server;
pub mod worker_fleet;
