//! Logs and metrics of the daemons.

pub mod log_settings;
pub mod log_setup;
pub mod meter_registry;
pub mod probe_router;
