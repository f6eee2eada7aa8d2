//! Batches: what one append carries.

use serde::Deserialize;
use serde::Serialize;

use crate::record::Record;

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
