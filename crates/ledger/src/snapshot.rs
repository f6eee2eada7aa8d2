//! Snapshots: the state at an offset, stored as checksummed chunks on a separate stream.

use bytes::Bytes;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogStore;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::codec;
use crate::codec::CodecError;
use crate::replicated_state::ReplicatedState;

/// Maximum size of a chunk's body, in bytes.
const MAX_CHUNK_BYTES: usize = 200 * 1024;

/// Why a snapshot could not be written or read.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The state or a chunk can't be encoded.
    #[snafu(display("the snapshot can't be encoded: {source}"))]
    Codec {
        /// Underlying error.
        source: CodecError,
    },
    /// A request to the log service failed.
    #[snafu(display("a request to the snapshot stream failed: {source}"))]
    Log {
        /// Underlying error.
        source: LogError,
    },
    /// The latest complete snapshot can't be decoded.
    #[snafu(display("the snapshot at offset {offset} can't be read"))]
    Unreadable {
        /// Offset of the first batch that the snapshot does not cover.
        offset: u64,
    },
}

/// One chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotChunk {
    /// Instance that wrote the snapshot.
    writer: u64,
    /// Offset of the first batch that the snapshot does not cover.
    offset: u64,
    /// Position of this chunk in the snapshot.
    index: u32,
    /// Number of chunks of the snapshot.
    count: u32,
    /// CRC-32 of the whole snapshot.
    checksum: u32,
    /// Part of the encoded state.
    body: Vec<u8>,
}

/// The chunks of one snapshot that have been read so far.
struct PartialSnapshot {
    first: SnapshotChunk,
    bodies: Vec<Vec<u8>>,
}

impl PartialSnapshot {
    fn is_next(&self, chunk: &SnapshotChunk) -> bool {
        let first = &self.first;
        (chunk.writer, chunk.offset, chunk.checksum) == (first.writer, first.offset, first.checksum)
            && chunk.index as usize == self.bodies.len()
    }

    fn is_complete(&self) -> bool {
        self.bodies.len() == self.first.count as usize
    }

    /// The state; `None` if the chunks are corrupt or of a release that this one can't read.
    fn decode<F>(&self) -> Option<F>
    where
        F: ReplicatedState,
    {
        let bytes = self.bodies.concat();
        if crc32fast::hash(&bytes) != self.first.checksum {
            log::error!(
                "skipping the snapshot at offset {}: its checksum does not match",
                self.first.offset
            );
            return None;
        }
        match codec::decode::<F>(&bytes) {
            Err(error) => {
                log::error!("skipping the snapshot at offset {}: {error}", self.first.offset);
                None
            }
            Ok(state) => Some(state),
        }
    }
}

/// Writes the state as a snapshot and returns its size in bytes.
///
/// # Errors
/// [`SnapshotError`]; readers skip a snapshot that was written only in part.
pub async fn write_snapshot<F>(
    store: &dyn LogStore,
    writer: u64,
    state: &F,
) -> Result<usize, SnapshotError>
where
    F: ReplicatedState,
{
    let chunks = encode_chunks(writer, state)?;
    let bytes = chunks.iter().map(Bytes::len).sum();
    store.save_snapshot(state.offset(), chunks).await.context(LogSnafu)?;
    Ok(bytes)
}

/// Encodes the state as the chunks of a snapshot, in order.
///
/// # Errors
/// [`SnapshotError::Codec`] when the state can't be encoded.
pub fn encode_chunks<F>(writer: u64, state: &F) -> Result<Vec<Bytes>, SnapshotError>
where
    F: ReplicatedState,
{
    let bytes = codec::encode(state).context(CodecSnafu)?;
    let checksum = crc32fast::hash(&bytes);
    let count = u32::try_from(bytes.chunks(MAX_CHUNK_BYTES).count()).unwrap_or(u32::MAX);
    let mut chunks = Vec::new();
    for (index, body) in bytes.chunks(MAX_CHUNK_BYTES).enumerate() {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let offset = state.offset();
        let chunk = SnapshotChunk { writer, offset, index, count, checksum, body: body.to_vec() };
        let body = codec::encode(&chunk).context(CodecSnafu)?;
        chunks.push(Bytes::from(body));
    }
    Ok(chunks)
}

/// Reads the latest complete snapshot on the stream; those that fail their checksum are skipped.
///
/// # Errors
/// [`SnapshotError::Log`] when the stream can't be read.
pub async fn read_latest<F>(store: &dyn LogStore) -> Result<Option<F>, SnapshotError>
where
    F: ReplicatedState,
{
    let chunks = store.load_snapshot_chunks().await.context(LogSnafu)?;
    Ok(decode_snapshots(&chunks).latest)
}

/// Decodes the latest complete snapshot among the chunks.
///
/// # Errors
/// [`SnapshotError::Unreadable`] when a later one is complete but can't be decoded.
pub fn decode_latest<F>(chunks: &[Vec<u8>]) -> Result<Option<F>, SnapshotError>
where
    F: ReplicatedState,
{
    let DecodedSnapshots { latest, unreadable_offset } = decode_snapshots::<F>(chunks);
    match unreadable_offset {
        Some(offset) if latest.as_ref().is_none_or(|latest| latest.offset() < offset) => {
            UnreadableSnafu { offset }.fail()
        }
        _ => Ok(latest),
    }
}

/// The complete snapshots on the stream.
struct DecodedSnapshots<F> {
    /// The latest that was decoded.
    latest: Option<F>,
    /// Offset of the latest that could not be decoded.
    unreadable_offset: Option<u64>,
}

fn decode_snapshots<F>(chunks: &[Vec<u8>]) -> DecodedSnapshots<F>
where
    F: ReplicatedState,
{
    let mut decoded = DecodedSnapshots { latest: None, unreadable_offset: None };
    let mut partial: Option<PartialSnapshot> = None;
    for body in chunks {
        let Ok(chunk) = codec::decode::<SnapshotChunk>(body) else {
            log::warn!(
                "skipping a chunk of {} bytes on the snapshot stream that can't be decoded",
                body.len()
            );
            continue;
        };
        partial = add_chunk(partial, chunk);
        let Some(complete) = partial.as_ref().filter(|partial| partial.is_complete()) else {
            continue;
        };
        match complete.decode::<F>() {
            None => {
                decoded.unreadable_offset =
                    decoded.unreadable_offset.max(Some(complete.first.offset));
            }
            Some(state) => {
                let latest_offset = decoded.latest.as_ref().map_or(0, F::offset);
                if state.offset() >= latest_offset {
                    decoded.latest = Some(state);
                }
            }
        }
    }
    decoded
}

fn add_chunk(partial: Option<PartialSnapshot>, chunk: SnapshotChunk) -> Option<PartialSnapshot> {
    match partial {
        Some(mut partial) if partial.is_next(&chunk) => {
            partial.bodies.push(chunk.body);
            Some(partial)
        }
        _ if chunk.index == 0 => {
            let bodies = vec![chunk.body.clone()];
            Some(PartialSnapshot { first: chunk, bodies })
        }
        other => other,
    }
}
