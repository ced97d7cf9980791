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

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
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
use crate::timeout;
use crate::workarounds::contain;
use crate::workarounds::undecodable;
use crate::write_buffer::Outbound;

/// Maximum number of idle connections per address.
const IDLE_LIMIT: usize = 32;

/// A request to send.
#[derive(Debug, Clone)]
pub struct Outgoing {
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
    pub head_time: Millis,
}

impl Outgoing {
    /// Returns a request without headers that may use the pool and waits 10 s for the head.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            pooled: true,
            head_time: Millis(10_000),
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
        outgoing: &Outgoing,
    ) -> Result<(Response, ResponseStream), ClientError> {
        self.send_within(address, outgoing, outgoing.head_time).await
    }

    async fn send_within(
        &self,
        address: SocketAddr,
        outgoing: &Outgoing,
        time: Millis,
    ) -> Result<(Response, ResponseStream), ClientError> {
        if outgoing.pooled
            && let Some(connection) = self.take_idle(address)
        {
            return self.exchange(address, connection, outgoing, time).await;
        }
        let opened = timeout(time, Connection::open(address)).await;
        let connection = match opened {
            Some(Ok(connection)) => connection,
            Some(Err(error)) => {
                let detail = format!("cannot connect to {address}: {error}");
                return Err(ClientError { sent: false, timed_out: false, detail });
            }
            None => {
                let detail = format!("connection to {address} not established within {time}");
                return Err(ClientError { sent: false, timed_out: true, detail });
            }
        };
        self.exchange(address, connection, outgoing, time).await
    }

    /// Sends a request and reads the whole response within `time`.
    ///
    /// # Errors
    /// As [`Client::send`], and if the body is over `limit` bytes or does not arrive in time.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        outgoing: &Outgoing,
        limit: u64,
        time: Millis,
    ) -> Result<(Response, Vec<u8>), ClientError> {
        let failed = |timed_out, detail: String| ClientError { sent: true, timed_out, detail };
        let whole = async {
            // Limits connecting to `time` here, so that a connect timeout is reported as not sent.
            // The outer timeout reports the request as sent.
            let head_time = outgoing.head_time.min(time);
            let (response, mut stream) = self.send_within(address, outgoing, head_time).await?;
            let mut bytes = Vec::new();
            (&mut stream)
                .take(limit + 1)
                .read_to_end(&mut bytes)
                .await
                .map_err(|error| failed(false, error.to_string()))?;
            if bytes.len() as u64 > limit {
                return Err(failed(false, format!("response is larger than {limit} bytes")));
            }
            Ok((response, bytes))
        };
        timeout(time, whole)
            .await
            .unwrap_or_else(|| Err(failed(true, format!("response not complete within {time}"))))
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
        if pool.len() < IDLE_LIMIT {
            pool.push(connection);
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        connection: Connection,
        outgoing: &Outgoing,
        time: Millis,
    ) -> Result<(Response, ResponseStream), ClientError> {
        let before = connection.bytes_written();
        let failed = |timed_out, detail: String| ClientError {
            sent: connection.bytes_written() > before,
            timed_out,
            detail: format!("{address}: {detail}"),
        };
        let request = build(address, outgoing).map_err(|detail| failed(false, detail))?;
        let outbound = Outbound::new(connection.clone());
        // `http-types` panics on a header that is not ASCII.
        // The future is boxed because it is large enough to overflow the stack in debug builds.
        let answer = AssertUnwindSafe(Box::pin(async_h1::connect(outbound, request)));
        let answer = async {
            let answer = answer.catch_unwind().await;
            answer.unwrap_or_else(|_| Err(undecodable().into()))
        };
        let mut response = match timeout(time, answer).await {
            None => return Err(failed(true, format!("no response head within {time}"))),
            Some(Err(error)) => return Err(failed(false, error.to_string())),
            Some(Ok(response)) => response,
        };
        let close =
            response.header("connection").is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        let body = response.take_body();
        let stream = ResponseStream {
            missing: body.len(),
            body,
            connection: connection.clone(),
            reuse: (!close).then(|| (self.clone(), address, connection.clone())),
        };
        Ok((response, stream))
    }
}

/// Converts `outgoing` to the request type of `async-h1`.
fn build(address: SocketAddr, outgoing: &Outgoing) -> Result<Request, String> {
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
    missing: Option<usize>,
    connection: Connection,
    reuse: Option<(Client, SocketAddr, Connection)>,
}

impl ResponseStream {
    fn at_end(&mut self) -> io::Result<()> {
        if self.missing.is_some_and(|n| n > 0) {
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
    fn rewake<T>(&self, read: Poll<T>, waits: u64, cx: &mut Context<'_>) -> Poll<T> {
        if read.is_pending() && self.connection.waits() == waits {
            cx.waker().wake_by_ref();
        }
        read
    }

    fn count(&mut self, n: usize) {
        if let Some(missing) = &mut self.missing {
            *missing = missing.saturating_sub(n);
        }
    }
}

impl AsyncRead for ResponseStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let waits = self.connection.waits();
        let read = contain(|| Pin::new(&mut self.body).poll_read(cx, buf));
        let n = ready!(self.rewake(read, waits, cx))?;
        if n == 0 && !buf.is_empty() {
            self.at_end()?;
        }
        self.count(n);
        Poll::Ready(Ok(n))
    }
}

impl AsyncBufRead for ResponseStream {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let waits = this.connection.waits();
        let body = &mut this.body;
        let empty = contain(|| Pin::new(body).poll_fill_buf(cx).map_ok(|bytes| bytes.is_empty()));
        if ready!(this.rewake(empty, waits, cx))? {
            this.at_end()?;
        }
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, n: usize) {
        self.count(n);
        Pin::new(&mut self.body).consume(n);
    }
}
