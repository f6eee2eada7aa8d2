//! Settings of the logger.

use serde::Deserialize;
use serde::Serialize;

/// Output format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line, on standard output.
    Json,
    /// Plain text on standard error.
    #[default]
    Text,
}

/// Lowest severity that is logged. Records of other projects' crates are never logged below
/// warning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// All records down to debug; trace records are never logged.
    Debug,
    /// Errors only.
    Error,
    /// Scheduling decisions, warnings and errors.
    #[default]
    Info,
    /// Warnings and errors.
    Warn,
}

/// Settings of the logger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest severity that is logged.
    pub level: LogLevel,
    /// Output format.
    pub format: LogFormat,
}
