//! Batches: what one append carries.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

use crate::codec;
use crate::record::Record;

/// Times that a writer's wall clock may show, in ms since the Unix epoch: from 2020 to 2100.
const WALL_MS: RangeInclusive<u64> = 1_577_836_800_000..=4_102_444_800_000;

/// Records that one writer appends at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch<R = Record> {
    /// Incarnation of the writer.
    pub writer: u64,
    /// Number of the batch, rising by one within the writer.
    pub sequence: u64,
    /// The writer's wall clock, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Records, applied in this order.
    pub records: Vec<R>,
}

impl<R> Batch<R> {
    /// A batch of no one that does nothing.
    pub(crate) fn empty() -> Self {
        Self { writer: 0, sequence: 0, at_ms: 0, records: Vec::new() }
    }
}

/// Whether bytes that can't be decoded may be a batch of a later program: a later version of the
/// format, or this one's head before records of a kind not known here. All processes judge alike.
pub fn is_of_later_program(bytes: &[u8]) -> bool {
    let head = codec::decode_head::<(u64, u64, u64)>(bytes);
    codec::is_later_version(bytes) || head.is_ok_and(|(_, _, at_ms)| WALL_MS.contains(&at_ms))
}

/// Identity of one record: its batch and its place there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId {
    /// Incarnation of the writer.
    pub writer: u64,
    /// Number of the batch.
    pub sequence: u64,
    /// Place in the batch.
    pub index: usize,
}
