//! Settings of the agent.

use std::net::SocketAddr;

use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::topology::Location;
use cuminbarrow_protocol::link_limits::LinkLimits;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_requests::request_limits::AGENT_MEMORY_MB;
use cuminbarrow_requests::request_limits::RequestLimits;
use cuminbarrow_requests::request_limits::RequestLimitsError;
use cuminbarrow_telemetry::log_settings::LogSettings;
use serde::Deserialize;
use smol_str::SmolStr;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::gang_timing::GangTiming;

/// Why settings are invalid, although they parse.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum AgentSettingsError {
    /// The limits of requests or links don't fit each other or the memory.
    #[snafu(display("{source}"))]
    Requests {
        /// Cause.
        source: RequestLimitsError,
    },
    /// The list of entries is empty.
    #[snafu(display("entries: at least one address is needed"))]
    NoEntries,
    /// The lease is too short for a second renewal after a failed one.
    #[snafu(display("timing: renew_ms {renew_ms} must be at most half of lease_ms {lease_ms}"))]
    RenewalTooSlow {
        /// Interval between renewals, in ms.
        renew_ms: u64,
        /// Duration of the lease, in ms.
        lease_ms: u64,
    },
    /// The session timeout does not tolerate a missed heartbeat.
    #[snafu(display(
        "session_timeout_ms {timeout_ms} must be at least twice heartbeat_ms {heartbeat_ms}"
    ))]
    TimeoutTooShort {
        /// Session timeout, in ms.
        timeout_ms: u64,
        /// Interval between heartbeats, in ms.
        heartbeat_ms: u64,
    },
}

/// Settings of the agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the worker, unique in the deployment.
    pub worker: SmolStr,
    /// Location of the worker.
    pub location: Location,
    /// Resources of the worker.
    pub capacity: Resources,
    /// Address to listen on for other agents.
    pub listen: SocketAddr,
    /// Address at which other agents reach this one, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Address to listen on for health probes and metrics.
    pub probe_listen: Option<SocketAddr>,
    /// Memory that the process may use, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Limits of the probes that are served; the defaults that fit the memory if they are not set.
    #[serde(default)]
    pub requests: Option<RequestLimits>,
    /// Limits of links that have not proved possession of the key.
    #[serde(default)]
    pub links: LinkLimits,
    /// Entries of this region, in order of preference.
    pub entries: Vec<SocketAddr>,
    /// URL of the platform's worker interface, such as `http://127.0.0.1:7400`.
    pub platform: String,
    /// Key that authenticates links among agents and entries.
    pub shared_key: SharedKey,
    /// Interval between heartbeats to the entry, in ms.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time without a message from the entry after which the agent connects to another, in ms.
    #[serde(default = "default_session_timeout_ms")]
    pub session_timeout_ms: u64,
    /// Longest time that a shutdown waits for running attempts to end, in ms.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Timeouts and intervals of the gang protocol.
    #[serde(default)]
    pub timing: GangTiming,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

impl AgentSettings {
    /// Checks the constraints that deserialization does not.
    ///
    /// # Errors
    /// [`AgentSettingsError`] names the invalid key.
    pub fn check(&self) -> Result<(), AgentSettingsError> {
        ensure!(!self.entries.is_empty(), NoEntriesSnafu);
        let GangTiming { lease_ms, renew_ms, .. } = self.timing;
        ensure!(renew_ms * 2 <= lease_ms, RenewalTooSlowSnafu { renew_ms, lease_ms });
        let (timeout_ms, heartbeat_ms) = (self.session_timeout_ms, self.heartbeat_ms);
        let tolerates_missed_heartbeat = heartbeat_ms * 2 <= timeout_ms;
        ensure!(tolerates_missed_heartbeat, TimeoutTooShortSnafu { timeout_ms, heartbeat_ms });
        self.links.check().context(RequestsSnafu)?;
        // Probes have no body.
        self.request_limits().check(self.memory_mb, 0).context(RequestsSnafu)
    }

    /// Limits of the probes that are served.
    pub(crate) fn request_limits(&self) -> RequestLimits {
        RequestLimits::configured(self.requests.as_ref(), self.memory_mb)
    }
}

fn default_memory_mb() -> u64 {
    AGENT_MEMORY_MB
}

fn default_heartbeat_ms() -> u64 {
    5_000
}

fn default_session_timeout_ms() -> u64 {
    15_000
}

fn default_drain_ms() -> u64 {
    60_000
}
