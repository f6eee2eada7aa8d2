//! The shared key by which the system's processes authenticate each other.

use serde::Deserialize;
use smol_str::SmolStr;

/// The key shared by agents and entries. Its `Debug` output hides the value.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct SharedKey(SmolStr);

impl SharedKey {
    /// Creates a key from its text.
    pub fn new(key: impl Into<SmolStr>) -> Self {
        Self(key.into())
    }

    pub(crate) fn authorization_header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Compares an `authorization` header without an early exit, so that the time of a comparison
    /// does not reveal where the header differs.
    pub(crate) fn matches(&self, header: &[u8]) -> bool {
        let expected = self.authorization_header();
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
