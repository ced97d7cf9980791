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
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Maximum number of bytes of an unread body that are discarded to keep the connection open. Beyond
/// that, closing the connection costs less than reading the rest.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// The processing stage of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// The head is being received.
    #[default]
    Head,
    /// The handler is running.
    Handler,
    /// The handler has returned the response.
    Response,
}

/// State of the current request.
#[derive(Debug, Default)]
struct RequestState {
    stage: RequestStage,
    head_bytes: usize,
    discarded: usize,
    closed: bool,
    buffering: bool,
    buffer: WriteBuffer,
}

/// A connection whose reads fail beyond the limits of the current stage. Clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct ServerConnection {
    connection: Connection,
    state: Arc<Mutex<RequestState>>,
}

impl ServerConnection {
    /// Wraps `connection` with the state of a request whose head has not arrived.
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection, state: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, RequestState> {
        self.state.lock().expect("no panic while locked")
    }

    /// Resets the state for the next request.
    pub(crate) fn begin_request(&self) {
        *self.lock() = RequestState::default();
    }

    pub(crate) fn set_stage(&self, stage: RequestStage) {
        self.lock().stage = stage;
    }

    /// Buffers writes so that head and body are sent together. A response of unknown length must
    /// not be buffered, since it is sent as it is produced.
    pub(crate) fn buffer_writes(&self) {
        self.lock().buffering = true;
    }

    pub(crate) fn stage(&self) -> RequestStage {
        self.lock().stage
    }

    /// Returns whether any bytes of the head have arrived.
    pub(crate) fn has_head_bytes(&self) -> bool {
        self.lock().head_bytes > 0
    }

    /// Returns whether the head has reached its size limit.
    pub(crate) fn is_head_too_large(&self) -> bool {
        self.lock().head_bytes >= MAX_HEAD_BYTES
    }

    /// Returns whether the caller has closed its side of the connection.
    pub(crate) fn is_closed_by_caller(&self) -> bool {
        self.lock().closed
    }
}

impl AsyncRead for ServerConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = this.state.lock().expect("no panic while locked");
        if state.head_bytes >= MAX_HEAD_BYTES && state.stage == RequestStage::Head {
            return Poll::Ready(Err(io::Error::other("request head is larger than 8 KB")));
        }
        let discarding = state.stage == RequestStage::Response;
        let read = Pin::new(&mut this.connection).poll_read(cx, buf);
        if discarding && (read.is_pending() || state.discarded >= MAX_DISCARDED_BYTES) {
            // Otherwise a caller could keep the connection open by sending the rest slowly.
            return Poll::Ready(Err(io::Error::other("request body was not read by the handler")));
        }
        let n = ready!(read)?;
        match state.stage {
            RequestStage::Head => state.head_bytes += n,
            RequestStage::Handler => (),
            RequestStage::Response => state.discarded += n,
        }
        state.closed |= n == 0;
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for ServerConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = this.state.lock().expect("no panic while locked");
        if state.buffering {
            return state.buffer.poll_push(&mut this.connection, cx, buf);
        }
        Pin::new(&mut this.connection).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut state = this.state.lock().expect("no panic while locked");
        state.buffer.poll_drain(&mut this.connection, cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_close(cx)
    }
}
