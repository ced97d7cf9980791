//! TCP connections with the I/O traits of `hyper`.

use std::cell::RefCell;
use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
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

use super::exchange::ExchangeCounts;
use super::local_timeout::local_timeout;
use super::server::LimitsSource;
use super::traffic::Traffic;

/// Number of reads after which a connection lets other tasks run. `hyper` reads for as long as
/// there is data, so a peer that sends faster than it parses would otherwise keep the thread.
const READS_BEFORE_YIELD: u32 = 16;
/// Size of the buffer that each thread reads into.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Time for which the rest of a request is read after its connection was shut down.
const DISCARD_TIME: Millis = Millis(500);
/// Maximum number of bytes that are read after a connection was shut down.
const DISCARD_BYTES: usize = 1 << 20;

thread_local! {
    /// Read buffer, shared by the connections of a thread.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_BYTES]);
}

/// A TCP connection that reads only when data may be there. `hyper` polls for more after each event
/// of a stream and for the caller's next request, and most of these reads would find nothing.
#[derive(Debug)]
pub(super) struct GatedSocket {
    stream: Arc<Async<TcpStream>>,
    /// Whether the last read took all received bytes, so that the next one waits until the
    /// connection is readable.
    drained: bool,
    /// Number of reads since the connection last had nothing to read.
    reads: u32,
    traffic: Traffic,
}

impl GatedSocket {
    pub(super) fn new(stream: Arc<Async<TcpStream>>, traffic: Traffic) -> Self {
        traffic.record_connection();
        Self { stream, drained: false, reads: 0, traffic }
    }
}

impl GatedSocket {
    /// Makes the next read look for bytes although none were reported.
    pub(super) fn read_at_once(&mut self) {
        self.drained = false;
    }

    /// Reads into `buffer` and returns the number of bytes read, 0 at the end of the stream.
    pub(super) fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.drained {
                self.reads = 0;
                ready!(self.stream.poll_readable(cx))?;
                self.drained = false;
            }
            if self.reads >= READS_BEFORE_YIELD {
                self.reads = 0;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            self.reads += 1;
            let read = READ_BUFFER.with_borrow_mut(|bytes| {
                let limit = bytes.len().min(buffer.remaining());
                let count = self.stream.get_ref().read(&mut bytes[..limit])?;
                buffer.put_slice(&bytes[..count]);
                Ok((count, limit))
            });
            match read {
                Ok((count, limit)) => {
                    self.traffic.record_received(count as u64);
                    // The end of the stream is no short read: it is reported again.
                    self.drained = count > 0 && count < limit;
                    return Poll::Ready(Ok(count));
                }
                Err(error) if is_retryable(&error) => {
                    self.drained = error.kind() == io::ErrorKind::WouldBlock;
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Read for GatedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_receive(cx, buffer).map_ok(|_| ())
    }
}

impl Write for GatedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.stream.get_ref().write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.stream.poll_writable(cx))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(count) => {
                    self.traffic.record_sent(count as u64);
                    return Poll::Ready(Ok(count));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.stream.get_ref().shutdown(Shutdown::Write) {
            // The peer has already reset the connection.
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            result => Poll::Ready(result),
        }
    }
}

fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// A caller's connection, whose reads fail if the caller stays idle or sends a head too slowly.
pub(crate) struct CallerSocket {
    inner: GatedSocket,
    counts: ExchangeCounts,
    limits: LimitsSource,
    state: CallerState,
    /// Number of requests that had started when the state was entered.
    started: u64,
    /// Limit that the timer stands for.
    limit: Millis,
    timer: Timer,
}

/// What the caller is expected to do, which selects its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerState {
    /// To begin a request, or to wait for its response.
    Idle,
    /// To complete the head of a request.
    SendingHead,
}

impl CallerSocket {
    pub(crate) fn new(
        stream: Arc<Async<TcpStream>>,
        counts: ExchangeCounts,
        limits: LimitsSource,
        traffic: Traffic,
    ) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        let inner = GatedSocket::new(stream, traffic);
        let limit = limits().idle_timeout;
        let timer = Timer::after(limit.duration());
        Ok(Self { inner, counts, limits, state: CallerState::Idle, started: 0, limit, timer })
    }

    fn enter(&mut self, state: CallerState) {
        self.state = state;
        self.started = self.counts.started();
        self.limit = self.current_limit();
        self.timer.set_after(self.limit.duration());
    }

    fn current_limit(&self) -> Millis {
        let limits = (self.limits)();
        match self.state {
            CallerState::Idle => limits.idle_timeout,
            CallerState::SendingHead => limits.head_timeout,
        }
    }

    /// Returns whether the time limit of the current state has expired. The timer is not set anew at
    /// each request: when it fires after one, the caller gets the idle limit from then on.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            if Pin::new(&mut self.timer).poll(cx).is_pending() {
                return false;
            }
            if self.counts.is_active() || self.counts.started() != self.started {
                self.enter(CallerState::Idle);
                continue;
            }
            let current = self.current_limit();
            if current <= self.limit {
                return true;
            }
            self.timer.set_after(Millis(current.0 - self.limit.0).duration());
            self.limit = current;
        }
    }
}

impl Read for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(read) = self.inner.poll_receive(cx, buffer) {
            self.counts.record_received(read? as u64);
            let begins_head =
                self.state == CallerState::Idle || self.counts.started() != self.started;
            if begins_head && !self.counts.is_active() {
                self.enter(CallerState::SendingHead);
            }
            return Poll::Ready(Ok(()));
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

/// Shuts a connection down, and reads and drops what the caller still sends until it closes the
/// connection as well. Closing a connection with unread bytes resets it, and the caller may
/// then lose the response.
pub(crate) async fn discard_rest(stream: &Async<TcpStream>, traffic: &Traffic) {
    if let Err(error) = stream.get_ref().shutdown(Shutdown::Write) {
        log::trace!(error:% = error; "caller connection was closed already");
        return;
    }
    let mut left = DISCARD_BYTES;
    let discard = async {
        let mut bytes = [0; 4 << 10];
        while left > 0 {
            match stream.read_with(|mut stream| stream.read(&mut bytes)).await {
                Ok(0) => return,
                Ok(count) => {
                    traffic.record_received(count as u64);
                    left = left.saturating_sub(count);
                }
                Err(error) => {
                    log::trace!(error:% = error; "caller connection closed while it was read out");
                    return;
                }
            }
        }
    };
    if local_timeout(DISCARD_TIME, discard).await.is_none() {
        log::debug!("caller did not close its connection in time");
    }
}
