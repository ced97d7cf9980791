//! Connections to backend servers, which may answer before they have read the whole request.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_io::Async;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use super::socket::GatedSocket;
use super::traffic::Traffic;

/// State that a connection to a backend server shares with its user.
#[derive(Debug, Default)]
pub(crate) struct SocketState {
    /// Number of bytes written, which tells whether a failed request may have reached the server.
    written: AtomicU64,
    /// Whether the next read must look for bytes although none were reported.
    reused: AtomicBool,
    /// Whether a write has failed.
    write_failed: AtomicBool,
}

impl SocketState {
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns whether a write has failed, so that the connection can carry no further request.
    pub(crate) fn has_failed_write(&self) -> bool {
        self.write_failed.load(Ordering::Relaxed)
    }

    /// Makes the next read look for bytes, which may have arrived a moment ago. `hyper` reads before
    /// it writes the next request, and closes a connection that has received a second response.
    pub(crate) fn check_before_reuse(&self) {
        self.reused.store(true, Ordering::Relaxed);
    }
}

/// A connection to a backend server.
///
/// A failed write is reported only once everything that was received has been read: `hyper` drops the
/// response when a write of the request fails, also one that has arrived whole.
#[derive(Debug)]
pub(crate) struct ServerSocket {
    inner: GatedSocket,
    state: Arc<SocketState>,
    /// The error of the first write that failed.
    write_error: Option<io::ErrorKind>,
    /// Whether a read has found the end of the stream or an error.
    read_ended: bool,
}

impl ServerSocket {
    pub(crate) fn new(
        stream: Async<TcpStream>,
        traffic: Traffic,
    ) -> io::Result<(Self, Arc<SocketState>)> {
        stream.get_ref().set_nodelay(true)?;
        let state = Arc::new(SocketState::default());
        let inner = GatedSocket::new(Arc::new(stream), traffic);
        let socket = Self { inner, state: state.clone(), write_error: None, read_ended: false };
        Ok((socket, state))
    }

    /// Returns the result of a read that found the end of the stream.
    ///
    /// The kernel reports a reset once. If a write has taken the report, reads end as if the server
    /// had closed the connection, and a body without length or chunks would look whole. A write
    /// fails with `ConnectionReset` if the server had not closed its side before, and with
    /// `BrokenPipe` if it had.
    fn end_of_stream(&self) -> io::Result<()> {
        match self.write_error {
            None | Some(io::ErrorKind::BrokenPipe) => Ok(()),
            Some(kind) => Err(kind.into()),
        }
    }
}

impl Read for ServerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.state.reused.swap(false, Ordering::Relaxed) {
            self.inner.read_at_once();
        }
        let read = ready!(self.inner.poll_receive(cx, buffer));
        if matches!(read, Ok(1..)) {
            return Poll::Ready(Ok(()));
        }
        self.read_ended = true;
        if self.write_error.is_some() {
            // The write that failed waits for this.
            cx.waker().wake_by_ref();
        }
        Poll::Ready(read.and_then(|_| self.end_of_stream()))
    }
}

impl Write for ServerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write_error.is_none() {
            match ready!(Pin::new(&mut self.inner).poll_write(cx, bytes)) {
                Ok(written) => {
                    self.state.written.fetch_add(written as u64, Ordering::Relaxed);
                    return Poll::Ready(Ok(written));
                }
                Err(error) => {
                    self.write_error = Some(error.kind());
                    self.state.write_failed.store(true, Ordering::Relaxed);
                    self.inner.read_at_once();
                    cx.waker().wake_by_ref();
                }
            }
        }
        match self.write_error {
            Some(kind) if self.read_ended => Poll::Ready(Err(kind.into())),
            _ => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
