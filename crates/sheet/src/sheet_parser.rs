//! Parses a sheet: all faults at once, or the sheet with what was odd about it.

use std::collections::BTreeMap;

use csv::ReaderBuilder;
use csv::StringRecord;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::sheet::SheetJob;
use cuminbarrow_model::team::Guarantee;
use cuminbarrow_model::team::TeamSpec;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::sheet_column::SheetColumn;
use crate::sheet_issue::SheetIssue;
use crate::sheet_row::ColumnPlaces;
use crate::sheet_row::SheetRow;
use crate::sheet_text;

/// Jobs of a team that may wait where the sheet does not say.
pub const DEFAULT_MAX_PENDING: u32 = 1_000;
/// Most faults that are reported.
const MAX_ISSUES: usize = 1_000;
/// Columns that every sheet has.
const REQUIRED: [SheetColumn; 4] =
    [SheetColumn::Kind, SheetColumn::Team, SheetColumn::Name, SheetColumn::Count];

/// A sheet that parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedSheet {
    /// The sheet.
    pub sheet: Sheet,
    /// Day for which its jobs stand.
    pub service_day: SmolStr,
    /// What was odd about it.
    pub warnings: Vec<SheetIssue>,
}

/// Parses a sheet.
///
/// # Errors
/// Every fault found, in file order.
pub fn parse(bytes: &[u8]) -> Result<ParsedSheet, Vec<SheetIssue>> {
    let text = sheet_text::decode(bytes).map_err(|issue| vec![issue])?;
    let mut parser = SheetParser::default();
    parser.read(text);
    parser.finish()
}

#[derive(Default)]
struct SheetParser {
    sheet: Sheet,
    service_day: Option<SmolStr>,
    teams: BTreeMap<SmolStr, usize>,
    lines: BTreeMap<(SmolStr, SmolStr), u64>,
    rows: u64,
    has_end: bool,
    issues: Vec<SheetIssue>,
    warnings: Vec<SheetIssue>,
}

impl SheetParser {
    fn read(&mut self, text: &str) {
        let mut reader = ReaderBuilder::new()
            .delimiter(sheet_text::delimiter(text))
            .flexible(true)
            .from_reader(text.as_bytes());
        let header = match reader.headers() {
            Err(error) => return self.issues.push(SheetIssue::of_file(&error.to_string())),
            Ok(header) => header.clone(),
        };
        let Some(places) = self.read_header(&header) else { return };
        let mut record = StringRecord::new();
        loop {
            match reader.read_record(&mut record) {
                Err(error) => {
                    self.issues.push(SheetIssue::of_file(&error.to_string()));
                    return;
                }
                Ok(false) => return,
                Ok(true) => {}
            }
            let line = record.position().map_or(0, csv::Position::line);
            if record.iter().all(|cell| cell.trim().is_empty()) {
                continue;
            }
            self.read_row(line, &record, &places);
            if self.issues.len() >= MAX_ISSUES {
                let expected = "no more than 1000 faults; the rest is not shown";
                return self.issues.push(SheetIssue::of_file(expected));
            }
        }
    }

    fn read_header(&mut self, header: &StringRecord) -> Option<ColumnPlaces> {
        let mut places: ColumnPlaces = vec![None; SheetColumn::ALL.len()];
        for (place, cell) in header.iter().enumerate() {
            match SheetColumn::from_header(cell) {
                None if cell.trim().is_empty() => {}
                None => {
                    let issue = SheetIssue::new(1, cell.trim(), "", "a known column; passed over");
                    self.warnings.push(issue);
                }
                Some(column) if places[column as usize].is_some() => {
                    let issue = SheetIssue::new(1, column.name(), cell, "each column once");
                    self.issues.push(issue);
                }
                Some(column) => places[column as usize] = Some(place),
            }
        }
        for column in REQUIRED {
            if places[column as usize].is_none() {
                let issue = SheetIssue::new(1, column.name(), "", "a header row with this column");
                self.issues.push(issue);
            }
        }
        self.issues.is_empty().then_some(places)
    }

    fn read_row(&mut self, line: u64, record: &StringRecord, places: &ColumnPlaces) {
        if self.has_end {
            self.issues.push(SheetIssue::new(line, "", "", "nothing after the row of kind end"));
            return;
        }
        let mut issues = Vec::new();
        let mut row = SheetRow::new(line, record, places, &mut issues);
        let kind = row.cell(SheetColumn::Kind).to_lowercase();
        match kind.as_str() {
            "end" => self.read_end(&mut row),
            "guarantee" => self.read_guarantee(&mut row),
            "job" => self.read_job(&mut row),
            "sheet" => self.read_sheet(&mut row),
            "team" => self.read_team(&mut row),
            _ => row.fault(SheetColumn::Kind, "sheet, team, guarantee, job or end"),
        }
        self.rows += 1;
        self.issues.append(&mut issues);
    }

