//! The platform's append-only log service.

use std::collections::BTreeMap;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// A stream of the log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogStream {
    /// All records of decisions and instructions, in order.
    Records,
    /// Snapshots of the replicated state at some offset of the records, in chunks.
    Snapshots,
}

impl LogStream {
    /// Name of the stream at the log service.
    pub fn name(self) -> &'static str {
        match self {
            Self::Records => "records",
            Self::Snapshots => "snapshots",
        }
    }
}

/// Consecutive entries of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogPage {
    /// Oldest offset that the service retains.
    pub oldest: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Offset of the first entry below.
    pub first: u64,
    /// Contents of the entries.
    pub entries: Vec<Vec<u8>>,
    /// Time for which the service certainly waited for an entry before it answered, in ms.
    pub waited_ms: u64,
    /// Upper bound of the age of `next` when the answer was sent, in ms: the time since it was
    /// known to be the end of the stream.
    pub age_ms: u64,
}

impl LogPage {
    /// Offset after the last entry of the page.
    pub fn end_offset(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

/// What the service retains of the record stream beyond its history.
///
/// All entries are there that the latest complete snapshot does not cover, except those without content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RetainedLog {
    /// Retained entries by offset, up to `end`.
    pub entries: BTreeMap<u64, Vec<u8>>,
    /// Offset after the last entry of the stream when the entries were listed.
    pub end: u64,
    /// Chunks of the snapshots, loaded after the entries were listed.
    pub snapshot_chunks: Vec<Vec<u8>>,
}

/// Why a call to the log service failed.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LogError {
    /// The requested offset is no longer retained.
    #[snafu(display("the log keeps no records before offset {oldest}"))]
    Expired {
        /// Oldest offset that the service retains.
        oldest: u64,
    },
    /// The service refused or was not reached; nothing was appended.
    #[snafu(display("the log is unavailable: {reason}"))]
    Unavailable {
        /// Description of the cause.
        reason: String,
    },
    /// The service does not take the entry, now or later; nothing was appended.
    #[snafu(display("the log rejects the entry: {reason}"))]
    Rejected {
        /// Description of the cause.
        reason: String,
    },
    /// There was no answer, or an unclear one; an append may have taken effect.
    #[snafu(display("no answer from the log: {reason}"))]
    Uncertain {
        /// Description of the cause.
        reason: String,
    },
}

/// Maximum number of snapshot chunks per read.
const CHUNK_READ_LIMIT: u32 = 64;

/// Client of the log service.
#[async_trait]
pub trait LogStore: Send + Sync {
    /// Appends one entry and returns its offset.
    ///
    /// # Errors
    /// [`LogError::Unavailable`] or [`LogError::Rejected`] when nothing was appended,
    /// [`LogError::Uncertain`] when the entry may have been appended.
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError>;

    /// Appends consecutive entries, atomically where the service supports it, and returns the
    /// offset of the first.
    ///
    /// # Errors
    /// As [`LogStore::append`]; after [`LogError::Uncertain`] any number of the entries may have
    /// been appended.
    async fn append_all(&self, stream: LogStream, bodies: Vec<Bytes>) -> Result<u64, LogError> {
        let mut first = None;
        for body in bodies {
            match self.append(stream, body).await {
                Ok(offset) => {
                    first.get_or_insert(offset);
                }
                Err(LogError::Unavailable { reason }) if first.is_some() => {
                    return Err(LogError::Uncertain { reason });
                }
                Err(error) => return Err(error),
            }
        }
        first.ok_or(LogError::Unavailable { reason: "there is nothing to append".to_owned() })
    }

    /// Reads up to `limit` entries from offset `from`, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    /// [`LogError::Expired`] when `from` is below the oldest retained offset, another [`LogError`]
    /// when the service does not answer.
    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError>;

    /// Saves the chunks of a snapshot, in order. It covers the records before `offset`. By default the
    /// chunks are appended to the snapshot stream; a service that supports it replaces the snapshots
    /// that cover less instead.
    ///
    /// # Errors
    /// As [`LogStore::append`]; readers ignore an incomplete snapshot.
    async fn save_snapshot(&self, _offset: u64, chunks: Vec<Bytes>) -> Result<(), LogError> {
        for chunk in chunks {
            self.append(LogStream::Snapshots, chunk).await?;
        }
        Ok(())
    }

    /// Loads the entries that the service retains after it has dropped its history; `None` if it
    /// retains none.
    ///
    /// # Errors
    /// As [`LogStore::read`].
    async fn load_retained(&self) -> Result<Option<RetainedLog>, LogError> {
        Ok(None)
    }

    /// Allows the service to drop the entries before `offset`, which a saved snapshot covers.
    fn release_before(&self, _offset: u64) {}

    /// Loads all retained snapshot chunks, oldest first.
    ///
    /// # Errors
    /// As [`LogStore::read`].
    async fn load_snapshot_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        let mut chunks = Vec::new();
        let mut from = 0;
        loop {
            let page = match self.read(LogStream::Snapshots, from, CHUNK_READ_LIMIT, 0).await {
                Err(LogError::Expired { oldest }) => {
                    from = oldest;
                    continue;
                }
                Err(error) => return Err(error),
                Ok(page) => page,
            };
            if page.entries.is_empty() {
                return Ok(chunks);
            }
            from = page.end_offset();
            chunks.extend(page.entries);
        }
    }
}
