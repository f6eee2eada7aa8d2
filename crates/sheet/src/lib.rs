//! The sheet as planners export it: a CSV file in one documented format.
//!
//! `docs/operations/sheet.md` describes the format. The parser reports every fault at once, each
//! with its row, column, value and what was expected.

pub mod sheet_column;
pub mod sheet_diff;
pub mod sheet_issue;
pub mod sheet_parser;
mod sheet_row;
pub mod sheet_text;
pub mod sheet_writer;
