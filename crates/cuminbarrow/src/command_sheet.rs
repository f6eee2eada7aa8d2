//! `cuminbarrow sheet`: checks, compares and applies sheets.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use cuminbarrow_entry::api_types::InstanceView;
use cuminbarrow_entry::api_types::SheetBody;
use cuminbarrow_entry::api_types::SheetView;
use cuminbarrow_ledger::sheet_preview::SheetPreview;
use cuminbarrow_sheet::sheet_diff::SheetDiff;
use cuminbarrow_sheet::sheet_parser;
use cuminbarrow_sheet::sheet_parser::ParsedSheet;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::ResultExt;

use crate::api_client::ApiClient;
use crate::client_error::ClientError;
use crate::client_error::FileSnafu;
use crate::client_options::ClientOptions;
use crate::client_output::print_json;

/// Time within which an applied sheet is expected to be active on every entry. After it, the
/// command stops waiting and reports how many entries have the sheet.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which the entries' sheet versions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A command on sheets.
#[derive(Clone, Debug, Bpaf)]
pub enum SheetCommand {
    /// Put a sheet in force, whole or not at all
    #[bpaf(command)]
    Apply {
        /// Let it remove any share of teams and guarantees
        #[bpaf(switch)]
        allow_removals: bool,
        /// Sheet in CSV
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a sheet without an entry
    #[bpaf(command)]
    Check {
        /// Sheet in CSV
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what a sheet would change
    #[bpaf(command)]
    Diff {
        /// Sheet in CSV
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

impl SheetCommand {
    pub(crate) async fn run(self, options: &ClientOptions) -> Result<(), ClientError> {
        match self {
            Self::Apply { allow_removals, file } => apply(options, &file, allow_removals).await,
            Self::Check { file } => check(options, &file),
            Self::Diff { file } => diff(options, &file).await,
        }
    }
}

/// Reads a sheet and prints its faults and warnings.
pub(crate) fn read_sheet(options: &ClientOptions, file: &Path) -> Result<ParsedSheet, ClientError> {
    let path = file.display().to_string();
    let bytes = std::fs::read(file).context(FileSnafu { path })?;
    match sheet_parser::parse(&bytes) {
        Err(issues) => {
            if options.json {
                print_json(&issues)?;
            } else {
                issues.iter().for_each(|issue| println!("{issue}"));
            }
            Err(ClientError::SheetInvalid { count: issues.len() })
        }
        Ok(parsed) => {
            parsed.warnings.iter().for_each(|issue| eprintln!("warning: {issue}"));
            Ok(parsed)
        }
    }
}

fn check(options: &ClientOptions, file: &Path) -> Result<(), ClientError> {
    let parsed = read_sheet(options, file)?;
    println!(
        "{}: valid, {} teams, {} jobs for {}, based on version {}",
        file.display(),
        parsed.sheet.teams.len(),
        parsed.sheet.jobs.len(),
        parsed.service_day,
        parsed.sheet.base
    );
    Ok(())
}

async fn diff(options: &ClientOptions, file: &Path) -> Result<(), ClientError> {
    let parsed = read_sheet(options, file)?;
    let client = options.client()?;
    let current: SheetView = client.get("/v1/sheet").await?;
    let teams = SheetDiff::new(&current.teams, &parsed.sheet.teams);
    let base = parsed.sheet.base;
    let body = SheetBody { sheet: parsed.sheet, allow_removals: false };
    let preview: SheetPreview = client.send(http::Method::POST, "/v1/sheet/preview", &body).await?;
    let output = DiffOutput { base, teams, preview };
    if options.json {
        return print_json(&output);
    }
    print!("{output}");
    Ok(())
}

/// Changes that a sheet would make, and their effects on jobs and reservations.
#[derive(Clone, Debug, Serialize)]
pub struct DiffOutput {
    /// Version of the sheet on which the new sheet is based; it may no longer be the active one.
    pub base: u64,
    /// Changes of teams and guarantees.
    pub teams: SheetDiff,
    /// Effects on standing jobs, reservations and running jobs.
    pub preview: SheetPreview,
}

impl fmt::Display for DiffOutput {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let preview = &self.preview;
        writeln!(
            formatter,
            "based on version {}, version {} is in force",
            self.base, preview.in_force
        )?;
        if let Some(refusal) = &preview.refusal {
            writeln!(formatter, "it would be REFUSED: {refusal}")?;
        }
        write!(formatter, "{}", self.teams)?;
        for job in &preview.jobs_added {
            writeln!(formatter, "+ job {job}")?;
        }
        if !preview.jobs_known.is_empty() {
            let count = preview.jobs_known.len();
            writeln!(formatter, "= {count} jobs were accepted before and go on as they are")?;
        }
        for moved in &preview.reservations_moved {
            let (before, after) = (format_workers(&moved.before), format_workers(&moved.after));
            let (team, guarantee) = (&moved.team, &moved.guarantee);
            writeln!(formatter, "~ place of {team}/{guarantee}: {before} -> {after}")?;
        }
        for job in &preview.jobs_on_new_promises {
            writeln!(formatter, "! {job} runs on newly promised room and may be stopped for it")?;
        }
        Ok(())
    }
}

fn format_workers(workers: &[SmolStr]) -> String {
    if workers.is_empty() { "none".to_owned() } else { workers.join(",") }
}

/// Result of applying a sheet.
#[derive(Serialize)]
struct ApplyOutput {
    version: u64,
    seconds: f64,
    in_force_on: usize,
    instances: usize,
}

async fn apply(
    options: &ClientOptions,
    file: &Path,
    allow_removals: bool,
) -> Result<(), ClientError> {
    let parsed = read_sheet(options, file)?;
    let started_at = Instant::now();
    let body = SheetBody { sheet: parsed.sheet, allow_removals };
    let client = options.client()?;
    let view = client.apply_sheet(&body).await?;
    let instances = wait_until_propagated(&client, view.version, started_at).await?;
    let in_force_on = instances.iter().filter(|instance| has_version(instance, view.version));
    let output = ApplyOutput {
        version: view.version,
        seconds: started_at.elapsed().as_secs_f64(),
        in_force_on: in_force_on.count(),
        instances: instances.len(),
    };
    if options.json {
        return print_json(&output);
    }
    let ApplyOutput { version, seconds, in_force_on, instances } = output;
    println!(
        "version {version} is in force on {in_force_on} of {instances} instances after {seconds:.3} s"
    );
    Ok(())
}

/// Whether an entry has at least this version of the sheet.
fn has_version(view: &InstanceView, version: u64) -> bool {
    view.sheet_version.is_some_and(|known| known >= version)
}

/// Waits until every entry has the version or [`PROPAGATION_TIMEOUT`] has passed since
/// `started_at`.
async fn wait_until_propagated(
    client: &ApiClient,
    version: u64,
    started_at: Instant,
) -> Result<Vec<InstanceView>, ClientError> {
    loop {
        let instances: Vec<InstanceView> = client.get("/v1/instances").await?;
        let is_propagated = instances.iter().all(|view| has_version(view, version));
        if is_propagated || started_at.elapsed() >= PROPAGATION_TIMEOUT {
            return Ok(instances);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
