//! Access to the cells of a row by column. Each accessor adds an issue if its cell is invalid.

use csv::StringRecord;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use jiff::Timestamp;
use smol_str::SmolStr;

use crate::sheet_column::SheetColumn;
use crate::sheet_issue::SheetIssue;

/// Milliseconds per minute.
const MINUTE_MS: f64 = 60_000.0;
/// Longest declared run time, in minutes: a year.
const MAX_RUN_MINUTES: f64 = 525_600.0;
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// Index of each column in the file's rows, in the order of [`SheetColumn::ALL`].
pub(crate) type ColumnIndexes = Vec<Option<usize>>;

/// A row and the list to which its faults are added.
pub(crate) struct SheetRow<'a> {
    pub(crate) line: u64,
    record: &'a StringRecord,
    column_indexes: &'a ColumnIndexes,
    issues: &'a mut Vec<SheetIssue>,
}

impl<'a> SheetRow<'a> {
    pub(crate) fn new(
        line: u64,
        record: &'a StringRecord,
        column_indexes: &'a ColumnIndexes,
        issues: &'a mut Vec<SheetIssue>,
    ) -> Self {
        Self { line, record, column_indexes, issues }
    }

    /// Trimmed cell of a column; empty if the file lacks the column or the row is too short.
    pub(crate) fn cell(&self, column: SheetColumn) -> &'a str {
        let index = self.column_indexes[column as usize];
        index.and_then(|index| self.record.get(index)).unwrap_or_default().trim()
    }

    /// Adds an issue with the column's name, the cell's value and what was expected.
    pub(crate) fn add_issue(&mut self, column: SheetColumn, expected: &str) {
        let issue = SheetIssue::new(self.line, column.name(), self.cell(column), expected);
        self.issues.push(issue);
    }

    pub(crate) fn name(&mut self, column: SheetColumn) -> SmolStr {
        let cell = self.cell(column);
        let has_control = cell.chars().any(char::is_control);
        if cell.is_empty() || cell.len() > MAX_NAME_BYTES || has_control {
            self.add_issue(column, "a name of 1 to 100 bytes without control characters");
        }
        SmolStr::new(cell)
    }

    /// A number from `min` to `max`, or `default` if the cell is empty.
    pub(crate) fn whole_number(
        &mut self,
        column: SheetColumn,
        min: u64,
        max: u64,
        default: u64,
    ) -> u64 {
        let cell = self.cell(column);
        if cell.is_empty() {
            return default;
        }
        match cell.parse::<u64>() {
            Ok(number) if (min..=max).contains(&number) => number,
            Err(_) | Ok(_) => {
                self.add_issue(column, &format!("a whole number from {min} to {max}"));
                default
            }
        }
    }

    /// Like [`Self::whole_number`], for integer types narrower than `u64`.
    fn narrow_number<T>(&mut self, column: SheetColumn, min: T, max: T, default: T) -> T
    where
        T: TryFrom<u64> + Into<u64> + Copy,
    {
        let number = self.whole_number(column, min.into(), max.into(), default.into());
        T::try_from(number).unwrap_or(default)
    }

    /// A yes or no in any of the usual spellings; an empty cell is a no.
    pub(crate) fn flag(&mut self, column: SheetColumn) -> bool {
        match self.cell(column).to_lowercase().as_str() {
            "" | "0" | "false" | "n" | "no" => false,
            "1" | "true" | "y" | "yes" => true,
            _ => {
                self.add_issue(column, "yes or no");
                false
            }
        }
    }

    /// Declared run time in ms. The cell has minutes, with a point or a comma as decimal separator.
    pub(crate) fn run_ms(&mut self) -> u64 {
        let cell = self.cell(SheetColumn::RunMinutes).replace(',', ".");
        match cell.parse::<f64>() {
            Ok(minutes) if minutes > 0.0 && minutes <= MAX_RUN_MINUTES => {
                ((minutes * MINUTE_MS).round() as u64).max(1)
            }
            Err(_) | Ok(_) => {
                self.add_issue(SheetColumn::RunMinutes, "minutes, more than 0 and at most 525600");
                1
            }
        }
    }

    pub(crate) fn deadline_ms(&mut self) -> Option<u64> {
        let cell = self.cell(SheetColumn::Deadline);
        if cell.is_empty() {
            return None;
        }
        let time = cell.parse::<Timestamp>().ok();
        let ms = time.and_then(|time| u64::try_from(time.as_millisecond()).ok());
        if ms.is_none() {
            self.add_issue(SheetColumn::Deadline, "a time such as 2026-12-04T06:30:00Z");
        }
        ms
    }

    /// Service day of a `sheet` row, from the column `name`.
    pub(crate) fn service_day(&mut self) -> SmolStr {
        let cell = self.cell(SheetColumn::Name);
        if cell.parse::<jiff::civil::Date>().is_err() {
            self.add_issue(SheetColumn::Name, "the service day, such as 2026-12-04");
        }
        SmolStr::new(cell)
    }

    pub(crate) fn shape(&mut self) -> Shape {
        let span = match self.cell(SheetColumn::Span).to_lowercase().as_str() {
            "" | "data_centre" => Span::DataCentre,
            "rack" => Span::Rack,
            "worker" => Span::Worker,
            _ => {
                self.add_issue(SheetColumn::Span, "worker, rack or data_centre");
                Span::DataCentre
            }
        };
        Shape {
            members: self.narrow_number(SheetColumn::Members, 1, Shape::MAX_MEMBERS, 1),
            per_member: Resources {
                cores: self.narrow_number(SheetColumn::Cores, 0, u16::MAX, 0),
                memory_gib: self.narrow_number(SheetColumn::MemoryGib, 0, u16::MAX, 0),
                accelerators: self.narrow_number(SheetColumn::Accelerators, 0, 32, 0),
                slots: self.narrow_number(SheetColumn::Slots, 1, u8::MAX, 1),
                connections: self.narrow_number(SheetColumn::Connections, 0, u8::MAX, 0),
            },
            span,
        }
    }
}
