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

    fn decode_if_complete<F>(&self) -> Option<F>
    where
        F: ReplicatedState,
    {
        if self.bodies.len() != self.first.count as usize {
            return None;
        }
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
    store.save_snapshot(chunks).await.context(LogSnafu)?;
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
    let mut latest: Option<F> = None;
    let mut partial: Option<PartialSnapshot> = None;
    for body in store.load_snapshot_chunks().await.context(LogSnafu)? {
        let Ok(chunk) = codec::decode::<SnapshotChunk>(&body) else {
            log::warn!(
                "skipping a chunk of {} bytes on the snapshot stream that can't be decoded",
                body.len()
            );
            continue;
        };
        partial = add_chunk(partial, chunk);
        let state = partial.as_ref().and_then(PartialSnapshot::decode_if_complete::<F>);
        let is_newer =
            |state: &F| latest.as_ref().is_none_or(|known| state.offset() >= known.offset());
        if let Some(state) = state.filter(is_newer) {
            latest = Some(state);
        }
    }
    Ok(latest)
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
