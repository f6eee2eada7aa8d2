//! The platform's append-only log service.

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// A stream of the log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogStream {
    /// Every decision and instruction, in order.
    Records,
    /// Chunks of the state as of some offset of the records.
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
    /// Oldest offset that the service still keeps.
    pub oldest: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Offset of the first entry below.
    pub first: u64,
    /// Bodies of the entries.
    pub entries: Vec<Vec<u8>>,
    /// Time for which the answer certainly waited for an entry, in ms.
    pub waited_ms: u64,
    /// How long before the answer was sent `next` was known to be the end, at most, in ms.
    pub age_ms: u64,
}

impl LogPage {
    /// Offset after the last entry.
    pub fn end_offset(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

/// Why the log service did not answer as asked.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LogError {
    /// The offset asked for is no longer kept.
    #[snafu(display("the log keeps no records before offset {oldest}"))]
    Expired {
        /// Oldest offset kept.
        oldest: u64,
    },
    /// The service refused; nothing was appended.
    #[snafu(display("the log is unavailable: {reason}"))]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The answer was lost; the append may have taken effect.
    #[snafu(display("no answer from the log: {reason}"))]
    Uncertain {
        /// What was seen.
        reason: String,
    },
}

/// Snapshot chunks read at once.
const CHUNK_READ_LIMIT: u32 = 64;

/// Client of the log service.
#[async_trait]
pub trait LogStore: Send + Sync {
    /// Appends one entry and gives its offset.
    ///
    /// # Errors
    /// [`LogError::Unavailable`] when nothing was appended, [`LogError::Uncertain`] when that is
    /// not known.
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError>;

    /// Appends entries one after the other, all or none where the service can do so, and gives the
    /// offset of the first.
    ///
    /// # Errors
    /// As [`LogStore::append`]; after [`LogError::Uncertain`] some or all may be there.
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
    /// [`LogError::Expired`] when `from` is below the oldest offset kept.
    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError>;

    /// Keeps the chunks of a snapshot, in order. A service that can do so replaces the snapshot
    /// before it; otherwise they go to the end of the snapshot stream.
    ///
    /// # Errors
    /// As [`LogStore::append`]; a snapshot broken off is passed over by readers.
    async fn save_snapshot(&self, chunks: Vec<Bytes>) -> Result<(), LogError> {
        for chunk in chunks {
            self.append(LogStream::Snapshots, chunk).await?;
        }
        Ok(())
    }

    /// All chunks that are kept, oldest first.
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
