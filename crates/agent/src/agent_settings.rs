//! Settings of an agent.

use std::net::SocketAddr;

use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::topology::Location;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_telemetry::log_settings::LogSettings;
use serde::Deserialize;
use smol_str::SmolStr;
use snafu::Snafu;
use snafu::ensure;

use crate::gang_timing::GangTiming;

/// Why settings that can be read are still wrong.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum AgentSettingsError {
    /// No entry is named.
    #[snafu(display("entries: at least one address is needed"))]
    NoEntries,
    /// The lease leaves no time for a second try.
    #[snafu(display("timing: renew_ms {renew_ms} must be at most half of lease_ms {lease_ms}"))]
    RenewalTooSlow {
        /// Time between renewals.
        renew_ms: u64,
        /// Lease.
        lease_ms: u64,
    },
    /// A session would end before a heartbeat is missed.
    #[snafu(display(
        "session_timeout_ms {timeout_ms} must be at least twice heartbeat_ms {heartbeat_ms}"
    ))]
    TimeoutTooShort {
        /// Timeout.
        timeout_ms: u64,
        /// Time between heartbeats.
        heartbeat_ms: u64,
    },
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the worker, unique in the deployment.
    pub worker: SmolStr,
    /// Where the worker stands.
    pub location: Location,
    /// What the worker has.
    pub capacity: Resources,
    /// Address to listen on for other agents.
    pub listen: SocketAddr,
    /// Where other agents reach this one, when that is another address.
    pub advertise: Option<SocketAddr>,
    /// Where monitoring reaches it.
    pub probe_listen: Option<SocketAddr>,
    /// Entries of this region, in order of preference.
    pub entries: Vec<SocketAddr>,
    /// The platform's workers, such as `http://127.0.0.1:7400`.
    pub platform: String,
    /// Key of the system's own processes.
    pub shared_key: SharedKey,
    /// Time between heartbeats to the entry, in ms.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time without a word from the entry after which another is asked, in ms.
    #[serde(default = "default_session_timeout_ms")]
    pub session_timeout_ms: u64,
    /// Longest time that running work may take at a shutdown, in ms.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Times of the gang protocol.
    #[serde(default)]
    pub timing: GangTiming,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

impl AgentSettings {
    /// Checks what the types can't say.
    ///
    /// # Errors
    /// [`AgentSettingsError`] names the key at fault.
    pub fn check(&self) -> Result<(), AgentSettingsError> {
        ensure!(!self.entries.is_empty(), NoEntriesSnafu);
        let GangTiming { lease_ms, renew_ms, .. } = self.timing;
        ensure!(renew_ms * 2 <= lease_ms, RenewalTooSlowSnafu { renew_ms, lease_ms });
        let (timeout_ms, heartbeat_ms) = (self.session_timeout_ms, self.heartbeat_ms);
        let is_patient = heartbeat_ms * 2 <= timeout_ms;
        ensure!(is_patient, TimeoutTooShortSnafu { timeout_ms, heartbeat_ms });
        Ok(())
    }
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
