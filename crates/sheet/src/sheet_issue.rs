//! What is wrong with a sheet, and what is odd about it.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

/// One fault or oddity, where it stands, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SheetIssue {
    /// Line of the file, from 1; 0 where it is the whole file.
    pub line: u64,
    /// Column's name; empty where it is the whole row.
    pub column: SmolStr,
    /// What stands there, at most 40 characters of it.
    pub value: SmolStr,
    /// What was expected.
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
