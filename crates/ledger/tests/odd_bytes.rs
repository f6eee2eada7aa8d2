//! Bytes of another writer among the records: decoding them fails, and nothing else.

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::batch::is_from_newer_release;
use cuminbarrow_ledger::codec;
use cuminbarrow_ledger::codec::FORMAT_VERSION;

/// Marks a length of 8 bytes in the encoding.
const LONG_LENGTH: u8 = 253;

/// A text of some length that ends after its first byte.
fn text_of(length: u64) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION, LONG_LENGTH];
    bytes.extend(length.to_le_bytes());
    bytes.push(b'a');
    bytes
}

/// A text that says to be longer than the memory ended the process, whatever followed it.
#[test]
fn a_length_beyond_the_memory_is_an_error() {
    for length in [2, 1 << 32, 1 << 40, 1 << 62, 1 << 63, u64::MAX] {
        assert!(codec::decode::<String>(&text_of(length)).is_err(), "{length}");
        assert!(codec::decode::<Vec<String>>(&text_of(length)).is_err(), "{length}");
        assert!(codec::decode::<Vec<u8>>(&text_of(length)).is_err(), "{length}");
    }
}

#[test]
fn what_is_well_formed_is_decoded() {
    let text = "a".repeat(40 * 1024 * 1024);
    let bytes = codec::encode(&text).expect("a text can be encoded");
    assert_eq!(codec::decode::<String>(&bytes).expect("a long text is read"), text);
}

/// A batch that a later program wrote is not passed over, or replicas would differ.
#[test]
fn a_batch_of_a_later_program_is_told_from_foreign_bytes() {
    let at_ms = 1_800_000_000_000_u64;
    let unknown_kind = (7_u64, 1_u64, at_ms, vec![250_u32]);
    let of_later = codec::encode(&unknown_kind).expect("a tuple can be encoded");
    assert!(codec::decode::<Batch>(&of_later).is_err());
    assert!(is_from_newer_release(&of_later));
    assert!(is_from_newer_release(&[FORMAT_VERSION + 1, 0, 0]));
    let nowhere = codec::encode(&(7_u64, 1_u64, 5_u64, vec![250_u32])).expect("so can this");
    let foreign: [&[u8]; 6] = [b"", b"\0", b"{}", b"\x01", b"\x01 text", &nowhere];
    for bytes in foreign {
        assert!(!is_from_newer_release(bytes), "{}", bytes.escape_ascii());
    }
}
