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

/// Milliseconds per minute.
const MINUTE_MS: f64 = 60_000.0;

/// Error of writing a sheet.
#[derive(Debug, Snafu)]
pub enum SheetWriteError {
    /// A row could not be written.
    #[snafu(display("cannot write a row of the sheet: {source}"))]
    Row {
        /// Underlying error.
        source: csv::Error,
    },
}

/// Cells of a row, in the order of [`SheetColumn::ALL`].
type RowCells = Vec<String>;

fn blank_row(kind: &str) -> RowCells {
    let mut cells = vec![String::new(); SheetColumn::ALL.len()];
    cells[SheetColumn::Kind as usize] = kind.to_owned();
    cells
}

fn set_cell(cells: &mut RowCells, column: SheetColumn, value: impl ToString) {
    cells[column as usize] = value.to_string();
}

/// Writes the sheet as a CSV file with commas as delimiters.
///
/// # Errors
/// [`SheetWriteError`] if a row cannot be written.
pub fn write(parsed: &ParsedSheet) -> Result<Vec<u8>, SheetWriteError> {
    let mut rows = vec![sheet_row(parsed)];
    for team in &parsed.sheet.teams {
        rows.extend(team_rows(team));
    }
    rows.extend(parsed.sheet.jobs.iter().map(|job| job_row(parsed, job)));
    let mut end = blank_row("end");
    set_cell(&mut end, SheetColumn::Count, rows.len());
    rows.push(end);

    let mut writer = WriterBuilder::new().from_writer(Vec::new());
    writer.write_record(SheetColumn::ALL.map(SheetColumn::name)).context(RowSnafu)?;
    for row in &rows {
        writer.write_record(row).context(RowSnafu)?;
    }
    writer.into_inner().map_err(|error| error.into_error().into()).context(RowSnafu)
}

fn sheet_row(parsed: &ParsedSheet) -> RowCells {
    let mut cells = blank_row("sheet");
    set_cell(&mut cells, SheetColumn::Name, &parsed.service_day);
    set_cell(&mut cells, SheetColumn::Count, parsed.sheet.base);
    cells
}

/// The row of a team, followed by those of its guarantees.
fn team_rows(team: &TeamSpec) -> Vec<RowCells> {
    let mut cells = blank_row("team");
    set_cell(&mut cells, SheetColumn::Team, &team.name);
    set_cell(&mut cells, SheetColumn::MaxPending, team.max_pending);
    let mut rows = vec![cells];
    for guarantee in &team.guarantees {
        let mut cells = blank_row("guarantee");
        set_cell(&mut cells, SheetColumn::Team, &team.name);
        set_cell(&mut cells, SheetColumn::Name, &guarantee.name);
        set_cell(&mut cells, SheetColumn::Count, guarantee.count);
        set_shape(&mut cells, &guarantee.shape);
        rows.push(cells);
    }
    rows
}

fn job_row(parsed: &ParsedSheet, job: &SheetJob) -> RowCells {
    let mut cells = blank_row("job");
    let suffix = format!("@{}", parsed.service_day);
    let name = job.key.strip_suffix(suffix.as_str()).unwrap_or(&job.key);
    set_cell(&mut cells, SheetColumn::Team, &job.team);
    set_cell(&mut cells, SheetColumn::Name, name);
    set_shape(&mut cells, &job.spec.shape);
    set_cell(&mut cells, SheetColumn::Repeatable, yes_no(job.spec.repeatable));
    set_cell(&mut cells, SheetColumn::Checkpointable, yes_no(job.spec.checkpointable));
    set_cell(&mut cells, SheetColumn::Urgent, yes_no(job.spec.urgent));
    let deadline = job.spec.deadline_ms.and_then(|ms| i64::try_from(ms).ok());
    let deadline = deadline.and_then(|ms| Timestamp::from_millisecond(ms).ok());
    set_cell(
        &mut cells,
        SheetColumn::Deadline,
        deadline.map(|at| at.to_string()).unwrap_or_default(),
    );
    set_cell(&mut cells, SheetColumn::RunMinutes, job.spec.declared_run_ms as f64 / MINUTE_MS);
    set_cell(&mut cells, SheetColumn::Payload, &job.spec.payload);
    cells
}

fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

fn set_shape(cells: &mut RowCells, shape: &Shape) {
    let per_member = &shape.per_member;
    set_cell(cells, SheetColumn::Members, shape.members);
    set_cell(cells, SheetColumn::Accelerators, per_member.accelerators);
    set_cell(cells, SheetColumn::Cores, per_member.cores);
    set_cell(cells, SheetColumn::MemoryGib, per_member.memory_gib);
    set_cell(cells, SheetColumn::Slots, per_member.slots);
    set_cell(cells, SheetColumn::Connections, per_member.connections);
    set_cell(cells, SheetColumn::Span, shape.span);
}
