//! Settings of an entry.

use std::net::SocketAddr;

use cuminbarrow_model::digest::Digest;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_telemetry::log_settings::LogSettings;
use serde::Deserialize;
use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

/// Why settings that can be read are still wrong.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum EntrySettingsError {
    /// A token's digest is not one.
    #[snafu(display("tokens: {name:?} needs token_sha256 with 64 hexadecimal digits"))]
    BadDigest {
        /// The token's name.
        name: SmolStr,
    },
    /// Role and team do not go together.
    #[snafu(display("tokens: {name:?} needs team with role team, and no team with operator"))]
    BadRole {
        /// The token's name.
        name: SmolStr,
    },
    /// Nobody could use the entry.
    #[snafu(display("tokens: at least one token is needed"))]
    NoTokens,
    /// The share is no share.
    #[snafu(display("max_removed_permille {permille} must be at most 1000"))]
    ShareTooLarge {
        /// Its value.
        permille: u16,
    },
}

/// Which policy places jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The baseline.
    FirstFit,
    /// Guarantees, lending and reclaim.
    #[default]
    Guaranteed,
}

/// What the deployment weighs more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyGoal {
    /// Completion time goes first.
    #[default]
    Completion,
    /// Low fragmentation goes first.
    Fragmentation,
}

/// What a token lets its bearer do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenRole {
    /// Act on everything.
    Operator,
    /// Submit, see and cancel jobs of one team.
    Team(SmolStr),
}

/// Kind of role, as settings name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleName {
    /// An operator.
    Operator,
    /// A caller of the team that `team` names.
    Team,
}

/// A token, by its digest.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenSettings {
    /// Name in logs and in the audit.
    pub name: SmolStr,
    /// SHA-256 of the token, in hexadecimal digits.
    pub token_sha256: SmolStr,
    /// What it allows.
    pub role: RoleName,
    /// The team, where the role is `team`.
    #[serde(default)]
    pub team: Option<SmolStr>,
}

impl TokenSettings {
    /// What the token allows.
    ///
    /// # Errors
    /// [`EntrySettingsError::BadRole`] when role and team do not go together.
    pub fn role(&self) -> Result<TokenRole, EntrySettingsError> {
        match (self.role, &self.team) {
            (RoleName::Operator, None) => Ok(TokenRole::Operator),
            (RoleName::Team, Some(team)) => Ok(TokenRole::Team(team.clone())),
            (RoleName::Operator, Some(_)) | (RoleName::Team, None) => {
                BadRoleSnafu { name: self.name.clone() }.fail()
            }
        }
    }

    /// The digest.
    ///
    /// # Errors
    /// [`EntrySettingsError::BadDigest`] when the text is none.
    pub fn digest(&self) -> Result<Digest, EntrySettingsError> {
        let name = self.name.clone();
        Digest::from_hex(&self.token_sha256).context(BadDigestSnafu { name })
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Region that the entry stands in.
    pub region: SmolStr,
    /// Where callers and operators reach it.
    pub listen: SocketAddr,
    /// Where agents and other entries reach it.
    pub link_listen: SocketAddr,
    /// The platform's log service, such as `http://127.0.0.1:7400`.
    pub platform: String,
    /// Key of the system's own processes.
    pub shared_key: SharedKey,
    /// Tokens of callers and operators.
    pub tokens: Vec<TokenSettings>,
    /// Region that the log service stands in. Entries of another region read the log through one
    /// of them; without this, each entry reads it itself.
    #[serde(default)]
    pub log_region: Option<SmolStr>,
    /// Other entries to ask for the state while the log is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Timeout of a call to the log service, in ms.
    #[serde(default = "default_log_timeout_ms")]
    pub log_timeout_ms: u64,
    /// Longest time that a change may take to be in the log, in ms.
    #[serde(default = "default_write_timeout_ms")]
    pub write_timeout_ms: u64,
    /// Time without a word from an agent after which it counts as lost, in ms.
    #[serde(default = "default_session_timeout_ms")]
    pub session_timeout_ms: u64,
    /// Time without a record of the planner after which another entry takes over, in ms.
    #[serde(default = "default_planner_timeout_ms")]
    pub planner_timeout_ms: u64,
    /// Batches between snapshots.
    #[serde(default = "default_snapshot_batches")]
    pub snapshot_batches: u64,
    /// Longest time that a shutdown waits for requests in flight, in ms.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Largest share of teams and guarantees that a sheet may remove without being told so, in
    /// thousandths.
    #[serde(default = "default_max_removed_permille")]
    pub max_removed_permille: u16,
    /// Submissions a second that a team may make, over any longer time.
    #[serde(default = "default_team_rate")]
    pub team_submissions_per_s: u32,
    /// Requests served at once.
    #[serde(default = "default_max_requests")]
    pub max_requests: usize,
    /// Policy that places jobs.
    #[serde(default)]
    pub policy: PolicyName,
    /// What the policy weighs more.
    #[serde(default)]
    pub goal: PolicyGoal,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

impl EntrySettings {
    /// Whether the log service stands in another region.
    pub(crate) fn is_log_in_other_region(&self) -> bool {
        self.log_region.as_ref().is_some_and(|region| *region != self.region)
    }

    /// Checks what the types can't say.
    ///
    /// # Errors
    /// [`EntrySettingsError`] names the key at fault.
    pub fn check(&self) -> Result<(), EntrySettingsError> {
        ensure!(!self.tokens.is_empty(), NoTokensSnafu);
        for token in &self.tokens {
            token.digest()?;
            token.role()?;
        }
        let permille = self.max_removed_permille;
        ensure!(permille <= 1_000, ShareTooLargeSnafu { permille });
        Ok(())
    }
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
