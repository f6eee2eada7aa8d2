//! Encoding of batches and snapshots, each prefixed with a format version.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

/// Format version that this release writes, and the newest that it reads.
pub const FORMAT_VERSION: u8 = 1;

/// Highest version number reserved for this format. The bytes of foreign writers mostly begin with
/// a higher value.
const MAX_RESERVED_VERSION: u8 = 15;
/// Maximum decoded size of a record or snapshot, in bytes: the longest response of the log service
/// is 64 MiB, and a number takes up to 8 times as much memory as in its encoding. A text with a
/// larger length prefix is rejected, since memory of that length would be allocated before it is
/// read.
const MAX_DECODED_BYTES: usize = 8 * 64 * 1024 * 1024;

/// Error of encoding or decoding a value.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The bytes do not follow the format of their version.
    #[snafu(display("the record can't be decoded: {source}"))]
    Decode {
        /// Underlying error.
        source: bincode::error::DecodeError,
    },
    /// The input is empty.
    #[snafu(display("the record is empty"))]
    Empty,
    /// The value can't be encoded.
    #[snafu(display("the record can't be encoded: {source}"))]
    Encode {
        /// Underlying error.
        source: bincode::error::EncodeError,
    },
    /// Bytes follow the encoded value.
    #[snafu(display("{excess} bytes follow the record"))]
    TrailingBytes {
        /// Number of those bytes.
        excess: usize,
    },
    /// This release does not support the format version.
    #[snafu(display(
        "the record has format version {version}, this program reads up to {FORMAT_VERSION}"
    ))]
    UnknownVersion {
        /// Version of the bytes.
        version: u8,
    },
}

/// Encodes a value and prefixes it with the format version.
///
/// # Errors
/// [`CodecError::Encode`] when the value can't be encoded.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    let mut bytes = vec![FORMAT_VERSION];
    let body = bincode::serde::encode_to_vec(value, bincode::config::standard());
    bytes.append(&mut body.context(EncodeSnafu)?);
    Ok(bytes)
}

/// Decodes what [`encode`] wrote.
///
/// # Errors
/// [`CodecError`] when the bytes are malformed or have an unsupported format version.
pub fn decode<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    let (&version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    ensure!((1..=FORMAT_VERSION).contains(&version), UnknownVersionSnafu { version });
    let format = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (value, used) = bincode::serde::decode_from_slice(body, format).context(DecodeSnafu)?;
    ensure!(used == body.len(), TrailingBytesSnafu { excess: body.len() - used });
    Ok(value)
}

/// Decodes the first fields of what [`encode`] wrote and ignores the rest.
///
/// # Errors
/// [`CodecError`], as [`decode`].
pub fn decode_head<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    let (&version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    ensure!((1..=FORMAT_VERSION).contains(&version), UnknownVersionSnafu { version });
    let format = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (head, _) = bincode::serde::decode_from_slice(body, format).context(DecodeSnafu)?;
    Ok(head)
}

/// Whether the bytes begin with a format version that a newer release may write.
pub fn is_newer_version(bytes: &[u8]) -> bool {
    bytes
        .first()
        .is_some_and(|version| (FORMAT_VERSION + 1..=MAX_RESERVED_VERSION).contains(version))
}
