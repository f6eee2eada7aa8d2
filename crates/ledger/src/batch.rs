//! Batches: the records that one append writes to the log.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

use crate::codec;
use crate::record::Record;

/// Plausible values of a writer's wall clock, in ms since the Unix epoch: 2020 to 2100.
const PLAUSIBLE_CLOCK_MS: RangeInclusive<u64> = 1_577_836_800_000..=4_102_444_800_000;

/// Records that one writer appends together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch<R = Record> {
    /// Incarnation of the writer.
    pub writer: u64,
    /// Sequence number of the batch, increasing by one within the incarnation of the writer.
    pub sequence: u64,
    /// The writer's wall clock, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Records, applied in this order.
    pub records: Vec<R>,
}

impl<R> Batch<R> {
    /// An empty batch, applied in place of a log entry that is not a batch.
    pub(crate) fn empty() -> Self {
        Self { writer: 0, sequence: 0, at_ms: 0, records: Vec::new() }
    }
}

/// Whether bytes that can't be decoded may be a batch of a newer release: they have a newer format
/// version, or a valid batch header before records of an unknown kind. The result depends on the
/// bytes alone, so all replicas agree on it.
pub fn is_from_newer_release(bytes: &[u8]) -> bool {
    let head = codec::decode_head::<(u64, u64, u64)>(bytes);
    codec::is_newer_version(bytes)
        || head.is_ok_and(|(_, _, at_ms)| PLAUSIBLE_CLOCK_MS.contains(&at_ms))
}

/// Identity of a record: its batch and its position there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId {
    /// Incarnation of the writer.
    pub writer: u64,
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Position in the batch.
    pub index: usize,
}
