//! Main function of the agent daemon.

use std::process::ExitCode;
use std::sync::Arc;

use cuminbarrow_agent::agent_daemon;
use cuminbarrow_agent::agent_settings::AgentSettings;
use cuminbarrow_resources::http_worker::HttpWorker;
use cuminbarrow_telemetry::log_setup;
use snafu::ResultExt;

use crate::daemon_error::AgentSettingsSnafu;
use crate::daemon_error::AgentSnafu;
use crate::daemon_error::DaemonError;
use crate::daemon_error::LogSetupSnafu;
use crate::daemon_error::SettingsSnafu;
use crate::daemon_options::DaemonOptions;
use crate::daemon_options::daemon_options;
use crate::daemon_options::exit_code;
use crate::daemon_options::runtime;
use crate::settings_file;
use crate::shutdown_signal::shutdown_signal;

/// Runtime threads of an agent.
const THREADS: usize = 2;

/// Runs the agent daemon until it receives SIGTERM or SIGINT.
pub fn main() -> ExitCode {
    exit_code(run(&daemon_options().run()))
}

fn run(options: &DaemonOptions) -> Result<(), DaemonError> {
    let path = options.config.as_path();
    let settings: AgentSettings = settings_file::read(path).context(SettingsSnafu)?;
    settings.check().context(AgentSettingsSnafu { path })?;
    if options.check {
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    log_setup::set_up(settings.log).context(LogSetupSnafu)?;
    runtime(THREADS)?.block_on(async {
        let worker = Arc::new(HttpWorker::new(&settings.platform, &settings.worker));
        let counter = Arc::default();
        let shutdown = shutdown_signal()?;
        agent_daemon::run(settings, worker, counter, shutdown).await.context(AgentSnafu)
    })
}
