//! Messages to an entry that passes calls on to the log.

use serde::Deserialize;
use serde::Serialize;

/// From a process to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// Appends one entry to the records.
    Append {
        /// Its bytes.
        body: Vec<u8>,
    },
    /// Keeps a process in the list of live agents.
    Join {
        /// Incarnation of the process.
        incarnation: u64,
    },
    /// Asks for the chunks of the newest snapshot.
    LoadSnapshot,
    /// Asks for records.
    Read {
        /// Offset of the first.
        from: u64,
        /// Longest wait for the first, in ms.
        wait_ms: u32,
        /// Whether an entry asks. It gets nothing that was itself read through an entry, so that
        /// entries never read in circles.
        is_from_entry: bool,
    },
    /// Keeps the chunks of a snapshot.
    SaveSnapshot {
        /// The chunks, in order.
        chunks: Vec<Vec<u8>>,
    },
    /// Asks for records that the log dropped and that this entry appended.
    ReadAppended {
        /// Offset of the first.
        from: u64,
        /// Oldest offset that the log keeps.
        oldest: u64,
    },
}

/// Answer to a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayResponse {
    /// The entry was appended.
    Appended {
        /// Its offset.
        offset: u64,
    },
    /// The chunks of the newest snapshot.
    SnapshotChunks {
        /// The chunks.
        chunks: Vec<Vec<u8>>,
    },
    /// It was done.
    Done,
    /// The records asked for are no longer kept.
    Expired {
        /// Oldest offset kept.
        oldest: u64,
    },
    /// Records.
    Records {
        /// Oldest offset that the log keeps.
        oldest: u64,
        /// Offset that the next append will get.
        next: u64,
        /// Bodies of the records from the offset asked for.
        entries: Vec<Vec<u8>>,
        /// Time for which the answer certainly waited, in ms.
        waited_ms: u64,
        /// How long ago `next` was known to be the end, in ms.
        age_ms: u64,
    },
    /// Nothing was done.
    Refused {
        /// Why.
        reason: String,
    },
    /// It is not known whether anything was done.
    Uncertain {
        /// Why.
        reason: String,
    },
}
