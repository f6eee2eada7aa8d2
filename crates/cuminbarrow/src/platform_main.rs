//! The daemons on the users' platform.

use std::path::Path;
use std::process::ExitCode;

use cuminbarrow_platform::agent_process;
use cuminbarrow_platform::entry_process;
use cuminbarrow_platform::settings::AgentSettings;
use cuminbarrow_platform::settings::EntrySettings;
use cuminbarrow_telemetry::log_settings::LogSettings;
use cuminbarrow_telemetry::log_setup;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::runtime::Runtime;

use crate::daemon_error::DaemonError;
use crate::daemon_error::LogSetupSnafu;
use crate::daemon_error::OsSnafu;
use crate::daemon_error::PlatformSnafu;
use crate::daemon_error::SettingsSnafu;
use crate::daemon_options::DaemonOptions;
use crate::daemon_options::daemon_options;
use crate::daemon_options::exit_code;
use crate::settings_file;
use crate::shutdown_signal::reload_signal;
use crate::shutdown_signal::shutdown_signal;

/// Runs the entry.
pub fn entry() -> ExitCode {
    exit_code(run_entry(&daemon_options().run()))
}

/// Runs the agent.
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

/// The settings; nothing where they were only to be checked.
fn settings<T>(options: &DaemonOptions) -> Result<Option<T>, DaemonError>
where
    T: DeserializeOwned,
{
    let settings = settings_file::read(&options.config).context(SettingsSnafu)?;
    if options.check {
        println!("{}: the settings are valid", options.config.display());
        return Ok(None);
    }
    Ok(Some(settings))
}

/// Sets up the log and a runtime. These instances have a part of one core, so one thread serves.
fn start_runtime(log: LogSettings) -> Result<Runtime, DaemonError> {
    log_setup::set_up(log).context(LogSetupSnafu)?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(OsSnafu { action: "cannot start the runtime" })
}

/// Addresses and bounds stay as they were at the start; a change of the file takes effect with the
/// next start and is noted.
fn watch_settings(path: &Path) -> Result<(), DaemonError> {
    let mut reload = reload_signal()?;
    let path = path.to_owned();
    tokio::spawn(async move {
        while reload.recv().await.is_some() {
            log::info!(path = path.display().to_string(); "the settings changed; the next start takes them");
        }
    });
    Ok(())
}
