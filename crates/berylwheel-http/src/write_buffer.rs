//! Write coalescing: `async-h1` writes the head and the body of a message separately; buffering
//! them sends both in one TCP segment and wakes the receiver once.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use crate::Connection;
use crate::Expiry;
use crate::head_limit::HeadLimit;

/// Maximum number of bytes buffered.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Bytes buffered until their message is complete.
#[derive(Debug, Default)]
pub(crate) struct WriteBuffer {
    bytes: Vec<u8>,
    sent: usize,
}

impl WriteBuffer {
    /// Returns whether no bytes are waiting to be sent.
    fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether part of the buffered bytes was sent.
    fn has_sent(&self) -> bool {
        self.sent > 0
    }

    /// Returns whether `count` more bytes fit without sending the buffered ones first.
    fn has_room(&self, count: usize) -> bool {
        self.bytes.len() + count <= MAX_BUFFERED_BYTES
    }

    /// Adds bytes to the buffer, and first sends the buffered ones if they would not fit.
    pub(crate) fn poll_push(
        &mut self,
        connection: &mut Connection,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.has_room(bytes.len()) {
            ready!(self.poll_drain(connection, cx))?;
        }
        self.bytes.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    /// Sends all buffered bytes.
    pub(crate) fn poll_drain(
        &mut self,
        connection: &mut Connection,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        while self.sent < self.bytes.len() {
            let rest = &self.bytes[self.sent..];
            let n = ready!(Pin::new(&mut *connection).poll_write(cx, rest))?;
            if n == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.sent += n;
        }
        self.bytes.clear();
        self.sent = 0;
        Poll::Ready(Ok(()))
    }
}

/// The client's side of a connection. Buffers writes until a flush, a read or a close.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    connection: Connection,
    buffer: WriteBuffer,
    /// Time from which no first byte may be written; cleared once that byte was written.
    expiry: Option<Expiry>,
    head_limit: HeadLimit,
}

impl ClientConnection {
    /// Wraps `connection` with an empty buffer.
    pub(crate) fn new(
        connection: Connection,
        expiry: Option<Expiry>,
        head_limit: HeadLimit,
    ) -> Self {
        Self { connection, buffer: WriteBuffer::default(), expiry, head_limit }
    }

    /// Sends all buffered bytes, unless none was sent before the expiry.
    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.buffer.is_empty() {
            return Poll::Ready(Ok(()));
        }
        if self.expiry.as_ref().is_some_and(Expiry::is_past) {
            let detail = "the request expired before it could be sent";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, detail)));
        }
        let drained = self.buffer.poll_drain(&mut self.connection, cx);
        if self.buffer.has_sent() || drained.is_ready() {
            self.expiry = None;
        }
        drained
    }
}

impl AsyncRead for ClientConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.as_mut().poll_flush(cx))?;
        let size = ready!(Pin::new(&mut self.connection).poll_read(cx, buf))?;
        Poll::Ready(self.head_limit.count(size))
    }
}

impl AsyncWrite for ClientConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if !this.buffer.has_room(buf.len()) {
            ready!(this.poll_drain(cx))?;
        }
        this.buffer.poll_push(&mut this.connection, cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().poll_drain(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(cx))?;
        Pin::new(&mut self.connection).poll_close(cx)
    }
}
