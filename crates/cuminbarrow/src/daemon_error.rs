//! Errors that end a daemon.

use std::path::PathBuf;

use cuminbarrow_agent::agent_daemon::AgentError;
use cuminbarrow_agent::agent_settings::AgentSettingsError;
use cuminbarrow_entry::entry_daemon::EntryError;
use cuminbarrow_entry::entry_settings::EntrySettingsError;
use cuminbarrow_platform::process_error::ProcessError;
use cuminbarrow_requests::request_limits::RequestLimitsError;
use cuminbarrow_telemetry::log_setup::LogSetupError;
use snafu::Snafu;

use crate::settings_file::SettingsFileError;

/// Error that ends a daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// The agent failed.
    #[snafu(display("{source}"))]
    Agent {
        /// Underlying error.
        source: AgentError,
    },
    /// The agent's settings file parses, but its values are invalid.
    #[snafu(display("{}: {source}", path.display()))]
    AgentSettings {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: AgentSettingsError,
    },
    /// The entry failed.
    #[snafu(display("{source}"))]
    Entry {
        /// Underlying error.
        source: EntryError,
    },
    /// The entry's settings file parses, but its values are invalid.
    #[snafu(display("{}: {source}", path.display()))]
    EntrySettings {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: EntrySettingsError,
    },
    /// The logger could not be set up.
    #[snafu(display("{source}"))]
    LogSetup {
        /// Underlying error.
        source: LogSetupError,
    },
    /// The operating system refused threads, a listener or signal handlers.
    #[snafu(display("{action}: {source}"))]
    Os {
        /// What failed, such as "cannot listen".
        action: &'static str,
        /// Underlying error.
        source: std::io::Error,
    },
    /// A daemon on the users' platform failed.
    #[snafu(display("{source}"))]
    Platform {
        /// Underlying error.
        source: ProcessError,
    },
    /// The settings file of a daemon on the users' platform parses, but its values don't fit each other.
    #[snafu(display("{}: {source}", path.display()))]
    PlatformSettings {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: RequestLimitsError,
    },
    /// The settings file could not be read or parsed.
    #[snafu(display("{source}"))]
    Settings {
        /// Underlying error.
        source: SettingsFileError,
    },
}
