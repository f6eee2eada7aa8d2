//! The key by which our own processes know one another.

use serde::Deserialize;
use smol_str::SmolStr;

/// A key shared by agents and entries; never printed.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct SharedKey(SmolStr);

impl SharedKey {
    /// Wraps a key.
    pub fn new(key: impl Into<SmolStr>) -> Self {
        Self(key.into())
    }

    pub(crate) fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Compares a header's value without giving away where it differs.
    pub(crate) fn matches(&self, header: &[u8]) -> bool {
        let expected = self.header();
        let expected = expected.as_bytes();
        let differences = expected.iter().zip(header).fold(0, |sum, (a, b)| sum | (a ^ b));
        differences == 0 && expected.len() == header.len()
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedKey(..)")
    }
}
