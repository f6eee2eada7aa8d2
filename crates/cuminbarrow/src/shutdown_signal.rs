//! Signals of the daemons: SIGTERM and SIGINT shut down, SIGHUP announces changed settings.

use snafu::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::daemon_error::DaemonError;
use crate::daemon_error::OsSnafu;

/// Returns a receiver whose value becomes true at the first SIGTERM or SIGINT.
///
/// # Errors
/// [`DaemonError::Os`] if the signal handlers cannot be installed.
pub(crate) fn shutdown_signal() -> Result<watch::Receiver<bool>, DaemonError> {
    let action = "cannot listen for signals";
    let mut terminate = signal(SignalKind::terminate()).context(OsSnafu { action })?;
    let mut interrupt = signal(SignalKind::interrupt()).context(OsSnafu { action })?;
    let (sender, receiver) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        let _ = sender.send(true);
        sender.closed().await;
    });
    Ok(receiver)
}

/// Returns a stream of SIGHUP signals. Listening also keeps SIGHUP from ending the process.
///
/// # Errors
/// [`DaemonError::Os`] if the signal handlers cannot be installed.
pub(crate) fn reload_signal() -> Result<Signal, DaemonError> {
    signal(SignalKind::hangup()).context(OsSnafu { action: "cannot listen for signals" })
}
