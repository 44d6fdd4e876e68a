//! Bound for what a server sends before the head of its response.
//!
//! The HTTP library skips interim responses (1xx) as long as they arrive, without returning to its caller in between, so that
//! no timeout of a request ends them.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Number of bytes that a connection may still read until the head of the response is complete; `None` while it waits for
/// none.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadLimit(Rc<Cell<Option<usize>>>);

/// The wait for the head of a response. The limit ends with it.
pub(super) struct HeadWait(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Begins to wait for the head of a response, with which at most `max_bytes` may be read.
    pub(super) fn begin(&self, max_bytes: usize) -> HeadWait {
        self.0.set(Some(max_bytes));
        HeadWait(Rc::clone(&self.0))
    }

    /// Counts bytes that have been read. Returns whether they are within the limit.
    fn count(&self, bytes: usize) -> bool {
        let Some(left) = self.0.get() else {
            return true;
        };
        self.0.set(Some(left.saturating_sub(bytes)));
        bytes <= left
    }
}

impl Drop for HeadWait {
    fn drop(&mut self) {
        self.0.set(None);
    }
}

/// A connection to a server that fails once the server exceeds the limit.
pub(super) struct HeadLimitedStream<S> {
    inner: S,
    limit: HeadLimit,
}

impl<S> HeadLimitedStream<S> {
    pub(super) fn new(inner: S, limit: HeadLimit) -> Self {
        HeadLimitedStream { inner, limit }
    }
}

impl<S> AsyncRead for HeadLimitedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = std::task::ready!(Pin::new(&mut self.inner).poll_read(context, buffer));
        let is_within = self.limit.count(buffer.filled().len() - before);
        Poll::Ready(match is_within {
            true => read,
            false => Err(io::Error::other("a response without a head")),
        })
    }
}

impl<S> AsyncWrite for HeadLimitedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
