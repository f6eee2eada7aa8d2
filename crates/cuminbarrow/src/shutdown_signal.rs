//! Turns SIGTERM and SIGINT into a shutdown, and tells of SIGHUP.

use snafu::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::daemon_error::DaemonError;
use crate::daemon_error::OsSnafu;

/// A receiver that turns true at the first signal.
///
/// # Errors
/// [`DaemonError::Os`] when signals can't be had.
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

/// Tells of each SIGHUP, which then does not end the process.
///
/// # Errors
/// [`DaemonError::Os`] when signals can't be had.
pub(crate) fn reload_signal() -> Result<Signal, DaemonError> {
    signal(SignalKind::hangup()).context(OsSnafu { action: "cannot listen for signals" })
}
