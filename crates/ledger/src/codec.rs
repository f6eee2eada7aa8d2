//! Bytes of batches and snapshots, each behind a format version.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

/// Version of the format that this program writes and the newest it reads.
pub const FORMAT_VERSION: u8 = 1;

/// Highest version that this format will ever have. Other writers' bytes mostly begin with a higher one.
const LAST_VERSION: u8 = 15;
/// Most that one record or snapshot takes when decoded, in bytes: the longest answer of the log service
/// is 64 MiB, and a number takes up to 8 times as much as in its encoding. A text that says to be
/// longer is not read; its length alone would take that much memory.
const MAX_DECODED_BYTES: usize = 8 * 64 * 1024 * 1024;

/// Why bytes could not be read.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The bytes are not what the version says.
    #[snafu(display("the record can't be decoded: {source}"))]
    Decode {
        /// Cause.
        source: bincode::error::DecodeError,
    },
    /// Nothing was there.
    #[snafu(display("the record is empty"))]
    Empty,
    /// The value can't be encoded.
    #[snafu(display("the record can't be encoded: {source}"))]
    Encode {
        /// Cause.
        source: bincode::error::EncodeError,
    },
    /// Bytes were left over.
    #[snafu(display("{excess} bytes follow the record"))]
    TrailingBytes {
        /// How many.
        excess: usize,
    },
    /// A newer program wrote this.
    #[snafu(display(
        "the record has format version {version}, this program reads up to {FORMAT_VERSION}"
    ))]
    UnknownVersion {
        /// Version found.
        version: u8,
    },
}

/// Encodes a value behind the format version.
///
/// # Errors
/// [`CodecError::Encode`] when the value has no such form.
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
/// [`CodecError`] for anything else, above all for a format version that is not known.
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

/// Decodes the beginning of what [`encode`] wrote, whatever follows.
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

/// Whether bytes begin with a version that a later program may write.
pub fn is_later_version(bytes: &[u8]) -> bool {
    bytes.first().is_some_and(|version| (FORMAT_VERSION + 1..=LAST_VERSION).contains(version))
}
