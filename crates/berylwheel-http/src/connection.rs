//! A TCP connection that counts the bytes it carried.

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
/// The count of bytes written tells whether a failed request can have reached the peer, and the
/// count of bytes read tells a slow sender from an idle connection.
#[derive(Debug, Clone)]
pub struct Connection {
    stream: Arc<Async<TcpStream>>,
    read: Arc<AtomicU64>,
    written: Arc<AtomicU64>,
    waits: Arc<AtomicU64>,
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
            waits: Arc::default(),
        })
    }

    /// Opens a connection to `address`.
    ///
    /// # Errors
    /// Fails if the peer does not accept.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(address).await?)
    }

    /// Returns the bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Returns the bytes handed to the system for sending so far.
    pub fn bytes_written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns how often a read found nothing and registered to be woken up.
    pub(crate) fn waits(&self) -> u64 {
        self.waits.load(Ordering::Relaxed)
    }

    /// Returns whether the peer has closed its side or broken the connection.
    pub fn is_closed(&self) -> bool {
        match self.stream.get_ref().peek(&mut [0]) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(n) => n == 0,
        }
    }

    /// Returns whether the peer has closed an idle connection, or sent something unasked.
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
                self.waits.fetch_add(1, Ordering::Relaxed);
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
        // `async-io` only flushes here, and the peer would not see the end before the drop.
        Poll::Ready(self.stream.get_ref().shutdown(Shutdown::Write))
    }
}
