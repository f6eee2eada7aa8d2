//! Logging, metrics and probe endpoints of the daemons.

mod line_queue;
pub mod log_settings;
pub mod log_setup;
pub mod meter_registry;
pub mod probe_router;
pub mod probe_server;
pub mod request_metrics;
pub mod wall_clock;
