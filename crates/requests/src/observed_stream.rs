//! A TCP stream that reports what it transfers.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Notes what a stream transfers.
pub trait StreamObserver: Unpin {
    /// Notes received bytes.
    ///
    /// # Errors
    /// Makes the read fail.
    fn received(&mut self, bytes: usize) -> io::Result<()>;

    /// Notes the result of a write.
    fn written(&mut self, result: &Poll<io::Result<usize>>);
}

/// A TCP stream with its observer.
pub struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
}

impl<O> ObservedStream<O>
where
    O: StreamObserver,
{
    /// Reports what `stream` transfers to `observer`.
    pub fn new(stream: TcpStream, observer: O) -> Self {
        Self { stream, observer }
    }
}

impl<O> AsyncRead for ObservedStream<O>
where
    O: StreamObserver,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.observer.received(bytes)?;
        }
        result
    }
}

impl<O> AsyncWrite for ObservedStream<O>
where
    O: StreamObserver,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observer.written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.observer.written(&result);
        result
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
