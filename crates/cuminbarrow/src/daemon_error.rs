//! Why a daemon ends.

use std::path::PathBuf;

use cuminbarrow_agent::agent_daemon::AgentError;
use cuminbarrow_agent::agent_settings::AgentSettingsError;
use cuminbarrow_entry::entry_daemon::EntryError;
use cuminbarrow_entry::entry_settings::EntrySettingsError;
use cuminbarrow_platform::process_error::ProcessError;
use cuminbarrow_telemetry::log_setup::LogSetupError;
use snafu::Snafu;

use crate::settings_file::SettingsFileError;

/// Why a daemon ends.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// The agent failed.
    #[snafu(display("{source}"))]
    Agent {
        /// Cause.
        source: AgentError,
    },
    /// The agent's settings are wrong.
    #[snafu(display("{}: {source}", path.display()))]
    AgentSettings {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: AgentSettingsError,
    },
    /// The entry failed.
    #[snafu(display("{source}"))]
    Entry {
        /// Cause.
        source: EntryError,
    },
    /// The entry's settings are wrong.
    #[snafu(display("{}: {source}", path.display()))]
    EntrySettings {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: EntrySettingsError,
    },
    /// The log could not be set up.
    #[snafu(display("{source}"))]
    LogSetup {
        /// Cause.
        source: LogSetupError,
    },
    /// The runtime, a listener or the signals failed.
    #[snafu(display("{action}: {source}"))]
    Os {
        /// What was tried.
        action: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// A process on the users' platform failed.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: ProcessError,
    },
    /// The settings can't be read.
    #[snafu(display("{source}"))]
    Settings {
        /// Cause.
        source: SettingsFileError,
    },
}
