//! Sets up the process's logger: JSON lines on standard output, or text on standard error.

use std::collections::BTreeMap;

use fern::Output;
use log::LevelFilter;
use log::Record;
use log::kv::Error as KvError;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::line_queue::Admission;
use crate::line_queue::LineQueue;
use crate::log_settings::LogFormat;
use crate::log_settings::LogLevel;
use crate::log_settings::LogSettings;
use crate::wall_clock::wall_ms;

/// Error of setting up the logger.
#[derive(Debug, Snafu)]
pub enum LogSetupError {
    /// The process already has a logger.
    #[snafu(display("the logger of this process is already set up"))]
    AlreadySetUp {
        /// Underlying error.
        source: log::SetLoggerError,
    },
}

/// A log record as written in the JSON format.
#[derive(Serialize)]
struct JsonLine<'a> {
    at_ms: u64,
    level: &'a str,
    target: &'a str,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<String, serde_json::Value>,
}

/// Sets up the logger of this process.
///
/// # Errors
/// [`LogSetupError`] if the process already has a logger.
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
    match settings.format {
        LogFormat::Json => {
            let queue = LineQueue::to_stdout();
            let output = Output::call(move |record| write_json(&queue, record));
            dispatch.chain(output).apply().context(AlreadySetUpSnafu)
        }
        LogFormat::Text => dispatch
            .format(|out, message, record| {
                let (at_ms, level) = (wall_ms(), record.level());
                let fields = fields_as_text(record);
                let target = record.target();
                out.finish(format_args!("{at_ms} {level:5} {target} {message}{fields}"));
            })
            .chain(std::io::stderr())
            .apply()
            .context(AlreadySetUpSnafu),
    }
}

/// Queues a record as JSON, followed by a summary if lines were dropped before it.
fn write_json(queue: &LineQueue, record: &Record<'_>) {
    let call_site = (record.module_path_static().unwrap_or(""), record.line().unwrap_or(0));
    let dropped = match queue.admit(call_site, wall_ms()) {
        Admission::Drop => return,
        Admission::Write => 0,
        Admission::WriteWithSummary(dropped) => dropped,
    };
    let lost = queue.push(json_line(record));
    if lost + u64::from(dropped) > 0 {
        queue.push(summary_line(record.target(), call_site.1, dropped, lost));
    }
}

/// A warning that reports how many lines were dropped by the rate limit (`dropped`) and by the full
/// queue (`lost`).
fn summary_line(target: &str, code_line: u32, dropped: u32, lost: u64) -> String {
    let line = serde_json::json!({
        "at_ms": wall_ms(),
        "level": "WARN",
        "target": target,
        "message": "lines were dropped",
        "code_line": code_line,
        "dropped_of_this_kind": dropped,
        "lost_of_all_kinds": lost,
    });
    line.to_string()
}

fn json_line(record: &Record<'_>) -> String {
    let line = JsonLine {
        at_ms: wall_ms(),
        level: record.level().as_str(),
        target: record.target(),
        message: record.args().to_string(),
        fields: collect_fields(record),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

fn fields_as_text(record: &Record<'_>) -> String {
    let fields = collect_fields(record).into_iter();
    fields.map(|(key, value)| format!(" {key}={value}")).collect()
}

/// Key-value pairs of a record, as JSON values.
fn collect_fields(record: &Record<'_>) -> BTreeMap<String, serde_json::Value> {
    let mut fields = FieldCollector(BTreeMap::new());
    // `FieldCollector::visit_pair` never fails.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Collects the key-value pairs of a record; values without a JSON form become strings.
struct FieldCollector(BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let text = || serde_json::Value::String(value.to_string());
        let value = serde_json::to_value(&value).unwrap_or_else(|_| text());
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
