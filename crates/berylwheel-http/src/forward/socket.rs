//! TCP connections with the I/O traits of `hyper`.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_io::Async;
use async_io::Timer;
use berylwheel_types::Millis;
use futures_lite::Future;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use smol_hyper::rt::FuturesIo;

/// A connection to a backend server that counts the bytes written, to tell whether a failed request
/// may have reached the server.
#[derive(Debug)]
pub(crate) struct CountingSocket {
    inner: FuturesIo<Async<TcpStream>>,
    written: Arc<AtomicU64>,
}

impl CountingSocket {
    pub(crate) fn new(stream: Async<TcpStream>) -> io::Result<(Self, Arc<AtomicU64>)> {
        stream.get_ref().set_nodelay(true)?;
        let written = Arc::new(AtomicU64::new(0));
        Ok((Self { inner: FuturesIo::new(stream), written: written.clone() }, written))
    }
}

impl Read for CountingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl Write for CountingSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, bytes))?;
        self.written.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Number of active requests on one caller's connection.
pub(crate) type ActiveCount = Arc<AtomicU64>;

/// A caller's connection, whose reads fail if the caller stays idle or sends a head too slowly.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    inner: FuturesIo<Async<TcpStream>>,
    active: ActiveCount,
    head_timeout: Millis,
    idle_timeout: Millis,
    state: CallerState,
    timer: Timer,
}

/// State of a caller's connection, which selects its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerState {
    Responding,
    Idle,
    ReceivingHead,
}

impl CallerSocket {
    pub(crate) fn new(
        stream: Async<TcpStream>,
        active: ActiveCount,
        head_timeout: Millis,
        idle_timeout: Millis,
    ) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        let inner = FuturesIo::new(stream);
        let timer = Timer::after(idle_timeout.duration());
        Ok(Self { inner, active, head_timeout, idle_timeout, state: CallerState::Idle, timer })
    }

    /// Returns whether the time limit of the current state has expired.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        if self.active.load(Ordering::Relaxed) > 0 {
            self.state = CallerState::Responding;
            return false;
        }
        if self.state == CallerState::Responding {
            self.state = CallerState::Idle;
            self.timer.set_after(self.idle_timeout.duration());
        }
        Pin::new(&mut self.timer).poll(cx).is_ready()
    }
}

impl Read for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if read.is_ready() {
            if self.state == CallerState::Idle && self.active.load(Ordering::Relaxed) == 0 {
                self.state = CallerState::ReceivingHead;
                let limit = self.head_timeout.duration();
                self.timer.set_after(limit);
            }
            return read;
        }
        if self.poll_expired(cx) {
            let detail = "idle or request head time limit expired";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, detail)));
        }
        Poll::Pending
    }
}

impl Write for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
