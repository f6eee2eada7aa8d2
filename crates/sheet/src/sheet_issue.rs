//! Faults and oddities of a sheet.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

/// A fault or oddity: its location in the file, the value found and what was expected instead.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SheetIssue {
    /// Line of the file, from 1; 0 if the issue concerns the whole file.
    pub line: u64,
    /// Column's name; empty if the issue concerns the whole row.
    pub column: SmolStr,
    /// Value found, cut to 40 characters.
    pub value: SmolStr,
    /// Description of a valid value.
    pub expected: SmolStr,
}

impl SheetIssue {
    /// Longest value shown, in characters.
    const MAX_SHOWN: usize = 40;

    pub(crate) fn new(line: u64, column: &str, value: &str, expected: &str) -> Self {
        Self {
            line,
            column: SmolStr::new(column),
            value: value.chars().take(Self::MAX_SHOWN).collect(),
            expected: SmolStr::new(expected),
        }
    }

    /// An issue that concerns the whole file.
    pub(crate) fn of_file(expected: &str) -> Self {
        Self::new(0, "", "", expected)
    }
}

impl fmt::Display for SheetIssue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column.is_empty()) {
            (0, _) => write!(formatter, "the file: {}", self.expected),
            (line, true) => write!(formatter, "line {line}: {}", self.expected),
            (line, false) => write!(
                formatter,
                "line {line}, column {}: {:?} found, expected {}",
                self.column, self.value, self.expected
            ),
        }
    }
}
