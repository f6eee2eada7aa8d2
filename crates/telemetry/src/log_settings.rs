//! Settings of the log.

use serde::Deserialize;
use serde::Serialize;

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Plain text.
    #[default]
    Text,
}

/// Least severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Errors only.
    Error,
    /// Decisions and above.
    #[default]
    Info,
    /// Warnings and errors.
    Warn,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severity.
    pub level: LogLevel,
    /// Form of a line.
    pub format: LogFormat,
}
