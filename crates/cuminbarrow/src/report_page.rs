//! The report as an HTML page with plots.

use cuminbarrow_entry::api_types::ReportView;
use cuminbarrow_entry::api_types::TeamReport;
use plotters::prelude::*;

use crate::client_error::ClientError;
use crate::command_audit::time_text;
use crate::command_report::team_cells;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 320);
/// Milliseconds per hour.
const HOUR_MS: f64 = 3_600_000.0;

/// Renders the page.
///
/// # Errors
/// [`ClientError::Malformed`] if a plot cannot be drawn.
pub fn report_page(report: &ReportView) -> Result<String, ClientError> {
    let rows: String = report.teams.iter().map(team_row).collect();
    let free_plot = capacity_plot(report).map_err(plot_error)?;
    let usage_plot = usage_plot(report).map_err(plot_error)?;
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>cuminbarrow report</title><style>body{{font-family:sans-serif;margin:2em}}\
         table{{border-collapse:collapse}}td,th{{border:1px solid #bbb;padding:.3em .7em;\
         text-align:right}}td:first-child{{text-align:left}}</style></head><body>\n\
         <h1>Report of {} UTC</h1>\n<h2>Teams</h2>\n<table><tr><th>Team</th><th>Promised</th>\
         <th>Holding</th><th>Used, h</th><th>Borrowed, h</th><th>Lent, h</th><th>Reclaims</th>\
         <th>Preempted</th><th>Completed</th><th>Late</th><th>Not completed</th></tr>\n\
         {rows}</table>\n<h2>Accelerator-hours</h2>\n{usage_plot}\n\
         <h2>Free accelerators</h2>\n{free_plot}\n</body></html>\n",
        time_text(report.at_ms)
    ))
}

fn plot_error<E>(error: E) -> ClientError
where
    E: std::fmt::Display,
{
    ClientError::Malformed { reason: format!("cannot draw a plot of the report: {error}") }
}

fn team_row(team: &TeamReport) -> String {
    let cells = team_cells(team, 1).map(|cell| format!("<td>{}</td>", escape_html(&cell)));
    format!("<tr>{}</tr>\n", cells.concat())
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

type PlotResult = Result<String, Box<dyn std::error::Error>>;

/// One series of bars: a figure shown for each team.
struct UsageSeries {
    label: &'static str,
    colour: RGBColor,
    value: fn(&TeamReport) -> f64,
}

const USAGE_SERIES: [UsageSeries; 3] = [
    UsageSeries { label: "used", colour: BLUE, value: |team| team.used_hours },
    UsageSeries { label: "borrowed", colour: GREEN, value: |team| team.borrowed_hours },
    UsageSeries { label: "lent", colour: RED, value: |team| team.lent_hours },
];

/// Bar chart of the used, borrowed and lent accelerator-hours of each team.
fn usage_plot(report: &ReportView) -> PlotResult {
    let mut svg = String::new();
    let maxima = report.teams.iter().map(|team| team.used_hours.max(team.lent_hours));
    let y_max = maxima.fold(1.0, f64::max) * 1.1;
    let count = report.teams.len().max(1) as f64;
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..count, 0.0..y_max)?;
        let names: Vec<&str> = report.teams.iter().map(|team| team.team.as_str()).collect();
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(names.len().min(20) + 1)
            .x_label_formatter(&|at| names.get(*at as usize).unwrap_or(&"").to_string())
            .y_desc("accelerator-hours")
            .draw()?;
        for (index, series) in USAGE_SERIES.iter().enumerate() {
            let (colour, left) = (series.colour, 0.1 + 0.27 * index as f64);
            let bars = report.teams.iter().enumerate().map(|(team, report)| {
                let from = team as f64 + left;
                let corners = [(from, 0.0), (from + 0.25, (series.value)(report))];
                Rectangle::new(corners, colour.filled())
            });
            let legend =
                move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], colour.filled());
            chart.draw_series(bars)?.label(series.label).legend(legend);
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(svg)
}

/// Line chart of free and fragmented accelerators over the hours before the report.
fn capacity_plot(report: &ReportView) -> PlotResult {
    let hours = |at_ms: u64| (at_ms as f64 - report.at_ms as f64) / HOUR_MS;
    let from = report.samples.first().map_or(-1.0, |sample| hours(sample.at_ms)).min(-0.1);
    let y_max = report.samples.iter().map(|sample| sample.free).max().unwrap_or(0).max(1);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(50)
            .build_cartesian_2d(from..0.0, 0.0..f64::from(y_max) * 1.1)?;
        chart.configure_mesh().x_desc("hours before the report").y_desc("accelerators").draw()?;
        let free =
            report.samples.iter().map(|sample| (hours(sample.at_ms), f64::from(sample.free)));
        let fragmented =
            report.samples.iter().map(|sample| (hours(sample.at_ms), f64::from(sample.fragmented)));
        chart.draw_series(LineSeries::new(free, BLUE))?.label("free").legend(line_legend(BLUE));
        chart
            .draw_series(LineSeries::new(fragmented, RED))?
            .label("fragmented")
            .legend(line_legend(RED));
        chart.configure_series_labels().border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn line_legend(colour: RGBColor) -> impl Fn((i32, i32)) -> PathElement<(i32, i32)> {
    move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour)
}