    fn read_sheet(&mut self, row: &mut SheetRow<'_>) {
        if self.service_day.is_some() {
            row.fault(SheetColumn::Kind, "one row of kind sheet");
            return;
        }
        self.service_day = Some(row.day());
        self.sheet.base = row.whole(SheetColumn::Count, 0, u64::MAX, 0);
    }

    fn read_end(&mut self, row: &mut SheetRow<'_>) {
        self.has_end = true;
        let stated = row.whole(SheetColumn::Count, 0, u64::MAX, 0);
        if stated != self.rows {
            let rows = self.rows;
            row.fault(SheetColumn::Count, &format!("{rows}, the rows before this one"));
        }
    }

    fn read_team(&mut self, row: &mut SheetRow<'_>) {
        let name = row.name(SheetColumn::Team);
        let limit = u64::from(u32::MAX);
        let default = u64::from(DEFAULT_MAX_PENDING);
        let max_pending = row.whole(SheetColumn::MaxPending, 1, limit, default);
        if self.teams.contains_key(&name) {
            row.fault(SheetColumn::Team, "each team once");
            return;
        }
        self.teams.insert(name.clone(), self.sheet.teams.len());
        let max_pending = u32::try_from(max_pending).unwrap_or(DEFAULT_MAX_PENDING);
        self.sheet.teams.push(TeamSpec { name, guarantees: Vec::new(), max_pending });
    }

    fn read_guarantee(&mut self, row: &mut SheetRow<'_>) {
        let (team, name) = self.read_key(row);
        let shape = row.shape();
        let count = row.whole(SheetColumn::Count, 1, u64::from(u8::MAX), 1);
        let count = u8::try_from(count).unwrap_or(1);
        if let Some(&index) = self.teams.get(&team) {
            self.sheet.teams[index].guarantees.push(Guarantee { name, shape, count });
        }
    }

    fn read_job(&mut self, row: &mut SheetRow<'_>) {
        let (team, name) = self.read_key(row);
        let spec = JobSpec {
            shape: row.shape(),
            repeatable: row.flag(SheetColumn::Repeatable),
            checkpointable: row.flag(SheetColumn::Checkpointable),
            urgent: row.flag(SheetColumn::Urgent),
            deadline_ms: row.deadline_ms(),
            declared_run_ms: row.run_ms(),
            payload: SmolStr::new(row.cell(SheetColumn::Payload)),
        };
        let day = self.service_day.clone().unwrap_or_default();
        self.sheet.jobs.push(SheetJob { team, key: format_smolstr!("{name}@{day}"), spec });
    }

    /// Team and name of a guarantee or job, which are unique together.
    fn read_key(&mut self, row: &mut SheetRow<'_>) -> (SmolStr, SmolStr) {
        let team = row.name(SheetColumn::Team);
        let name = row.name(SheetColumn::Name);
        if self.service_day.is_none() {
            row.fault(SheetColumn::Kind, "a row of kind sheet first");
        }
        if !self.teams.contains_key(&team) {
            row.fault(SheetColumn::Team, "a team with a row of kind team above");
        }
        let kind = row.cell(SheetColumn::Kind).to_lowercase();
        let key = (format_smolstr!("{kind}/{team}"), name.clone());
        if let Some(line) = self.lines.insert(key, row.line) {
            row.fault(SheetColumn::Name, &format!("another name than line {line}"));
        }
        (team, name)
    }

    fn finish(mut self) -> Result<ParsedSheet, Vec<SheetIssue>> {
        let is_read = self.issues.is_empty();
        if is_read && self.service_day.is_none() {
            self.issues.push(SheetIssue::of_file("a row of kind sheet with the service day"));
        }
        if is_read && !self.has_end {
            let expected = "a last row of kind end; the file may be cut off";
            self.issues.push(SheetIssue::of_file(expected));
        }
        if !self.issues.is_empty() {
            return Err(self.issues);
        }
        Ok(ParsedSheet {
            sheet: self.sheet,
            service_day: self.service_day.unwrap_or_default(),
            warnings: self.warnings,
        })
    }
}
