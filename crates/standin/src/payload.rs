//! Instructions to the stand-in's workers in a job's payload: `key=value` pairs separated by
//! commas.

/// Instructions of a payload. Unknown parts are ignored here and only appear in the result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Payload {
    /// Actual run time, in ms; defaults to the declared run time.
    pub(crate) run_ms: Option<u64>,
    /// Size of the result, in bytes; by default the result is the payload and a semicolon.
    pub(crate) result_bytes: Option<usize>,
    /// Whether the task fails at the end of its run time.
    pub(crate) fails: bool,
}

impl Payload {
    pub(crate) fn parse(text: &str) -> Self {
        let mut payload = Self::default();
        for pair in text.split(',') {
            match pair.split_once('=') {
                Some(("bytes", value)) => payload.result_bytes = value.parse().ok(),
                Some(("fail", value)) => payload.fails = value == "true",
                Some(("run_ms", value)) => payload.run_ms = value.parse().ok(),
                None | Some(_) => {}
            }
        }
        payload
    }
}

/// Result of a member's task: the payload and a semicolon. If the payload requests a size, they are
/// repeated and cut to it.
pub(crate) fn task_result(text: &str) -> Vec<u8> {
    let line = format!("{text};");
    match Payload::parse(text).result_bytes {
        None => line.into_bytes(),
        Some(bytes) => line.bytes().cycle().take(bytes).collect(),
    }
}
