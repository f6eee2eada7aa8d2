//! Main function of the platform stand-in, a process for tests and trials.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use cuminbarrow_standin::platform_server::PlatformServer;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::daemon_error::DaemonError;
use crate::daemon_error::OsSnafu;
use crate::daemon_options::exit_code;
use crate::daemon_options::runtime;

/// Runtime threads of the stand-in.
const THREADS: usize = 2;

/// A stand-in of the platform: a log service and workers, in memory
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct StandinOptions {
    /// Address to serve on
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
}

/// Runs the stand-in until its listener fails.
pub fn main() -> ExitCode {
    exit_code(run(&standin_options().run()))
}

fn run(options: &StandinOptions) -> Result<(), DaemonError> {
    runtime(THREADS)?.block_on(async {
        let listener =
            TcpListener::bind(options.listen).await.context(OsSnafu { action: "cannot listen" })?;
        PlatformServer::spawn().serve(listener).await.context(OsSnafu { action: "cannot serve" })
    })
}
