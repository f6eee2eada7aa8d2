//! An in-memory stand-in for the platform, for tests and the demo: a log service and workers into
//! which faults can be injected, and a TCP proxy that injects network faults.

pub mod fault_proxy;
pub mod log_service;
pub mod payload;
pub mod platform_server;
pub mod worker_fleet;
