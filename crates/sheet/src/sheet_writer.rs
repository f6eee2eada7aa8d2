//! Writes a sheet in the format that the parser reads.

use csv::WriterBuilder;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::sheet::SheetJob;
use cuminbarrow_model::team::TeamSpec;
use jiff::Timestamp;
use snafu::ResultExt;
use snafu::Snafu;

use crate::sheet_column::SheetColumn;
use crate::sheet_parser::ParsedSheet;

/// Milliseconds of a minute.
const MINUTE_MS: f64 = 60_000.0;

/// Why a sheet could not be written.
#[derive(Debug, Snafu)]
pub enum SheetWriteError {
    /// A row could not be written.
    #[snafu(display("a row can't be written: {source}"))]
    Row {
        /// Cause.
        source: csv::Error,
    },
}

type SheetCells = Vec<String>;

fn blank(kind: &str) -> SheetCells {
    let mut cells = vec![String::new(); SheetColumn::ALL.len()];
    cells[SheetColumn::Kind as usize] = kind.to_owned();
    cells
}

fn put(cells: &mut SheetCells, column: SheetColumn, value: impl ToString) {
    cells[column as usize] = value.to_string();
}

/// The sheet as a CSV file with commas.
///
/// # Errors
/// [`SheetWriteError`] when a row can't be written.
pub fn write(parsed: &ParsedSheet) -> Result<Vec<u8>, SheetWriteError> {
    let mut rows = vec![sheet_cells(parsed)];
    for team in &parsed.sheet.teams {
        rows.extend(team_cells(team));
    }
    rows.extend(parsed.sheet.jobs.iter().map(|job| job_cells(parsed, job)));
    let mut end = blank("end");
    put(&mut end, SheetColumn::Count, rows.len());
    rows.push(end);

    let mut writer = WriterBuilder::new().from_writer(Vec::new());
    writer.write_record(SheetColumn::ALL.map(SheetColumn::name)).context(RowSnafu)?;
    for row in &rows {
        writer.write_record(row).context(RowSnafu)?;
    }
    writer.into_inner().map_err(|error| error.into_error().into()).context(RowSnafu)
}

fn sheet_cells(parsed: &ParsedSheet) -> SheetCells {
    let mut cells = blank("sheet");
    put(&mut cells, SheetColumn::Name, &parsed.service_day);
    put(&mut cells, SheetColumn::Count, parsed.sheet.base);
    cells
}

fn team_cells(team: &TeamSpec) -> Vec<SheetCells> {
    let mut cells = blank("team");
    put(&mut cells, SheetColumn::Team, &team.name);
    put(&mut cells, SheetColumn::MaxPending, team.max_pending);
    let mut rows = vec![cells];
    for guarantee in &team.guarantees {
        let mut cells = blank("guarantee");
        put(&mut cells, SheetColumn::Team, &team.name);
        put(&mut cells, SheetColumn::Name, &guarantee.name);
        put(&mut cells, SheetColumn::Count, guarantee.count);
        put_shape(&mut cells, &guarantee.shape);
        rows.push(cells);
    }
    rows
}

fn job_cells(parsed: &ParsedSheet, job: &SheetJob) -> SheetCells {
    let mut cells = blank("job");
    let suffix = format!("@{}", parsed.service_day);
    let name = job.key.strip_suffix(suffix.as_str()).unwrap_or(&job.key);
    put(&mut cells, SheetColumn::Team, &job.team);
    put(&mut cells, SheetColumn::Name, name);
    put_shape(&mut cells, &job.spec.shape);
    put(&mut cells, SheetColumn::Repeatable, yes_no(job.spec.repeatable));
    put(&mut cells, SheetColumn::Checkpointable, yes_no(job.spec.checkpointable));
    put(&mut cells, SheetColumn::Urgent, yes_no(job.spec.urgent));
    let deadline = job.spec.deadline_ms.and_then(|ms| i64::try_from(ms).ok());
    let deadline = deadline.and_then(|ms| Timestamp::from_millisecond(ms).ok());
    put(&mut cells, SheetColumn::Deadline, deadline.map(|at| at.to_string()).unwrap_or_default());
    put(&mut cells, SheetColumn::RunMinutes, job.spec.declared_run_ms as f64 / MINUTE_MS);
    put(&mut cells, SheetColumn::Payload, &job.spec.payload);
    cells
}

fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

fn put_shape(cells: &mut SheetCells, shape: &Shape) {
    let each = &shape.per_member;
    put(cells, SheetColumn::Members, shape.members);
    put(cells, SheetColumn::Accelerators, each.accelerators);
    put(cells, SheetColumn::Cores, each.cores);
    put(cells, SheetColumn::MemoryGib, each.memory_gib);
    put(cells, SheetColumn::Slots, each.slots);
    put(cells, SheetColumn::Connections, each.connections);
    put(cells, SheetColumn::Span, shape.span);
}
