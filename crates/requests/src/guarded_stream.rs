//! A TCP stream that reports its progress to its connection's slot.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::connection_table::ConnectionSlot;

/// Stream of a connection in a table.
pub struct GuardedStream {
    stream: TcpStream,
    slot: Arc<ConnectionSlot>,
    /// Whether the last write was blocked. Only changes are reported.
    is_blocked: bool,
}

impl GuardedStream {
    /// Reports the progress of `stream` to `slot`.
    pub fn new(stream: TcpStream, slot: Arc<ConnectionSlot>) -> Self {
        Self { stream, slot, is_blocked: false }
    }

    fn report_write<T>(&mut self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if self.is_blocked != result.is_pending() {
            self.is_blocked = result.is_pending();
            self.slot.sent(self.is_blocked);
        }
        result
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.slot.received(bytes);
        }
        result
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.report_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.report_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
