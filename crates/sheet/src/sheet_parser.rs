//! Parses a sheet. An invalid sheet is rejected with all its faults, a valid one may have warnings.

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
use crate::sheet_row::ColumnIndexes;
use crate::sheet_row::SheetRow;
use crate::sheet_text;

/// Most pending jobs of a team whose row leaves `max_pending` empty.
pub const DEFAULT_MAX_PENDING: u32 = 1_000;
/// Number of faults after which parsing stops.
const MAX_ISSUES: usize = 1_000;
/// Columns without which a sheet is rejected.
const REQUIRED_COLUMNS: [SheetColumn; 4] =
    [SheetColumn::Kind, SheetColumn::Team, SheetColumn::Name, SheetColumn::Count];

/// A valid sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedSheet {
    /// Teams, guarantees and standing jobs.
    pub sheet: Sheet,
    /// Day for which the standing jobs are submitted; it is part of their keys.
    pub service_day: SmolStr,
    /// Oddities that do not make the sheet invalid, such as unknown columns.
    pub warnings: Vec<SheetIssue>,
}

/// Parses a sheet.
///
/// # Errors
/// All faults in file order. Parsing stops after some 1,000 of them.
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
    /// Index in the sheet's teams, by team name.
    team_indexes: BTreeMap<SmolStr, usize>,
    /// Line of a guarantee or job, by `kind/team` and name.
    name_lines: BTreeMap<(SmolStr, SmolStr), u64>,
    /// Rows read so far, without the header and blank rows.
    rows: u64,
    has_end_row: bool,
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
        let Some(column_indexes) = self.read_header(&header) else { return };
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
            self.read_row(line, &record, &column_indexes);
            if self.issues.len() >= MAX_ISSUES {
                let expected = "no more than 1000 faults; the rest is not shown";
                return self.issues.push(SheetIssue::of_file(expected));
            }
        }
    }

    /// Index of each column in the header row; `None` if the header has faults.
    fn read_header(&mut self, header: &StringRecord) -> Option<ColumnIndexes> {
        let mut column_indexes: ColumnIndexes = vec![None; SheetColumn::ALL.len()];
        for (index, cell) in header.iter().enumerate() {
            match SheetColumn::from_header(cell) {
                None if cell.trim().is_empty() => {}
                None => {
                    let issue = SheetIssue::new(1, cell.trim(), "", "a known column; passed over");
                    self.warnings.push(issue);
                }
                Some(column) if column_indexes[column as usize].is_some() => {
                    let issue = SheetIssue::new(1, column.name(), cell, "each column once");
                    self.issues.push(issue);
                }
                Some(column) => column_indexes[column as usize] = Some(index),
            }
        }
        for column in REQUIRED_COLUMNS {
            if column_indexes[column as usize].is_none() {
                let issue = SheetIssue::new(1, column.name(), "", "a header row with this column");
                self.issues.push(issue);
            }
        }
        self.issues.is_empty().then_some(column_indexes)
    }

    fn read_row(&mut self, line: u64, record: &StringRecord, column_indexes: &ColumnIndexes) {
        if self.has_end_row {
            self.issues.push(SheetIssue::new(line, "", "", "nothing after the row of kind end"));
            return;
        }
        let mut issues = Vec::new();
        let mut row = SheetRow::new(line, record, column_indexes, &mut issues);
        let kind = row.cell(SheetColumn::Kind).to_lowercase();
        match kind.as_str() {
            "end" => self.read_end(&mut row),
            "guarantee" => self.read_guarantee(&mut row),
            "job" => self.read_job(&mut row),
            "sheet" => self.read_sheet(&mut row),
            "team" => self.read_team(&mut row),
            _ => row.add_issue(SheetColumn::Kind, "sheet, team, guarantee, job or end"),
        }
        self.rows += 1;
        self.issues.append(&mut issues);
    }

    fn read_sheet(&mut self, row: &mut SheetRow<'_>) {
        if self.service_day.is_some() {
            row.add_issue(SheetColumn::Kind, "one row of kind sheet");
            return;
        }
        self.service_day = Some(row.service_day());
        self.sheet.base = row.whole_number(SheetColumn::Count, 0, u64::MAX, 0);
    }

    fn read_end(&mut self, row: &mut SheetRow<'_>) {
        self.has_end_row = true;
        let stated_rows = row.whole_number(SheetColumn::Count, 0, u64::MAX, 0);
        if stated_rows != self.rows {
            let rows = self.rows;
            row.add_issue(SheetColumn::Count, &format!("{rows}, the rows before this one"));
        }
    }

    fn read_team(&mut self, row: &mut SheetRow<'_>) {
        let name = row.name(SheetColumn::Team);
        let limit = u64::from(u32::MAX);
        let default = u64::from(DEFAULT_MAX_PENDING);
        let max_pending = row.whole_number(SheetColumn::MaxPending, 1, limit, default);
        if self.team_indexes.contains_key(&name) {
            row.add_issue(SheetColumn::Team, "each team once");
            return;
        }
        self.team_indexes.insert(name.clone(), self.sheet.teams.len());
        let max_pending = u32::try_from(max_pending).unwrap_or(DEFAULT_MAX_PENDING);
        self.sheet.teams.push(TeamSpec { name, guarantees: Vec::new(), max_pending });
    }

    fn read_guarantee(&mut self, row: &mut SheetRow<'_>) {
        let (team, name) = self.read_key(row);
        let shape = row.shape();
        let count = row.whole_number(SheetColumn::Count, 1, u64::from(u8::MAX), 1);
        let count = u8::try_from(count).unwrap_or(1);
        if let Some(&index) = self.team_indexes.get(&team) {
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
        let service_day = self.service_day.clone().unwrap_or_default();
        self.sheet.jobs.push(SheetJob { team, key: format_smolstr!("{name}@{service_day}"), spec });
    }

    /// Reads team and name of a guarantee or job, which together must be unique among the rows of
    /// their kind.
    fn read_key(&mut self, row: &mut SheetRow<'_>) -> (SmolStr, SmolStr) {
        let team = row.name(SheetColumn::Team);
        let name = row.name(SheetColumn::Name);
        if self.service_day.is_none() {
            row.add_issue(SheetColumn::Kind, "a row of kind sheet first");
        }
        if !self.team_indexes.contains_key(&team) {
            row.add_issue(SheetColumn::Team, "a team with a row of kind team above");
        }
        let kind = row.cell(SheetColumn::Kind).to_lowercase();
        let key = (format_smolstr!("{kind}/{team}"), name.clone());
        if let Some(line) = self.name_lines.insert(key, row.line) {
            row.add_issue(SheetColumn::Name, &format!("another name than line {line}"));
        }
        (team, name)
    }

    /// Checks that the sheet is complete. An incomplete sheet is not reported in addition to faulty
    /// rows, since the faults may have hidden rows.
    fn finish(mut self) -> Result<ParsedSheet, Vec<SheetIssue>> {
        let rows_are_valid = self.issues.is_empty();
        if rows_are_valid && self.service_day.is_none() {
            self.issues.push(SheetIssue::of_file("a row of kind sheet with the service day"));
        }
        if rows_are_valid && !self.has_end_row {
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
