//! Settings of an entry.

use std::net::SocketAddr;

use cuminbarrow_model::digest::Digest;
use cuminbarrow_protocol::link_limits::LinkLimits;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_requests::request_limits::ENTRY_MEMORY_MB;
use cuminbarrow_requests::request_limits::RequestLimits;
use cuminbarrow_requests::request_limits::RequestLimitsError;
use cuminbarrow_telemetry::log_settings::LogSettings;
use serde::Deserialize;
use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::api_server::MAX_BODY_BYTES;

/// Errors in settings that parse but are invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum EntrySettingsError {
    /// The digest of a token is not 64 hexadecimal digits.
    #[snafu(display("tokens: {name:?} needs token_sha256 with 64 hexadecimal digits"))]
    BadDigest {
        /// The token's name.
        name: SmolStr,
    },
    /// A token of role `team` has no team, or an operator's token has one.
    #[snafu(display("tokens: {name:?} needs team with role team, and no team with operator"))]
    BadRole {
        /// The token's name.
        name: SmolStr,
    },
    /// There is no token, so nobody could use the entry.
    #[snafu(display("tokens: at least one token is needed"))]
    NoTokens,
    /// The limits of requests or links don't fit each other or the memory.
    #[snafu(display("{source}"))]
    Requests {
        /// Cause.
        source: RequestLimitsError,
    },
    /// `max_removed_permille` is above 1000.
    #[snafu(display("max_removed_permille {permille} must be at most 1000"))]
    ShareTooLarge {
        /// Configured value.
        permille: u16,
    },
}

/// Placement policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// First fit without guarantees, as a baseline.
    FirstFit,
    /// Honours guarantees, lends idle reservations and reclaims them.
    #[default]
    Guaranteed,
}

/// Objective that the policy weights more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyGoal {
    /// Prefers short completion times.
    #[default]
    Completion,
    /// Prefers low fragmentation.
    Fragmentation,
}

/// Permissions that a token grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenRole {
    /// Access to all teams and to operator requests.
    Operator,
    /// Submitting, reading and cancelling the jobs of one team.
    Team(SmolStr),
}

/// Role as written in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleName {
    /// Operator.
    Operator,
    /// Caller of the team in the key `team`.
    Team,
}

/// Token of a caller or operator; only its digest is stored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenSettings {
    /// Name in logs and in the audit trail.
    pub name: SmolStr,
    /// SHA-256 of the token, in hexadecimal digits.
    pub token_sha256: SmolStr,
    /// Role that the token grants.
    pub role: RoleName,
    /// Team of the caller, if the role is `team`.
    #[serde(default)]
    pub team: Option<SmolStr>,
}

impl TokenSettings {
    /// Returns the permissions that the token grants.
    ///
    /// # Errors
    /// [`EntrySettingsError::BadRole`] if role `team` has no team or an operator has one.
    pub fn role(&self) -> Result<TokenRole, EntrySettingsError> {
        match (self.role, &self.team) {
            (RoleName::Operator, None) => Ok(TokenRole::Operator),
            (RoleName::Team, Some(team)) => Ok(TokenRole::Team(team.clone())),
            (RoleName::Operator, Some(_)) | (RoleName::Team, None) => {
                BadRoleSnafu { name: self.name.clone() }.fail()
            }
        }
    }

