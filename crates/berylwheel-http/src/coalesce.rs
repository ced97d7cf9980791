//! Joins the head and the body of a message, which the library writes one after the other, so that
//! they leave in one segment and wake the receiver once.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use crate::Connection;

/// Bytes that are kept back at most.
const BUFFER_LIMIT: usize = 64 << 10;

/// Bytes that wait for the end of their message.
#[derive(Debug, Default)]
pub(crate) struct WriteBuffer {
    bytes: Vec<u8>,
    sent: usize,
}

impl WriteBuffer {
    /// Takes in bytes, once there is room for them.
    pub(crate) fn poll_push(
        &mut self,
        connection: &mut Connection,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.bytes.len() + bytes.len() > BUFFER_LIMIT {
            ready!(self.poll_drain(connection, cx))?;
        }
        self.bytes.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    /// Sends what waits.
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

/// The client's side of a connection: what is written is sent at a flush, or before a read.
#[derive(Debug)]
pub(crate) struct Outbound {
    connection: Connection,
    buffer: WriteBuffer,
}

impl Outbound {
    /// Returns the client's side of `connection`.
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection, buffer: WriteBuffer::default() }
    }
}

impl AsyncRead for Outbound {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.as_mut().poll_flush(cx))?;
        Pin::new(&mut self.connection).poll_read(cx, buf)
    }
}

impl AsyncWrite for Outbound {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.buffer.poll_push(&mut this.connection, cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.buffer.poll_drain(&mut this.connection, cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(cx))?;
        Pin::new(&mut self.connection).poll_close(cx)
    }
}
