//! A TCP connection that counts the bytes read and written.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// A shared TCP connection.
///
/// The number of bytes written tells whether a failed request may have reached the peer. The number
/// of bytes read distinguishes a slow sender from an idle connection.
#[derive(Debug, Clone)]
pub struct Connection {
    stream: Arc<Async<TcpStream>>,
    read: Arc<AtomicU64>,
    written: Arc<AtomicU64>,
    pending_reads: Arc<AtomicU64>,
}

impl Connection {
    /// Wraps an accepted stream.
    ///
    /// # Errors
    /// Fails if Nagle's algorithm cannot be turned off.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        Ok(Self {
            stream: Arc::new(stream),
            read: Arc::default(),
            written: Arc::default(),
            pending_reads: Arc::default(),
        })
    }

    /// Opens a connection to `address`.
    ///
    /// # Errors
    /// Fails if the connection cannot be established.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(address).await?)
    }

    /// Returns the number of bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes written to the socket so far.
    pub fn bytes_written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns the number of reads that found no data and registered a waker.
    pub(crate) fn pending_reads(&self) -> u64 {
        self.pending_reads.load(Ordering::Relaxed)
    }

    /// Returns whether the peer has closed its side or the connection has failed.
    pub fn is_closed(&self) -> bool {
        match self.stream.get_ref().peek(&mut [0]) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(n) => n == 0,
        }
    }

    /// Returns whether an idle connection cannot be reused: it was closed, has failed, or received
    /// data without a request.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        match self.stream.get_ref().peek(&mut byte) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut &*self.stream).poll_read(cx, buf);
        match &result {
            Poll::Ready(Ok(n)) => {
                self.read.fetch_add(*n as u64, Ordering::Relaxed);
            }
            Poll::Ready(Err(_)) => (),
            Poll::Pending => {
                self.pending_reads.fetch_add(1, Ordering::Relaxed);
            }
        }
        result
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut &*self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &result {
            self.written.fetch_add(*n as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // `async-io` only flushes on close, so the peer would see the end of the stream only when
        // the socket is dropped.
        Poll::Ready(self.stream.get_ref().shutdown(Shutdown::Write))
    }
}