    /// Returns the digest of the token.
    ///
    /// # Errors
    /// [`EntrySettingsError::BadDigest`] if the text is not a SHA-256 digest.
    pub fn digest(&self) -> Result<Digest, EntrySettingsError> {
        let name = self.name.clone();
        Digest::from_hex(&self.token_sha256).context(BadDigestSnafu { name })
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Region of the entry.
    pub region: SmolStr,
    /// Listen address of the HTTP API for callers and operators.
    pub listen: SocketAddr,
    /// Listen address of health probes and metrics, with connections of their own.
    #[serde(default)]
    pub probe_listen: Option<SocketAddr>,
    /// Listen address for links from agents and other entries.
    pub link_listen: SocketAddr,
    /// URL of the platform's log service, such as `http://127.0.0.1:7400`.
    pub platform: String,
    /// Key that authenticates links between this system's processes.
    pub shared_key: SharedKey,
    /// Tokens of callers and operators.
    pub tokens: Vec<TokenSettings>,
    /// Region of the log service. In any other region, one entry reads the log and relays it to the
    /// region's other entries. If unset, each entry reads the log directly.
    #[serde(default)]
    pub log_region: Option<SmolStr>,
    /// Other entries that provide the state at startup while the log is unavailable.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Timeout of calls to the log service, in ms.
    #[serde(default = "default_log_timeout_ms")]
    pub log_timeout_ms: u64,
    /// Timeout for a change to be written to the log and applied, in ms.
    #[serde(default = "default_write_timeout_ms")]
    pub write_timeout_ms: u64,
    /// Time without a message from an agent after which its session ends, in ms. Entries that don't
    /// answer pings and workers without a registered entry count as lost after the same time.
    #[serde(default = "default_session_timeout_ms")]
    pub session_timeout_ms: u64,
    /// Time without a record from the planner after which another entry claims the role, in ms.
    #[serde(default = "default_planner_timeout_ms")]
    pub planner_timeout_ms: u64,
    /// Number of log batches between snapshots.
    #[serde(default = "default_snapshot_batches")]
    pub snapshot_batches: u64,
    /// Maximum time that a shutdown waits for requests in flight, in ms.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Maximum share of teams and guarantees that a sheet may remove unless its request sets
    /// `allow_removals`, in thousandths.
    #[serde(default = "default_max_removed_permille")]
    pub max_removed_permille: u16,
    /// Sustained rate of submissions that each team may make, per second.
    #[serde(default = "default_team_rate")]
    pub team_submissions_per_s: u32,
    /// Maximum number of requests served concurrently.
    #[serde(default = "default_max_requests")]
    pub max_requests: usize,
    /// Memory that the process may use, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Limits of the requests that are served; the defaults that fit the memory if they are not set.
    #[serde(default)]
    pub requests: Option<RequestLimits>,
    /// Limits of links that have not proved possession of the key.
    #[serde(default)]
    pub links: LinkLimits,
    /// Placement policy.
    #[serde(default)]
    pub policy: PolicyName,
    /// Objective that the policy weights more.
    #[serde(default)]
    pub goal: PolicyGoal,
    /// Format and level of the process's own log output.
    #[serde(default)]
    pub log: LogSettings,
}

impl EntrySettings {
    /// Whether the log service is in another region.
    pub(crate) fn is_log_in_other_region(&self) -> bool {
        self.log_region.as_ref().is_some_and(|region| *region != self.region)
    }

    /// Checks constraints that the types don't enforce.
    ///
    /// # Errors
    /// [`EntrySettingsError`] names the invalid key.
    pub fn check(&self) -> Result<(), EntrySettingsError> {
        ensure!(!self.tokens.is_empty(), NoTokensSnafu);
        for token in &self.tokens {
            token.digest()?;
            token.role()?;
        }
        let permille = self.max_removed_permille;
        ensure!(permille <= 1_000, ShareTooLargeSnafu { permille });
        self.links.check().context(RequestsSnafu)?;
        self.request_limits().check(self.memory_mb, MAX_BODY_BYTES as u64).context(RequestsSnafu)
    }

    /// Limits of the requests that are served.
    pub(crate) fn request_limits(&self) -> RequestLimits {
        RequestLimits::configured(self.requests.as_ref(), self.memory_mb)
    }
}

fn default_memory_mb() -> u64 {
    ENTRY_MEMORY_MB
}

fn default_log_timeout_ms() -> u64 {
    2_000
}

fn default_write_timeout_ms() -> u64 {
    5_000
}

fn default_session_timeout_ms() -> u64 {
    15_000
}

fn default_planner_timeout_ms() -> u64 {
    5_000
}

fn default_snapshot_batches() -> u64 {
    5_000
}

fn default_drain_ms() -> u64 {
    15_000
}

fn default_max_removed_permille() -> u16 {
    200
}

fn default_team_rate() -> u32 {
    50
}

fn default_max_requests() -> usize {
    2_000
}
