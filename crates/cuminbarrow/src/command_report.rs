//! `cuminbarrow report`: shows the usage of each team.

use std::path::PathBuf;

use bpaf::Bpaf;
use cuminbarrow_entry::api_types::ReportView;
use cuminbarrow_entry::api_types::TeamReport;
use snafu::ResultExt;

use crate::client_error::ClientError;
use crate::client_error::FileSnafu;
use crate::client_options::ClientOptions;
use crate::client_output::print_json;
use crate::client_output::table;
use crate::report_page::report_page;

/// Where the report goes.
#[derive(Clone, Debug, Bpaf)]
pub struct ReportOptions {
    /// Write an HTML page with plots
    #[bpaf(argument("FILE"), optional)]
    html: Option<PathBuf>,
}

impl ReportOptions {
    pub(crate) async fn run(self, options: &ClientOptions) -> Result<(), ClientError> {
        let report: ReportView = options.client()?.get("/v1/report").await?;
        if let Some(file) = self.html {
            let path = file.display().to_string();
            return std::fs::write(&file, report_page(&report)?).context(FileSnafu { path });
        }
        if options.json {
            return print_json(&report);
        }
        print!("{}", report_text(&report));
        Ok(())
    }
}

/// Formats the report as text.
pub fn report_text(report: &ReportView) -> String {
    let rows: Vec<[String; 11]> = report.teams.iter().map(|team| team_cells(team, 2)).collect();
    let header = [
        "TEAM",
        "PROMISED",
        "HOLDING",
        "USED_H",
        "BORROWED_H",
        "LENT_H",
        "RECLAIMS",
        "PREEMPTED",
        "COMPLETED",
        "LATE",
        "NOT_COMPLETED",
    ];
    let mut text = table(header, &rows);
    if let Some(last) = report.samples.last() {
        let fragmented = report.samples.iter().filter(|sample| sample.fragmented > 0).count();
        text.push_str(&format!(
            "\n{} accelerators used, {} free; free room was fragmented in {fragmented} of {} samples\n",
            last.used,
            last.free,
            report.samples.len()
        ));
    }
    text
}

/// Cells of a team's row, with hours rounded to `decimals` places.
pub(crate) fn team_cells(team: &TeamReport, decimals: usize) -> [String; 11] {
    [
        team.team.to_string(),
        team.promised.to_string(),
        team.holding.to_string(),
        format!("{:.decimals$}", team.used_hours),
        format!("{:.decimals$}", team.borrowed_hours),
        format!("{:.decimals$}", team.lent_hours),
        team.reclaims.to_string(),
        team.preempted.to_string(),
        team.completed.to_string(),
        team.late.to_string(),
        team.not_completed.to_string(),
    ]
}
