//! Output of the client's commands: tables for people, JSON for programs.

use cuminbarrow_entry::api_types::JobView;
use serde::Serialize;

use crate::client_error::ClientError;

/// Prints a value as JSON.
///
/// # Errors
/// [`ClientError::Malformed`] if the value has no JSON form.
pub(crate) fn print_json<T>(value: &T) -> Result<(), ClientError>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| ClientError::Malformed { reason: error.to_string() })?;
    println!("{text}");
    Ok(())
}

/// Formats a table whose columns are as wide as their widest cell.
pub fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(|cell| cell.chars().count());
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = format_row(&header.map(ToOwned::to_owned), &widths);
    for row in rows {
        text.push_str(&format_row(row, &widths));
    }
    text
}

fn format_row<const N: usize>(cells: &[String; N], widths: &[usize; N]) -> String {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        text.push_str(&format!("{cell:width$}  "));
    }
    format!("{}\n", text.trim_end())
}

/// Formats a table of jobs.
pub fn job_table(views: &[JobView]) -> String {
    let rows: Vec<[String; 7]> = views.iter().map(job_row).collect();
    table(["JOB", "TEAM", "KEY", "PHASE", "ATTEMPTS", "WORKERS", "REASON"], &rows)
}

fn job_row(view: &JobView) -> [String; 7] {
    let mut workers: Vec<&str> = view.members.iter().map(|member| member.worker.as_str()).collect();
    workers.dedup();
    [
        view.job.to_string(),
        view.team.to_string(),
        view.key.to_string(),
        format!("{:?}", view.phase),
        view.attempts.to_string(),
        workers.join(","),
        view.reason.clone().unwrap_or_default().to_string(),
    ]
}
