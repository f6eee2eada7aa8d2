//! `cuminbarrow sheet`.

use std::path::Path;
use std::path::PathBuf;
use std::time::Instant;

use bpaf::Bpaf;
use cuminbarrow_entry::api_types::SheetBody;
use cuminbarrow_entry::api_types::SheetView;
use cuminbarrow_sheet::sheet_diff::SheetDiff;
use cuminbarrow_sheet::sheet_parser;
use cuminbarrow_sheet::sheet_parser::ParsedSheet;
use snafu::ResultExt;

use crate::client_error::ClientError;
use crate::client_error::FileSnafu;
use crate::client_options::ClientOptions;
use crate::client_output::print_json;

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

/// Reads a sheet and prints its faults.
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
    let in_force: SheetView = options.client()?.get("/v1/sheet").await?;
    let diff = SheetDiff::new(&in_force.teams, &parsed.sheet.teams);
    if options.json {
        return print_json(&diff);
    }
    println!("based on version {}, version {} is in force", parsed.sheet.base, in_force.version);
    print!("{diff}");
    Ok(())
}

async fn apply(
    options: &ClientOptions,
    file: &Path,
    allow_removals: bool,
) -> Result<(), ClientError> {
    let parsed = read_sheet(options, file)?;
    let began = Instant::now();
    let body = SheetBody { sheet: parsed.sheet, allow_removals };
    let client = options.client()?;
    let view: SheetView = client.send(http::Method::PUT, "/v1/sheet", &body).await?;
    if options.json {
        return print_json(&view);
    }
    println!("version {} is in force after {:.3} s", view.version, began.elapsed().as_secs_f64());
    Ok(())
}
