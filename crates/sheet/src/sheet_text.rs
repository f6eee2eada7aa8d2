//! Decodes a file's bytes to text and detects the delimiter of its cells.

use crate::sheet_issue::SheetIssue;

/// Byte order mark, which some spreadsheet programs write at the start of UTF-8 files.
const BYTE_ORDER_MARK: &str = "\u{feff}";
/// Delimiters that are recognised; spreadsheet programs choose one by their locale.
const DELIMITERS: [u8; 3] = [b',', b';', b'\t'];

/// Decodes UTF-8 and strips a byte order mark.
///
/// # Errors
/// A [`SheetIssue`] with line and offset of the first byte that is not valid UTF-8.
pub fn decode(bytes: &[u8]) -> Result<&str, SheetIssue> {
    match std::str::from_utf8(bytes) {
        Err(error) => {
            let offset = error.valid_up_to();
            let line = bytes[..offset].iter().filter(|byte| **byte == b'\n').count() as u64 + 1;
            let value = format!("byte {offset} (0x{:02x})", bytes[offset]);
            Err(SheetIssue::new(line, "(encoding)", &value, "text in UTF-8"))
        }
        Ok(text) => Ok(text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text)),
    }
}

/// The delimiter that occurs most often in the header row outside quotes; a comma if there is none.
pub(crate) fn delimiter(text: &str) -> u8 {
    let header = text.lines().next().unwrap_or_default();
    let mut counts = [0_usize; DELIMITERS.len()];
    let mut is_quoted = false;
    for byte in header.bytes() {
        is_quoted ^= byte == b'"';
        if let Some(index) = DELIMITERS.iter().position(|candidate| *candidate == byte)
            && !is_quoted
        {
            counts[index] += 1;
        }
    }
    let most = (0..DELIMITERS.len()).rev().max_by_key(|index| counts[*index]);
    DELIMITERS[most.unwrap_or_default()]
}
