//! Byte counts of sockets, which include the transport's framing.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Poll;

use cuminbarrow_requests::observed_stream::ObservedStream;
use cuminbarrow_requests::observed_stream::StreamObserver;

/// Total bytes received and sent over a set of sockets.
#[derive(Debug, Default)]
pub struct ByteCounter {
    received: AtomicU64,
    sent: AtomicU64,
}

impl ByteCounter {
    /// Total bytes received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Total bytes sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// A TCP socket that adds the bytes it transfers to a [`ByteCounter`].
pub(crate) type CountedStream = ObservedStream<CountObserver>;

/// Adds transferred bytes to a counter.
pub(crate) struct CountObserver {
    counter: Arc<ByteCounter>,
}

impl CountObserver {
    pub(crate) fn new(counter: Arc<ByteCounter>) -> Self {
        Self { counter }
    }
}

impl StreamObserver for CountObserver {
    fn received(&mut self, bytes: usize) -> io::Result<()> {
        self.counter.received.fetch_add(bytes as u64, Ordering::Relaxed);
        Ok(())
    }

    fn written(&mut self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = result {
            self.counter.sent.fetch_add(*count as u64, Ordering::Relaxed);
        }
    }
}
