//! Decoding of fields that snapshots of earlier releases don't have.
//!
//! States are encoded by position, so a field that a release adds comes last, and is absent where an
//! earlier release wrote the snapshot.

use serde::Deserialize;
use serde::Deserializer;

/// Decodes the last field of a state, or yields the default where the bytes end before it. Bytes that
/// end too early for another reason are found by the snapshot's checksum, and bytes that are left over
/// by [`cuminbarrow_ledger::codec::decode`].
///
/// # Errors
/// None; the signature is that of `#[serde(deserialize_with = ...)]`.
pub(crate) fn decode_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
