//! HTTP client with a pool of idle connections per address.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use berylwheel_types::Clock;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;

use crate::Connection;
use crate::head_limit::HeadLimit;
use crate::timeout;
use crate::workarounds::catch_poll_panic;
use crate::workarounds::decode_error;
use crate::write_buffer::ClientConnection;

/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Maximum number of bytes that are read for the head of a response. The body may begin in them.
const MAX_HEAD_BYTES: u64 = 64 << 10;

/// A request to send.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Whether a pooled connection may be used. A request that must not be repeated needs a new
    /// connection: if the peer closes a pooled one at that moment, it is unknown whether the
    /// request ran.
    pub pooled: bool,
    /// Time limit for the response head to arrive.
    pub head_timeout: Millis,
    /// Time from which the request must not be sent any more.
    pub expiry: Option<Expiry>,
}

/// A time from which a request must not be sent, checked immediately before its first byte is
/// written. A process that was paused while it connected thus does not send an outdated request.
#[derive(Debug, Clone)]
pub struct Expiry {
    /// The clock that decides.
    pub clock: Clock,
    /// The first time at which the request is not sent.
    pub time: Timestamp,
}

impl Expiry {
    /// Returns whether the request must not be sent any more.
    ///
    /// ```
    /// use berylwheel_http::Expiry;
    /// use berylwheel_types::{Clock, ManualClock, Millis, Timestamp};
    /// let manual = ManualClock::new(Timestamp::from_millis(0));
    /// let clock = Clock::Manual(manual.clone());
    /// let expiry = Expiry { clock, time: Timestamp::from_millis(5) };
    /// assert!(!expiry.is_past());
    /// manual.advance(Millis(5));
    /// assert!(expiry.is_past());
    /// ```
    pub fn is_past(&self) -> bool {
        self.clock.now() >= self.time
    }
}

impl OutgoingRequest {
    /// Returns a request without headers that may use the pool and waits 10 s for the response
    /// head.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            pooled: true,
            head_timeout: Millis(10_000),
            expiry: None,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(self, body: impl Into<Vec<u8>>) -> Self {
        Self { body: body.into(), ..self }
    }
}

/// Why a request failed, and whether any of it may have reached the peer.
#[derive(Debug)]
pub struct ClientError {
    /// Whether bytes of the request were written to the socket.
    pub sent: bool,
    /// Whether the time limit ran out.
    pub timed_out: bool,
    /// Description of the failure.
    pub detail: String,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sent = if self.sent { "after sending" } else { "before sending" };
        write!(f, "{} ({sent})", self.detail)
    }
}

impl std::error::Error for ClientError {}

/// An HTTP/1.1 client. Clones share the pool.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<FastMap<SocketAddr, Vec<Connection>>>>,
}

impl Client {
    /// Sends a request and returns the response once its head has arrived.
    ///
    /// # Errors
    /// Fails if the peer cannot be reached, closes the connection early or does not respond in
    /// time.
    pub async fn send(
        &self,
        address: SocketAddr,
        outgoing: &OutgoingRequest,
    ) -> Result<(Response, ResponseStream), ClientError> {
        self.send_within(address, outgoing, outgoing.head_timeout).await
    }

    async fn send_within(
        &self,
        address: SocketAddr,
        outgoing: &OutgoingRequest,
        time_limit: Millis,
    ) -> Result<(Response, ResponseStream), ClientError> {
        if outgoing.pooled
            && let Some(connection) = self.take_idle(address)
        {
            return self.exchange(address, connection, outgoing, time_limit).await;
        }
        let connected = timeout(time_limit, Connection::open(address)).await;
        let connection = match connected {
            Some(Ok(connection)) => connection,
            Some(Err(error)) => {
                let detail = format!("cannot connect to {address}: {error}");
                return Err(ClientError { sent: false, timed_out: false, detail });
            }
            None => {
                let detail = format!("connection to {address} not established within {time_limit}");
                return Err(ClientError { sent: false, timed_out: true, detail });
            }
        };
        self.exchange(address, connection, outgoing, time_limit).await
    }

