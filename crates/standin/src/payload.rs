//! What a payload tells the stand-in's workers to do: `key=value` pairs separated by commas.

/// Instructions of a payload. Anything else in it is passed over and only echoed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Payload {
    /// Real run time, in ms; the declared one where it is missing.
    pub(crate) run_ms: Option<u64>,
    /// Size of the result, in bytes; the payload itself where it is missing.
    pub(crate) result_bytes: Option<usize>,
    /// Whether the task fails at its end.
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

/// Result of a member's task: the payload, repeated to the size asked for.
pub(crate) fn task_result(text: &str) -> Vec<u8> {
    let line = format!("{text};");
    match Payload::parse(text).result_bytes {
        None => line.into_bytes(),
        Some(bytes) => line.bytes().cycle().take(bytes).collect(),
    }
}
