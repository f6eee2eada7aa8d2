//! Messages to and from an entry that relays calls to the log. Agents read through an entry, so
//! that the log has few readers; a process that can't reach the log relays all its calls.
//!
//! The encoding is positional: new variants and fields are added at the end.

use serde::Deserialize;
use serde::Serialize;

/// A request to the relaying entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// Appends one entry to the record stream.
    Append {
        /// Encoded log entry.
        body: Vec<u8>,
    },
    /// Registers a process in the list of live agents, or renews its registration.
    Join {
        /// Incarnation of the process.
        incarnation: u64,
    },
    /// Requests a snapshot of the relaying entry's state.
    LoadSnapshot,
    /// Reads the record stream.
    Read {
        /// Offset of the first record.
        from: u64,
        /// Longest time to wait for the first record, in ms.
        wait_ms: u32,
        /// Whether the reader is an entry. An entry is refused when the relaying entry itself reads
        /// through another entry, so that entries never read from each other in a cycle.
        is_from_entry: bool,
    },
    /// Saves a snapshot.
    SaveSnapshot {
        /// Chunks of the snapshot, in order.
        chunks: Vec<Vec<u8>>,
        /// Offset of the first record that the snapshot does not cover.
        offset: u64,
    },
    /// Reads records that the log has dropped, from the cache of the entry that appended them.
    ReadAppended {
        /// Offset of the first record.
        from: u64,
        /// Oldest offset that the log retains.
        oldest: u64,
    },
}

/// Answer to a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayResponse {
    /// The log entry was appended.
    Appended {
        /// Offset of the log entry.
        offset: u64,
    },
    /// Answer to [`RelayRequest::LoadSnapshot`].
    SnapshotChunks {
        /// Chunks of the snapshot, in order.
        chunks: Vec<Vec<u8>>,
    },
    /// The request took effect.
    Done,
    /// The log no longer retains the requested offset.
    Expired {
        /// Oldest offset that is still available.
        oldest: u64,
    },
    /// Consecutive records.
    Records {
        /// Oldest offset that the log retains.
        oldest: u64,
        /// Offset that the next append will get.
        next: u64,
        /// Encoded records, starting at the requested offset.
        entries: Vec<Vec<u8>>,
        /// Time for which the answer certainly waited for a record, in ms.
        waited_ms: u64,
        /// Upper bound of the time since `next` was known to be the end of the log, in ms.
        age_ms: u64,
    },
    /// The request had no effect.
    Refused {
        /// Description of the cause.
        reason: String,
    },
    /// The request may or may not have taken effect.
    Uncertain {
        /// Description of the cause.
        reason: String,
    },
    /// The log does not take the entry, now or later.
    Rejected {
        /// Description of the cause.
        reason: String,
    },
}
