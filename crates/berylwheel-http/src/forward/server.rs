//! HTTP server for forwarded requests.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use async_channel::Receiver;
use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use berylwheel_types::ByteSize;
use berylwheel_types::Millis;
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::socket::ActiveCount;
use super::socket::CallerSocket;
use super::traffic::Traffic;

/// Delay before retrying a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Millis = Millis(10);

/// Minimum buffer size that `hyper` accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body that consists of `bytes`.
///
/// ```
/// let body = berylwheel_http::full_body("abc");
/// assert_eq!(http_body::Body::size_hint(&body).exact(), Some(3));
/// ```
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns an empty body.
///
/// ```
/// assert!(http_body::Body::is_end_stream(&berylwheel_http::empty_body()));
/// ```
pub fn empty_body() -> ResponseBody {
    Empty::new().map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Limits on callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptLimits {
    /// Maximum size of a request head.
    pub head: ByteSize,
    /// Time limit from the first byte of a request head to its last.
    pub head_timeout: Millis,
    /// Time limit for a connection without a request.
    pub idle_timeout: Millis,
    /// Maximum number of open connections.
    pub connections: usize,
}

/// State shared between a listener and the code that started it.
#[derive(Debug, Clone)]
pub struct ListenerState {
    /// Closed to request a graceful shutdown: connections close after their current request.
    pub shutdown: Receiver<()>,
    /// Number of open connections.
    pub open: Arc<AtomicUsize>,
    /// Traffic of the connections.
    pub traffic: Traffic,
}

/// Accepts connections and answers their requests with `handler`. Errors from accepting are logged
/// and retried, and the function does not return.
///
/// `limits` is called for each connection. A handler is dropped when its caller disconnects. Once
/// `listener_state.shutdown` is closed, idle connections are closed and others close after their
/// response.
pub async fn accept_connections<L, H, F>(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    listener_state: ListenerState,
    limits: L,
    handler: H,
) where
    L: Fn() -> AcceptLimits,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "cannot accept connection");
                Timer::after(ACCEPT_RETRY_DELAY.duration()).await;
                continue;
            }
        };
        let limits = limits();
        let guard = ConnectionGuard::new(listener_state.open.clone());
        if guard.open_count > limits.connections {
            log::warn!(open = guard.open_count; "connection closed: too many open connections");
            continue;
        }
        let serving = serve_connection(stream, limits, listener_state.clone(), handler.clone());
        executor
            .spawn(async move {
                let _guard = guard;
                if let Err(error) = serving.await {
                    log::debug!(error:% = error; "caller connection failed");
                }
            })
            .detach();
    }
}

/// Counts a connection as open until the guard is dropped.
struct ConnectionGuard {
    open: Arc<AtomicUsize>,
    open_count: usize,
}

impl ConnectionGuard {
    fn new(open: Arc<AtomicUsize>) -> Self {
        let open_count = open.fetch_add(1, Ordering::Relaxed) + 1;
        Self { open, open_count }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request of a connection as active until the value is dropped.
struct ActiveRequest(ActiveCount);

impl ActiveRequest {
    fn new(active: ActiveCount) -> Self {
        active.fetch_add(1, Ordering::Relaxed);
        Self(active)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response body that counts its request as active until the body is dropped.
struct CountedBody {
    body: ResponseBody,
    _active_request: ActiveRequest,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn serve_connection<H, F>(
    stream: Async<TcpStream>,
    limits: AcceptLimits,
    listener_state: ListenerState,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let ListenerState { shutdown, traffic, .. } = listener_state;
    let active = ActiveCount::default();
    let socket = CallerSocket::new(
        stream,
        active.clone(),
        limits.head_timeout,
        limits.idle_timeout,
        traffic,
    )?;
    let service = service_fn(move |request| {
        let active_request = ActiveRequest::new(active.clone());
        let response_future = handler(request);
        async move {
            let response = response_future.await;
            let response =
                response.map(|body| CountedBody { body, _active_request: active_request });
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size((limits.head.0 as usize).max(MIN_HEAD_BUFFER_BYTES));
    let mut connection = pin!(builder.serve_connection(socket, service));
    let shutdown = async {
        let _ = shutdown.recv().await;
        None
    };
    let result = match async { Some(connection.as_mut().await) }.or(shutdown).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    result.map_err(io::Error::other)
}
