//! Main function of the entry daemon.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_entry::entry_daemon;
use cuminbarrow_entry::entry_settings::EntrySettings;
use cuminbarrow_resources::http_log::HttpLog;
use cuminbarrow_telemetry::log_setup;
use snafu::ResultExt;

use crate::daemon_error::DaemonError;
use crate::daemon_error::EntrySettingsSnafu;
use crate::daemon_error::EntrySnafu;
use crate::daemon_error::LogSetupSnafu;
use crate::daemon_error::SettingsSnafu;
use crate::daemon_options::DaemonOptions;
use crate::daemon_options::daemon_options;
use crate::daemon_options::exit_code;
use crate::daemon_options::runtime;
use crate::settings_file;
use crate::shutdown_signal::shutdown_signal;

/// Runtime threads of an entry.
const THREADS: usize = 4;

/// Runs the entry daemon until it receives SIGTERM or SIGINT.
pub fn main() -> ExitCode {
    exit_code(run(&daemon_options().run()))
}

fn run(options: &DaemonOptions) -> Result<(), DaemonError> {
    let path = options.config.as_path();
    let settings: EntrySettings = settings_file::read(path).context(SettingsSnafu)?;
    settings.check().context(EntrySettingsSnafu { path })?;
    if options.check {
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    log_setup::set_up(settings.log).context(LogSetupSnafu)?;
    let timeout = Duration::from_millis(settings.log_timeout_ms);
    runtime(THREADS)?.block_on(async {
        let store = Arc::new(HttpLog::new(&settings.platform, timeout));
        entry_daemon::run(settings, store, shutdown_signal()?).await.context(EntrySnafu)
    })
}
