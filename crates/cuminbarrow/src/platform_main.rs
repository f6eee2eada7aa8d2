//! Main functions of the entry and agent daemons that run on the users' platform.

use std::path::Path;
use std::process::ExitCode;

use cuminbarrow_platform::agent_process;
use cuminbarrow_platform::entry_process;
use cuminbarrow_platform::settings::AgentSettings;
use cuminbarrow_platform::settings::CheckedSettings;
use cuminbarrow_platform::settings::EntrySettings;
use cuminbarrow_telemetry::log_settings::LogSettings;
use cuminbarrow_telemetry::log_setup;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::runtime::Runtime;

use crate::daemon_error::DaemonError;
use crate::daemon_error::LogSetupSnafu;
use crate::daemon_error::OsSnafu;
use crate::daemon_error::PlatformSettingsSnafu;
use crate::daemon_error::PlatformSnafu;
use crate::daemon_error::SettingsSnafu;
use crate::daemon_options::DaemonOptions;
use crate::daemon_options::daemon_options;
use crate::daemon_options::exit_code;
use crate::settings_file;
use crate::shutdown_signal::reload_signal;
use crate::shutdown_signal::shutdown_signal;

/// Runs the entry daemon until it receives SIGTERM or SIGINT.
pub fn entry() -> ExitCode {
    exit_code(run_entry(&daemon_options().run()))
}

/// Runs the agent daemon until it receives SIGTERM or SIGINT.
pub fn agent() -> ExitCode {
    exit_code(run_agent(&daemon_options().run()))
}

fn run_entry(options: &DaemonOptions) -> Result<(), DaemonError> {
    let Some(settings) = settings::<EntrySettings>(options)? else { return Ok(()) };
    let runtime = start_runtime(settings.log)?;
    runtime.block_on(async {
        watch_settings(&options.config)?;
        entry_process::run(settings, shutdown_signal()?).await.context(PlatformSnafu)
    })
}

fn run_agent(options: &DaemonOptions) -> Result<(), DaemonError> {
    let Some(settings) = settings::<AgentSettings>(options)? else { return Ok(()) };
    let runtime = start_runtime(settings.log)?;
    runtime.block_on(async {
        watch_settings(&options.config)?;
        agent_process::run(settings, shutdown_signal()?).await.context(PlatformSnafu)
    })
}

/// Reads the settings file. Returns `None` if the settings were only to be checked.
fn settings<T>(options: &DaemonOptions) -> Result<Option<T>, DaemonError>
where
    T: CheckedSettings + DeserializeOwned,
{
    let settings: T = settings_file::read(&options.config).context(SettingsSnafu)?;
    settings.check().context(PlatformSettingsSnafu { path: &options.config })?;
    if options.check {
        println!("{}: the settings are valid", options.config.display());
        return Ok(None);
    }
    Ok(Some(settings))
}

/// Sets up the logger and a runtime. The runtime has a single thread because the platform gives
/// these processes only a fraction of a core.
fn start_runtime(log: LogSettings) -> Result<Runtime, DaemonError> {
    log_setup::set_up(log).context(LogSetupSnafu)?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(OsSnafu { action: "cannot start the runtime" })
}

/// Logs each SIGHUP, which announces a changed settings file. The settings are not reloaded:
/// addresses and limits are fixed at startup, so a change takes effect at the next start.
fn watch_settings(path: &Path) -> Result<(), DaemonError> {
    let mut reload = reload_signal()?;
    let path = path.to_owned();
    tokio::spawn(async move {
        while reload.recv().await.is_some() {
            log::info!(path = path.display().to_string(); "the settings file changed; the new settings take effect at the next start");
        }
    });
    Ok(())
}