    /// Sends a request and reads the complete response within `time_limit`.
    ///
    /// # Errors
    /// As [`Client::send`], and if the body is over `limit` bytes or does not arrive in time.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        outgoing: &OutgoingRequest,
        limit: u64,
        time_limit: Millis,
    ) -> Result<(Response, Vec<u8>), ClientError> {
        let client_error =
            |timed_out, detail: String| ClientError { sent: true, timed_out, detail };
        let complete_response = async {
            // Limits connecting to `time_limit` here, so that a connect timeout is reported as not
            // sent. The outer timeout reports the request as sent.
            let head_timeout = outgoing.head_timeout.min(time_limit);
            let (response, mut stream) = self.send_within(address, outgoing, head_timeout).await?;
            let mut bytes = Vec::new();
            (&mut stream)
                .take(limit + 1)
                .read_to_end(&mut bytes)
                .await
                .map_err(|error| client_error(false, error.to_string()))?;
            if bytes.len() as u64 > limit {
                return Err(client_error(false, format!("response is larger than {limit} bytes")));
            }
            Ok((response, bytes))
        };
        timeout(time_limit, complete_response).await.unwrap_or_else(|| {
            Err(client_error(true, format!("response not complete within {time_limit}")))
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no panic while locked");
        let pool = idle.get_mut(&address)?;
        while let Some(connection) = pool.pop() {
            if !connection.is_stale() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        let pool = idle.entry(address).or_default();
        if pool.len() < MAX_IDLE_CONNECTIONS {
            pool.push(connection);
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        connection: Connection,
        outgoing: &OutgoingRequest,
        time_limit: Millis,
    ) -> Result<(Response, ResponseStream), ClientError> {
        let written_before = connection.bytes_written();
        let client_error = |timed_out, detail: String| ClientError {
            sent: connection.bytes_written() > written_before,
            timed_out,
            detail: format!("{address}: {detail}"),
        };
        let request =
            build_request(address, outgoing).map_err(|detail| client_error(false, detail))?;
        let head_limit = HeadLimit::new(MAX_HEAD_BYTES);
        let client_connection =
            ClientConnection::new(connection.clone(), outgoing.expiry.clone(), head_limit.clone());
        // `http-types` panics on a header that is not ASCII.
        // The future is boxed because it is large enough to overflow the stack in debug builds.
        let response_future =
            AssertUnwindSafe(Box::pin(async_h1::connect(client_connection, request)));
        let response_future = async {
            let response_future = response_future.catch_unwind().await;
            response_future.unwrap_or_else(|_| Err(decode_error().into()))
        };
        let mut response = match timeout(time_limit, response_future).await {
            None => {
                return Err(client_error(true, format!("no response head within {time_limit}")));
            }
            Some(Err(error)) => return Err(client_error(false, error.to_string())),
            Some(Ok(response)) => response,
        };
        head_limit.lift();
        let closes =
            response.header("connection").is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        let is_framed = response.header("content-length").is_some()
            || response.header("transfer-encoding").is_some();
        let may_have_body = !matches!(u16::from(response.status()), 100..200 | 204 | 304);
        if may_have_body && !is_framed {
            // `async-h1` takes such a body for an empty one.
            let detail = "the response states neither its length nor chunks";
            return Err(client_error(false, detail.to_owned()));
        }
        let body = response.take_body();
        let stream = ResponseStream {
            unread: body.len(),
            body,
            connection: connection.clone(),
            reuse: (is_framed && !closes).then(|| (self.clone(), address, connection.clone())),
        };
        Ok((response, stream))
    }
}

/// Converts `outgoing` to the request type of `async-h1`.
fn build_request(address: SocketAddr, outgoing: &OutgoingRequest) -> Result<Request, String> {
    let url = format!("http://{address}{}", outgoing.path);
    let url = Url::parse(&url).map_err(|error| error.to_string())?;
    let mut request = Request::new(outgoing.method, url);
    if !outgoing.body.is_empty() {
        request.set_body(Body::from_bytes(outgoing.body.clone()));
    }
    for (name, value) in &outgoing.headers {
        request.insert_header(name.as_str(), value.as_str());
    }
    Ok(request)
}

/// The body of a response. Its connection returns to the pool once the body has been read to its
/// end. Reading fails if the body is shorter than its `content-length`.
#[derive(Debug)]
pub struct ResponseStream {
    body: Body,
    /// Bytes of the `content-length` not yet read, if the response has one.
    unread: Option<usize>,
    connection: Connection,
    reuse: Option<(Client, SocketAddr, Connection)>,
}

impl ResponseStream {
    fn finish(&mut self) -> io::Result<()> {
        if self.unread.is_some_and(|n| n > 0) {
            return Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "response is shorter than its content-length",
            ));
        }
        if let Some((client, address, connection)) = self.reuse.take() {
            client.put_idle(address, connection);
        }
        Ok(())
    }

    /// Wakes the reader at once if its read is pending although no read on the connection is.
    ///
    /// `async-h1` loses the wake-up when the final CRLF of a chunked body arrives in two parts.
    fn restore_wakeup<T>(
        &self,
        read: Poll<T>,
        pending_reads: u64,
        cx: &mut Context<'_>,
    ) -> Poll<T> {
        if read.is_pending() && self.connection.pending_reads() == pending_reads {
            cx.waker().wake_by_ref();
        }
        read
    }

    fn count_read(&mut self, n: usize) {
        if let Some(unread) = &mut self.unread {
            *unread = unread.saturating_sub(n);
        }
    }
}

impl AsyncRead for ResponseStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let pending_reads = self.connection.pending_reads();
        let read = catch_poll_panic(|| Pin::new(&mut self.body).poll_read(cx, buf));
        let n = ready!(self.restore_wakeup(read, pending_reads, cx))?;
        if n == 0 && !buf.is_empty() {
            self.finish()?;
        }
        self.count_read(n);
        Poll::Ready(Ok(n))
    }
}

impl AsyncBufRead for ResponseStream {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let pending_reads = this.connection.pending_reads();
        let body = &mut this.body;
        let empty =
            catch_poll_panic(|| Pin::new(body).poll_fill_buf(cx).map_ok(|bytes| bytes.is_empty()));
        if ready!(this.restore_wakeup(empty, pending_reads, cx))? {
            this.finish()?;
        }
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, n: usize) {
        self.count_read(n);
        Pin::new(&mut self.body).consume(n);
    }
}
