//! The server's side of a connection: bounds on what is read, by the stage of the request.

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
use crate::coalesce::WriteBuffer;

/// The largest head in bytes. `async-h1` checks its own limit only at the end of a line, so a line
/// without end would fill the memory.
const HEAD_LIMIT: usize = 8 << 10;

/// Bytes of an unread body that are skipped to keep the connection. More is not worth its traffic.
const SKIP_LIMIT: usize = 64 << 10;

/// How far a request is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its head has not arrived whole.
    #[default]
    Head,
    /// The handler works on it.
    Handler,
    /// The handler has returned the response.
    Answer,
}

#[derive(Debug, Default)]
struct Progress {
    stage: Stage,
    head_bytes: usize,
    skipped: usize,
    ended: bool,
    joined: bool,
    buffer: WriteBuffer,
}

/// A connection that refuses reads out of bounds. Clones share the stage.
#[derive(Debug, Clone)]
pub(crate) struct Inbound {
    connection: Connection,
    progress: Arc<Mutex<Progress>>,
}

impl Inbound {
    /// Returns the server's side of `connection`.
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection, progress: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("no panic while locked")
    }

    /// Starts with the next request.
    pub(crate) fn begin(&self) {
        *self.lock() = Progress::default();
    }

    /// Enters a stage.
    pub(crate) fn enter(&self, stage: Stage) {
        self.lock().stage = stage;
    }

    /// Sends the answer in one piece. An answer of unknown length goes out as it is made.
    pub(crate) fn join_writes(&self) {
        self.lock().joined = true;
    }

    /// Returns the stage.
    pub(crate) fn stage(&self) -> Stage {
        self.lock().stage
    }

    /// Returns whether any of the head has arrived.
    pub(crate) fn has_head_bytes(&self) -> bool {
        self.lock().head_bytes > 0
    }

    /// Returns whether the head was refused for its size.
    pub(crate) fn is_head_over(&self) -> bool {
        self.lock().head_bytes >= HEAD_LIMIT
    }

    /// Returns whether the caller has ended the connection within the head.
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
            return Poll::Ready(Err(io::Error::other("head over 8 KB")));
        }
        let skipping = progress.stage == Stage::Answer;
        let read = Pin::new(&mut this.connection).poll_read(cx, buf);
        if skipping && (read.is_pending() || progress.skipped >= SKIP_LIMIT) {
            // The caller could hold the connection by sending the rest slowly.
            return Poll::Ready(Err(io::Error::other("body not read")));
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
