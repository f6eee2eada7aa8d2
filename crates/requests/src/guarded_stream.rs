//! Reports the progress of a connection's stream to its slot.

use std::io;
use std::sync::Arc;
use std::task::Poll;

use crate::connection_table::ConnectionSlot;
use crate::observed_stream::ObservedStream;
use crate::observed_stream::StreamObserver;

/// Stream of a connection in a table.
pub type GuardedStream = ObservedStream<SlotObserver>;

/// Reports progress to a connection's slot.
pub struct SlotObserver {
    slot: Arc<ConnectionSlot>,
    /// Whether the last write was blocked. Only changes are reported.
    is_blocked: bool,
}

impl SlotObserver {
    /// Reports to `slot`.
    pub fn new(slot: Arc<ConnectionSlot>) -> Self {
        Self { slot, is_blocked: false }
    }
}

impl StreamObserver for SlotObserver {
    fn received(&mut self, bytes: usize) -> io::Result<()> {
        self.slot.received(bytes);
        Ok(())
    }

    fn written(&mut self, result: &Poll<io::Result<usize>>) {
        if self.is_blocked != result.is_pending() {
            self.is_blocked = result.is_pending();
            self.slot.sent(self.is_blocked);
        }
    }
}
