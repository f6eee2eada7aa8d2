//! Limits of requests, as in the settings of a process.

use serde::Deserialize;
use snafu::Snafu;
use snafu::ensure;

/// Memory of the smallest entries of a deployment, in MB.
pub const ENTRY_MEMORY_MB: u64 = 160;
/// Memory of an agent in a deployment, in MB.
pub const AGENT_MEMORY_MB: u64 = 128;
/// Largest total size of a request's header fields that the platform allows, in bytes.
pub const MIN_BUFFER_BYTES: usize = 16_384;
/// Memory of a connection beside the read buffer, in bytes: the HTTP library's write buffer of 8 KB,
/// and the state of the task.
const CONNECTION_STATE_BYTES: u64 = 12 * 1024;
/// Most copies of a body at once: as received or decoded, and twice while the log's writer encodes a
/// batch of records.
const BODY_COPIES: u64 = 3;
/// Listeners with `probe_connections`.
const PROBE_LISTENERS: u64 = 2;
const MB: u64 = 1024 * 1024;

/// Limits of the requests that a process serves.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLimits {
    /// Most bytes of request bodies held at once, over all connections.
    pub body_bytes: u64,
    /// Part of `body_bytes` that only small bodies use.
    pub small_part_bytes: u64,
    /// Size up to which a body is small, in bytes.
    pub small_body_bytes: u64,
    /// Minimum rate of a body while more than half of `body_bytes` is held, in bytes a second. A small
    /// body needs no more than the rate at which it ends in time.
    pub min_body_bytes_per_s: u64,
    /// Time limit for a body, in ms.
    pub body_timeout_ms: u64,
    /// Time limit for a client that reads nothing of an answer, in ms.
    pub write_timeout_ms: u64,
    /// Time limit for the header of a request, counted from the previous answer, in ms.
    pub idle_timeout_ms: u64,
    /// Most connections of the main listener.
    pub connections: usize,
    /// Most connections of each listener for readiness or metrics.
    pub probe_connections: usize,
    /// Read buffer of a connection, in bytes. A request's header must fit in.
    pub buffer_bytes: usize,
}

impl Default for RequestLimits {
    /// Several hundred concurrent callers with bodies of a few kilobytes and some of the largest size
    /// stay within these limits. They fit into 128 MB.
    fn default() -> Self {
        Self {
            body_bytes: 12 * MB,
            small_part_bytes: 4 * MB,
            small_body_bytes: 16_384,
            min_body_bytes_per_s: 1_024,
            body_timeout_ms: 3_000,
            write_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
            connections: 512,
            probe_connections: 16,
            buffer_bytes: 20_480,
        }
    }
}

/// A limit that does not fit the others or the memory of the process.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{setting}: {reason}"))]
pub struct RequestLimitsError {
    /// Name of the setting.
    pub setting: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl RequestLimits {
    /// The limits in a process's settings; the defaults that fit its memory if there are none.
    pub fn configured(limits: Option<&Self>, memory_mb: u64) -> Self {
        limits.cloned().unwrap_or_else(|| Self::fitting(memory_mb))
    }

    /// The default limits, lowered where the process has too little memory for them.
    pub fn fitting(memory_mb: u64) -> Self {
        let defaults = Self::default();
        let available = memory_mb.saturating_mul(MB) / 2;
        if defaults.peak_bytes() <= available {
            return defaults;
        }
        // A quarter for connections and the rest for bodies, a third of which is for small ones.
        let connections = available / 4 / defaults.connection_bytes();
        let connections = usize::try_from(connections).unwrap_or(usize::MAX);
        let connections =
            connections.saturating_sub(PROBE_LISTENERS as usize * defaults.probe_connections);
        let body_bytes = available / 4 * 3 / BODY_COPIES;
        Self {
            connections: connections.clamp(1, defaults.connections),
            body_bytes: body_bytes.min(defaults.body_bytes),
            small_part_bytes: (body_bytes / 3).min(defaults.small_part_bytes),
            ..defaults
        }
    }

    /// Most memory that a connection takes, in bytes.
    fn connection_bytes(&self) -> u64 {
        // The HTTP library makes room for another full read in a buffer that is not yet full.
        2 * self.buffer_bytes as u64 + CONNECTION_STATE_BYTES
    }

    /// Checks the limits against each other, the process's memory and its largest body.
    ///
    /// # Errors
    /// [`RequestLimitsError`] names the first setting that does not fit.
    pub fn check(&self, memory_mb: u64, largest_body: u64) -> Result<(), RequestLimitsError> {
        let positive = [
            ("requests.body_timeout_ms", self.body_timeout_ms),
            ("requests.write_timeout_ms", self.write_timeout_ms),
            ("requests.idle_timeout_ms", self.idle_timeout_ms),
            ("requests.connections", self.connections as u64),
            ("requests.probe_connections", self.probe_connections as u64),
        ];
        for (setting, value) in positive {
            ensure!(value > 0, RequestLimitsSnafu { setting, reason: "must be at least 1" });
        }
        ensure!(
            self.buffer_bytes >= MIN_BUFFER_BYTES,
            RequestLimitsSnafu {
                setting: "requests.buffer_bytes",
                reason: format!("must be at least {MIN_BUFFER_BYTES}"),
            }
        );
        ensure!(
            self.small_body_bytes <= self.small_part_bytes,
            RequestLimitsSnafu {
                setting: "requests.small_body_bytes",
                reason: format!("is above small_part_bytes, {}", self.small_part_bytes),
            }
        );
        ensure!(
            self.small_part_bytes.saturating_add(largest_body) <= self.body_bytes,
            RequestLimitsSnafu {
                setting: "requests.body_bytes",
                reason: format!(
                    "must be at least {}: small_part_bytes and the largest body of {largest_body}",
                    self.small_part_bytes.saturating_add(largest_body)
                ),
            }
        );
        let available = memory_mb.saturating_mul(MB) / 2;
        let needed = self.peak_bytes();
        ensure!(
            needed <= available,
            RequestLimitsSnafu {
                setting: "memory_mb",
                reason: format!(
                    "half of {memory_mb} MB is less than the {} MB that requests may take: lower \
                     requests.body_bytes or requests.connections",
                    needed.div_ceil(MB)
                ),
            }
        );
        Ok(())
    }

    /// Most memory that requests take, in bytes.
    pub fn peak_bytes(&self) -> u64 {
        let connections = self.connections as u64 + PROBE_LISTENERS * self.probe_connections as u64;
        self.body_bytes
            .saturating_mul(BODY_COPIES)
            .saturating_add(connections.saturating_mul(self.connection_bytes()))
    }

    /// Largest body that the limits admit, in bytes.
    pub fn largest_body_bytes(&self) -> u64 {
        self.body_bytes.saturating_sub(self.small_part_bytes)
    }
}
