//! Cache of the latest log batches, served to other entries of the same region.

use std::collections::VecDeque;

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::codec;

/// Maximum size of the cache, in bytes.
const MAX_CACHED_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of one page, in bytes, unless its first batch alone is larger.
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Cache of the latest consecutive batches, in the encoding of the log.
#[derive(Debug, Default)]
pub(crate) struct RecentBatches {
    first_offset: u64,
    bodies: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl RecentBatches {
    /// Adds the batch at `offset`. Clears the cache first if the batch does not follow the last
    /// one.
    pub(crate) fn push(&mut self, offset: u64, batch: &Batch) {
        let Ok(body) = codec::encode(batch) else { return self.clear() };
        if offset != self.first_offset + self.bodies.len() as u64 {
            self.clear();
            self.first_offset = offset;
        }
        self.bytes += body.len();
        self.bodies.push_back(body);
        while self.bytes > MAX_CACHED_BYTES
            && let Some(body) = self.bodies.pop_front()
        {
            self.bytes -= body.len();
            self.first_offset += 1;
        }
    }

    /// Empties the cache.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns up to one page of batches starting at offset `from`; `None` if `from` is outside the
    /// cached range.
    pub(crate) fn page(&self, from: u64, limit: u32) -> Option<Vec<Vec<u8>>> {
        let skipped = usize::try_from(from.checked_sub(self.first_offset)?).ok()?;
        if skipped > self.bodies.len() {
            return None;
        }
        let mut bytes = 0;
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let bodies = self.bodies.iter().skip(skipped).take(limit).take_while(|body| {
            let is_within = bytes == 0 || bytes + body.len() <= MAX_PAGE_BYTES;
            bytes += body.len();
            is_within
        });
        Some(bodies.cloned().collect())
    }
}
