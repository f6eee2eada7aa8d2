//! What the platform gives, as traits: the append-only log service and the workers.
//!
//! The HTTP clients here speak to any platform that offers the resources in
//! `docs/design/platform.md`; a real platform's own client takes their place by implementing the
//! same traits.

pub mod http_client;
pub mod http_log;
pub mod http_worker;
pub mod log_store;
pub mod retry_budget;
pub mod worker_control;
