//! Parser, writer and diff of sheets, the CSV files in which planners define teams, guarantees and
//! standing jobs.
//!
//! `docs/operations/sheet.md` describes the format. The parser reports all faults at once, each
//! with its line, column, value and what was expected.

pub mod sheet_column;
pub mod sheet_diff;
pub mod sheet_issue;
pub mod sheet_parser;
mod sheet_row;
pub mod sheet_text;
pub mod sheet_writer;
