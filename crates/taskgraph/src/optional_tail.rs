//! Decoding of fields that earlier releases don't write.
//!
//! Snapshots are encoded by position, so a field that was added later comes last and its bytes are
//! missing in a snapshot of an earlier release.

use serde::Deserialize;
use serde::Deserializer;

/// Decodes a field at the end of a state, or returns its default where the bytes end before it. The
/// checksum of a snapshot guards against bytes that are missing for another reason.
pub(crate) fn decode_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
