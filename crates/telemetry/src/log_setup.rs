//! Sets up the log on standard error.

use std::fmt::Arguments;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::Record;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::log_settings::LogFormat;
use crate::log_settings::LogLevel;
use crate::log_settings::LogSettings;

/// Why the log could not be set up.
#[derive(Debug, Snafu)]
pub enum LogSetupError {
    /// It was set up before.
    #[snafu(display("the log was set up before"))]
    SetTwice {
        /// Cause.
        source: log::SetLoggerError,
    },
}

/// One line in JSON.
#[derive(Serialize)]
struct JsonLine<'a> {
    at_ms: u64,
    level: &'a str,
    target: &'a str,
    message: String,
}

/// Sets up the log of this process.
///
/// # Errors
/// [`LogSetupError`] when that was done before.
pub fn set_up(settings: LogSettings) -> Result<(), LogSetupError> {
    let level = match settings.level {
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Warn => LevelFilter::Warn,
    };
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("cuminbarrow", level)
        .filter(move |metadata| {
            metadata.level() <= LevelFilter::Warn || metadata.target().starts_with("cuminbarrow")
        })
        .level(level);
    let dispatch = match settings.format {
        LogFormat::Json => dispatch.format(|out, message, record| {
            out.finish(format_args!("{}", json_line(message, record)));
        }),
        LogFormat::Text => dispatch.format(|out, message, record| {
            let (at_ms, level) = (now_ms(), record.level());
            out.finish(format_args!("{at_ms} {level:5} {} {message}", record.target()));
        }),
    };
    dispatch.chain(std::io::stderr()).apply().context(SetTwiceSnafu)
}

fn json_line(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let line = JsonLine {
        at_ms: now_ms(),
        level: record.level().as_str(),
        target: record.target(),
        message: message.to_string(),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
