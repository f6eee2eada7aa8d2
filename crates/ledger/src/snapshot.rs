//! Snapshots: the state as of an offset, in checksummed chunks on a stream of their own.

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

/// Largest chunk, in bytes.
const CHUNK_BYTES: usize = 200 * 1024;

/// Why a snapshot could not be written or read.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The state or a chunk has no such form.
    #[snafu(display("the snapshot can't be encoded: {source}"))]
    Codec {
        /// Cause.
        source: CodecError,
    },
    /// The log service did not do as asked.
    #[snafu(display("the snapshot stream: {source}"))]
    Log {
        /// Cause.
        source: LogError,
    },
}

/// One chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotChunk {
    /// Instance that wrote the snapshot.
    writer: u64,
    /// Offset of the first record that the snapshot does not cover.
    offset: u64,
    /// Place of this chunk.
    index: u32,
    /// Number of chunks.
    count: u32,
    /// CRC-32 of the whole snapshot.
    checksum: u32,
    /// Bytes of this chunk.
    body: Vec<u8>,
}

/// Chunks of one snapshot, gathered while reading.
struct Gathering {
    first: SnapshotChunk,
    bodies: Vec<Vec<u8>>,
}

impl Gathering {
    fn is_next(&self, chunk: &SnapshotChunk) -> bool {
        let first = &self.first;
        (chunk.writer, chunk.offset, chunk.checksum) == (first.writer, first.offset, first.checksum)
            && chunk.index as usize == self.bodies.len()
    }

    fn finish<F>(&self) -> Option<F>
    where
        F: ReplicatedState,
    {
        if self.bodies.len() != self.first.count as usize {
            return None;
        }
        let bytes = self.bodies.concat();
        if crc32fast::hash(&bytes) != self.first.checksum {
            log::error!("snapshot of offset {} fails its checksum", self.first.offset);
            return None;
        }
        match codec::decode::<F>(&bytes) {
            Err(error) => {
                log::error!("snapshot of offset {} is passed over: {error}", self.first.offset);
                None
            }
            Ok(state) => Some(state),
        }
    }
}

/// Appends the state as a snapshot and gives its size in bytes.
///
/// # Errors
/// [`SnapshotError`]; a snapshot broken off is passed over by readers.
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

/// The chunks of a snapshot of the state, in order.
///
/// # Errors
/// [`SnapshotError::Codec`] when the state has no such form.
pub fn encode_chunks<F>(writer: u64, state: &F) -> Result<Vec<Bytes>, SnapshotError>
where
    F: ReplicatedState,
{
    let bytes = codec::encode(state).context(CodecSnafu)?;
    let checksum = crc32fast::hash(&bytes);
    let count = u32::try_from(bytes.chunks(CHUNK_BYTES).count()).unwrap_or(u32::MAX);
    let mut chunks = Vec::new();
    for (index, body) in bytes.chunks(CHUNK_BYTES).enumerate() {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let offset = state.offset();
        let chunk = SnapshotChunk { writer, offset, index, count, checksum, body: body.to_vec() };
        let body = codec::encode(&chunk).context(CodecSnafu)?;
        chunks.push(Bytes::from(body));
    }
    Ok(chunks)
}

/// The latest whole snapshot on the stream; one that fails its checksum is passed over.
///
/// # Errors
/// [`SnapshotError::Log`] when the stream can't be read.
pub async fn read_latest<F>(store: &dyn LogStore) -> Result<Option<F>, SnapshotError>
where
    F: ReplicatedState,
{
    let mut latest: Option<F> = None;
    let mut gathering: Option<Gathering> = None;
    for body in store.load_snapshot_chunks().await.context(LogSnafu)? {
        let Ok(chunk) = codec::decode::<SnapshotChunk>(&body) else {
            log::warn!("a chunk of {} bytes on the snapshot stream is unreadable", body.len());
            continue;
        };
        gathering = gather(gathering, chunk);
        let state = gathering.as_ref().and_then(Gathering::finish::<F>);
        let is_newer =
            |state: &F| latest.as_ref().is_none_or(|known| state.offset() >= known.offset());
        if let Some(state) = state.filter(is_newer) {
            latest = Some(state);
        }
    }
    Ok(latest)
}

fn gather(gathering: Option<Gathering>, chunk: SnapshotChunk) -> Option<Gathering> {
    match gathering {
        Some(mut gathering) if gathering.is_next(&chunk) => {
            gathering.bodies.push(chunk.body);
            Some(gathering)
        }
        _ if chunk.index == 0 => {
            let bodies = vec![chunk.body.clone()];
            Some(Gathering { first: chunk, bodies })
        }
        other => other,
    }
}
