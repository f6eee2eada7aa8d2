//! One row: its cells by column, read with faults noted.

use csv::StringRecord;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use jiff::Timestamp;
use smol_str::SmolStr;

use crate::sheet_column::SheetColumn;
use crate::sheet_issue::SheetIssue;

/// Milliseconds of a minute.
const MINUTE_MS: f64 = 60_000.0;
/// Longest declared run time, in minutes: a year.
const MAX_RUN_MINUTES: f64 = 525_600.0;
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// Where each column stands in the file.
pub(crate) type ColumnPlaces = Vec<Option<usize>>;

/// One row and the faults found in it.
pub(crate) struct SheetRow<'a> {
    pub(crate) line: u64,
    record: &'a StringRecord,
    places: &'a ColumnPlaces,
    issues: &'a mut Vec<SheetIssue>,
}

impl<'a> SheetRow<'a> {
    pub(crate) fn new(
        line: u64,
        record: &'a StringRecord,
        places: &'a ColumnPlaces,
        issues: &'a mut Vec<SheetIssue>,
    ) -> Self {
        Self { line, record, places, issues }
    }

    /// The cell of a column, without space around it; empty when there is none.
    pub(crate) fn cell(&self, column: SheetColumn) -> &'a str {
        let place = self.places[column as usize];
        place.and_then(|place| self.record.get(place)).unwrap_or_default().trim()
    }

    pub(crate) fn fault(&mut self, column: SheetColumn, expected: &str) {
        let issue = SheetIssue::new(self.line, column.name(), self.cell(column), expected);
        self.issues.push(issue);
    }

    pub(crate) fn name(&mut self, column: SheetColumn) -> SmolStr {
        let cell = self.cell(column);
        let has_control = cell.chars().any(char::is_control);
        if cell.is_empty() || cell.len() > MAX_NAME_BYTES || has_control {
            self.fault(column, "a name of 1 to 100 bytes without control characters");
        }
        SmolStr::new(cell)
    }

    pub(crate) fn whole(&mut self, column: SheetColumn, min: u64, max: u64, empty: u64) -> u64 {
        let cell = self.cell(column);
        if cell.is_empty() {
            return empty;
        }
        match cell.parse::<u64>() {
            Ok(number) if (min..=max).contains(&number) => number,
            Err(_) | Ok(_) => {
                self.fault(column, &format!("a whole number from {min} to {max}"));
                empty
            }
        }
    }

    fn narrow<T>(&mut self, column: SheetColumn, min: T, max: T, empty: T) -> T
    where
        T: TryFrom<u64> + Into<u64> + Copy,
    {
        let number = self.whole(column, min.into(), max.into(), empty.into());
        T::try_from(number).unwrap_or(empty)
    }

    pub(crate) fn flag(&mut self, column: SheetColumn) -> bool {
        match self.cell(column).to_lowercase().as_str() {
            "" | "0" | "false" | "n" | "no" => false,
            "1" | "true" | "y" | "yes" => true,
            _ => {
                self.fault(column, "yes or no");
                false
            }
        }
    }

    /// Minutes, with a point or a comma before the fraction, as ms.
    pub(crate) fn run_ms(&mut self) -> u64 {
        let cell = self.cell(SheetColumn::RunMinutes).replace(',', ".");
        match cell.parse::<f64>() {
            Ok(minutes) if minutes > 0.0 && minutes <= MAX_RUN_MINUTES => {
                ((minutes * MINUTE_MS).round() as u64).max(1)
            }
            Err(_) | Ok(_) => {
                self.fault(SheetColumn::RunMinutes, "minutes, more than 0 and at most 525600");
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
            self.fault(SheetColumn::Deadline, "a time such as 2026-12-04T06:30:00Z");
        }
        ms
    }

    pub(crate) fn day(&mut self) -> SmolStr {
        let cell = self.cell(SheetColumn::Name);
        if cell.parse::<jiff::civil::Date>().is_err() {
            self.fault(SheetColumn::Name, "the service day, such as 2026-12-04");
        }
        SmolStr::new(cell)
    }

    pub(crate) fn shape(&mut self) -> Shape {
        let span = match self.cell(SheetColumn::Span).to_lowercase().as_str() {
            "" | "data_centre" => Span::DataCentre,
            "rack" => Span::Rack,
            "worker" => Span::Worker,
            _ => {
                self.fault(SheetColumn::Span, "worker, rack or data_centre");
                Span::DataCentre
            }
        };
        Shape {
            members: self.narrow(SheetColumn::Members, 1, Shape::MAX_MEMBERS, 1),
            per_member: Resources {
                cores: self.narrow(SheetColumn::Cores, 0, u16::MAX, 0),
                memory_gib: self.narrow(SheetColumn::MemoryGib, 0, u16::MAX, 0),
                accelerators: self.narrow(SheetColumn::Accelerators, 0, 32, 0),
                slots: self.narrow(SheetColumn::Slots, 1, u8::MAX, 1),
                connections: self.narrow(SheetColumn::Connections, 0, u8::MAX, 0),
            },
            span,
        }
    }
}
