//! Resources that the platform provides, as traits: the append-only log service and the workers.
//!
//! The HTTP clients here work with any platform that offers the interface in
//! `docs/design/platform.md`. A platform with another interface needs a client of its own that
//! implements the same traits.

pub mod http_client;
pub mod http_log;
pub mod http_worker;
pub mod log_store;
pub mod retry_budget;
pub mod worker_control;
