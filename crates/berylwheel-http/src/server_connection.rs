//! The server's side of a connection, with read limits that depend on the stage of the request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use crate::Connection;
use crate::write_buffer::WriteBuffer;

/// Maximum size of a request head in bytes. `async-h1` checks its own limit only at the end of a
/// line, so an endless line would exhaust memory.
const HEAD_LIMIT: usize = 8 << 10;

/// Maximum number of bytes of an unread body that are discarded to keep the connection open. Beyond
/// that, closing the connection costs less than reading the rest.
const SKIP_LIMIT: usize = 64 << 10;

/// The processing stage of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The head is being received.
    #[default]
    Head,
    /// The handler is running.
    Handler,
    /// The handler has returned the response.
    Answer,
}

/// State of the current request.
#[derive(Debug, Default)]
struct Progress {
    stage: Stage,
    head_bytes: usize,
    skipped: usize,
    ended: bool,
    joined: bool,
    buffer: WriteBuffer,
}

/// A connection whose reads fail beyond the limits of the current stage. Clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct Inbound {
    connection: Connection,
    progress: Arc<Mutex<Progress>>,
}

impl Inbound {
    /// Wraps `connection` with the state of a request whose head has not arrived.
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection, progress: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("no panic while locked")
    }

    /// Resets the state for the next request.
    pub(crate) fn begin(&self) {
        *self.lock() = Progress::default();
    }

    pub(crate) fn enter(&self, stage: Stage) {
        self.lock().stage = stage;
    }

    /// Buffers writes so that head and body are sent together. A response of unknown length must
    /// not be buffered, since it is sent as it is produced.
    pub(crate) fn join_writes(&self) {
        self.lock().joined = true;
    }

    pub(crate) fn stage(&self) -> Stage {
        self.lock().stage
    }

    /// Returns whether any bytes of the head have arrived.
    pub(crate) fn has_head_bytes(&self) -> bool {
        self.lock().head_bytes > 0
    }

    /// Returns whether the head has reached its size limit.
    pub(crate) fn is_head_over(&self) -> bool {
        self.lock().head_bytes >= HEAD_LIMIT
    }

    /// Returns whether the caller has closed its side of the connection.
    pub(crate) fn is_ended(&self) -> bool {
        self.lock().ended
    }
}

impl AsyncRead for Inbound {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut progress = this.progress.lock().expect("no panic while locked");
        if progress.head_bytes >= HEAD_LIMIT && progress.stage == Stage::Head {
            return Poll::Ready(Err(io::Error::other("request head is larger than 8 KB")));
        }
        let skipping = progress.stage == Stage::Answer;
        let read = Pin::new(&mut this.connection).poll_read(cx, buf);
        if skipping && (read.is_pending() || progress.skipped >= SKIP_LIMIT) {
            // Otherwise a caller could keep the connection open by sending the rest slowly.
            return Poll::Ready(Err(io::Error::other("request body was not read by the handler")));
        }
        let n = ready!(read)?;
        match progress.stage {
            Stage::Head => progress.head_bytes += n,
            Stage::Handler => (),
            Stage::Answer => progress.skipped += n,
        }
        progress.ended |= n == 0;
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for Inbound {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut progress = this.progress.lock().expect("no panic while locked");
        if progress.joined {
            return progress.buffer.poll_push(&mut this.connection, cx, buf);
        }
        Pin::new(&mut this.connection).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut progress = this.progress.lock().expect("no panic while locked");
        progress.buffer.poll_drain(&mut this.connection, cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_close(cx)
    }
}
