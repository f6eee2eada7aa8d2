//! Foreign bytes among the records: decoding returns an error and has no other effect.

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::batch::is_from_newer_release;
use cuminbarrow_ledger::codec;
use cuminbarrow_ledger::codec::FORMAT_VERSION;

/// Prefix of an 8-byte length in the encoding.
const LONG_LENGTH: u8 = 253;

/// Encoding of a text of the given length that ends after its first byte.
fn truncated_text(length: u64) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION, LONG_LENGTH];
    bytes.extend(length.to_le_bytes());
    bytes.push(b'a');
    bytes
}

/// Guards against a length prefix beyond the memory: its allocation aborted the process, whatever
/// bytes followed.
#[test]
fn length_prefix_beyond_the_memory_is_an_error() {
    for length in [2, 1 << 32, 1 << 40, 1 << 62, 1 << 63, u64::MAX] {
        assert!(codec::decode::<String>(&truncated_text(length)).is_err(), "{length}");
        assert!(codec::decode::<Vec<String>>(&truncated_text(length)).is_err(), "{length}");
        assert!(codec::decode::<Vec<u8>>(&truncated_text(length)).is_err(), "{length}");
    }
}

#[test]
fn well_formed_long_text_is_decoded() {
    let text = "a".repeat(40 * 1024 * 1024);
    let bytes = codec::encode(&text).expect("a text can be encoded");
    assert_eq!(codec::decode::<String>(&bytes).expect("a long text can be decoded"), text);
}

/// A batch of a newer release is not skipped like foreign bytes, or replicas would diverge.
#[test]
fn batch_of_a_newer_release_is_distinguished_from_foreign_bytes() {
    let at_ms = 1_800_000_000_000_u64;
    let unknown_kind = (7_u64, 1_u64, at_ms, vec![250_u32]);
    let newer_batch = codec::encode(&unknown_kind).expect("a tuple can be encoded");
    assert!(codec::decode::<Batch>(&newer_batch).is_err());
    assert!(is_from_newer_release(&newer_batch));
    assert!(is_from_newer_release(&[FORMAT_VERSION + 1, 0, 0]));
    let implausible_clock =
        codec::encode(&(7_u64, 1_u64, 5_u64, vec![250_u32])).expect("a tuple can be encoded");
    let foreign: [&[u8]; 6] = [b"", b"\0", b"{}", b"\x01", b"\x01 text", &implausible_clock];
    for bytes in foreign {
        assert!(!is_from_newer_release(bytes), "{}", bytes.escape_ascii());
    }
}
