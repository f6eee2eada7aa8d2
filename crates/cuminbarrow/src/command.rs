//! Command line of the client.

use std::process::ExitCode;

use bpaf::Bpaf;
use snafu::ResultExt;

use crate::client_error::ClientError;
use crate::client_error::RuntimeSnafu;
use crate::client_options::ClientOptions;
use crate::client_options::client_options;
use crate::command_audit;
use crate::command_demo;
use crate::command_explain::ExplainOptions;
use crate::command_explain::explain_options;
use crate::command_job::JobCommand;
use crate::command_job::job_command;
use crate::command_report::ReportOptions;
use crate::command_report::report_options;
use crate::command_sheet::SheetCommand;
use crate::command_sheet::sheet_command;
use crate::command_status;
use crate::command_team::TeamCommand;
use crate::command_team::team_command;
use crate::command_worker::WorkerCommand;
use crate::command_worker::worker_command;

/// Run multi-accelerator jobs of competing teams under guarantees
///
/// Example: cuminbarrow job submit --team reports --key drift-1 --accelerators 2 --run-ms 60000
///
/// The token is taken from CUMINBARROW_TOKEN. Exit codes: 0 done, 1 other errors, 3 refused and
/// not run, 4 may have run, 5 not known yet, 6 the job did not complete, 7 the sheet is not valid.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct ClientCommand {
    #[bpaf(external)]
    client_options: ClientOptions,
    #[bpaf(external)]
    command: Command,
}

/// One command.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Show who put which sheet in force
    #[bpaf(command)]
    Audit,
    /// Show the whole path on an embedded platform, and exit
    #[bpaf(command)]
    Demo,
    /// Tell why a job waits, or runs where it does, or where it would run
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Submit, list, show, wait for and cancel jobs
    #[bpaf(command)]
    Job(#[bpaf(external(job_command))] JobCommand),
    /// Show what each team was promised, used, lent and took back
    #[bpaf(command)]
    Report(#[bpaf(external(report_options))] ReportOptions),
    /// Check, compare and apply sheets
    #[bpaf(command)]
    Sheet(#[bpaf(external(sheet_command))] SheetCommand),
    /// Show the state, and how far each entry is
    #[bpaf(command)]
    Status,
    /// List teams and their guarantees
    #[bpaf(command)]
    Team(#[bpaf(external(team_command))] TeamCommand),
    /// List, drain and resume workers
    #[bpaf(command)]
    Worker(#[bpaf(external(worker_command))] WorkerCommand),
}

/// Runs the client and returns its exit code.
pub fn main() -> ExitCode {
    let ClientCommand { client_options, command } = client_command().run();
    match run(&client_options, command) {
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
        Ok(()) => ExitCode::SUCCESS,
    }
}

fn run(options: &ClientOptions, command: Command) -> Result<(), ClientError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(async {
        match command {
            Command::Audit => command_audit::run(options).await,
            Command::Demo => command_demo::run().await,
            Command::Explain(explain) => explain.run(options).await,
            Command::Job(command) => command.run(options).await,
            Command::Report(report) => report.run(options).await,
            Command::Sheet(command) => command.run(options).await,
            Command::Status => command_status::run(options).await,
            Command::Team(command) => command.run(options).await,
            Command::Worker(command) => command.run(options).await,
        }
    })
}
