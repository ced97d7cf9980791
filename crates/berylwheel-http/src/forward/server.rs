//! HTTP server for forwarded requests.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use berylwheel_types::ByteSize;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::HeaderValue;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::exchange::CountedBody;
use super::exchange::ExchangeCounts;
use super::exchange::LeaveUnread;
use super::socket::CallerSocket;
use super::socket::discard_rest;
use super::traffic::Traffic;
use crate::problem::problem_body;

/// Delay before retrying a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Millis = Millis(10);

/// Time that a caller has after connecting to send its first request when the listener closes.
const FIRST_REQUEST_TIME: Millis = Millis(250);

/// Number of connections beyond the limit that get a refusal at least.
const MIN_REFUSED_CONNECTIONS: usize = 8;
/// Retry delay of a caller whose connection is one too many, in seconds.
const CONNECTION_RETRY_SECONDS: &str = "1";

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
    /// Closed to announce a stop: each response from then on asks its caller to close the
    /// connection.
    pub shutdown: Receiver<()>,
    /// Closed to end the listener and the connections on which nothing is left to answer.
    pub closing: Receiver<()>,
    /// Number of open connections.
    pub open: Arc<AtomicUsize>,
    /// Traffic of the connections.
    pub traffic: Traffic,
}

/// Limits on a connection, which may change while it is open.
pub(crate) type LimitsSource = Arc<dyn Fn() -> AcceptLimits + Send + Sync>;

/// Accepts connections and answers their requests with `handler`, until
/// [`ListenerState::closing`] is closed. Errors from accepting are logged and retried.
///
/// `limits` returns those in force. A handler is dropped when its caller disconnects. After
/// [`ListenerState::shutdown`] new requests are answered as before, since callers still come while
/// the load balancer has not noticed.
pub async fn accept_connections<L, H, F>(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    listener_state: ListenerState,
    limits: L,
    handler: H,
) where
    L: Fn() -> AcceptLimits + Send + Sync + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let limits: LimitsSource = Arc::new(limits);
    let serve = |stream| {
        let guard = ConnectionGuard::new(listener_state.open.clone());
        let open = guard.open_count;
        let limit = limits().connections;
        if open > limit + refused_connections(limit) {
            log::warn!(open; "connection closed: too many open connections");
            return;
        }
        let access = if open > limit { Access::Refused } else { Access::Served };
        let serving = serve_connection(
            stream,
            limits.clone(),
            listener_state.clone(),
            access,
            handler.clone(),
        );
        let connection = async move {
            let _guard = guard;
            if let Err(error) = serving.await {
                log::debug!(error:% = error; "caller connection failed");
            }
        };
        executor.spawn(connection).detach();
    };
    let mut closing = pin!(async {
        let _ = listener_state.closing.recv().await;
    });
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closed = async {
            closing.as_mut().await;
            None
        };
        match accepted.or(closed).await {
            Some(Ok((stream, _))) => serve(stream),
            Some(Err(error)) => {
                log::warn!(error:% = error; "cannot accept connection");
                Timer::after(ACCEPT_RETRY_DELAY.duration()).await;
            }
            None => break,
        }
    }
    // The connections that wait to be accepted are answered as well.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        match Async::new(stream) {
            Ok(stream) => serve(stream),
            Err(error) => log::warn!(error:% = error; "cannot serve accepted connection"),
        }
    }
}

/// Whether the requests of a connection are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Access {
    Served,
    /// Too many connections are open: the first request is refused and the connection closed.
    Refused,
}

/// Returns how many connections beyond the limit get a refusal. Further ones are closed at once.
fn refused_connections(limit: usize) -> usize {
    (limit / 16).max(MIN_REFUSED_CONNECTIONS)
}

/// Refuses a request because too many connections are open.
fn too_many_connections() -> Response<ResponseBody> {
    let refusal = Refusal::not_run(Code::QueueFull, "too many open connections");
    let mut response = Response::new(full_body(problem_body(&refusal, "").to_string()));
    let status = StatusCode::from_u16(refusal.code.status());
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static(CONNECTION_RETRY_SECONDS));
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
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

async fn serve_connection<H, F>(
    stream: Async<TcpStream>,
    limits: LimitsSource,
    listener_state: ListenerState,
    access: Access,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let ListenerState { shutdown, closing, traffic, .. } = listener_state;
    let counts = ExchangeCounts::default();
    let stream = Arc::new(stream);
    let head_limit = limits().head.0 as usize;
    let socket = CallerSocket::new(stream.clone(), counts.clone(), limits, traffic.clone())?;
    let started_counts = counts.clone();
    let service = service_fn(move |request| {
        let active_request = started_counts.start();
        let response_future = (access == Access::Served).then(|| handler(request));
        let (shutdown, started_counts) = (shutdown.clone(), started_counts.clone());
        async move {
            let mut response = match response_future {
                Some(response_future) => response_future.await,
                None => too_many_connections(),
            };
            if response.extensions().get::<LeaveUnread>().is_some() {
                started_counts.leave_unread();
            }
            if shutdown.is_closed() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, active_request)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head_limit.max(MIN_HEAD_BUFFER_BYTES));
    let mut connection = pin!(builder.serve_connection(socket, service));
    let closed = async {
        let _ = closing.recv().await;
        if counts.started() == 0 {
            Timer::after(FIRST_REQUEST_TIME.duration()).await;
        }
        None
    };
    let (result, cause) = match async { Some(connection.as_mut().await) }.or(closed).await {
        Some(result) => (result, EndCause::CallerOrLimit),
        None => {
            connection.as_mut().graceful_shutdown();
            (connection.await, EndCause::Stop)
        }
    };
    log_unanswered(&counts, cause, result.as_ref().err());
    if !counts.leaves_unread() {
        discard_rest(&stream, &traffic).await;
    }
    result.map_err(io::Error::other)
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndCause {
    /// The caller closed or reset it, or a time limit expired.
    CallerOrLimit,
    /// The router stops.
    Stop,
}

/// Logs the end of a connection on which a request may have been left unanswered.
fn log_unanswered(counts: &ExchangeCounts, cause: EndCause, error: Option<&hyper::Error>) {
    let (requests, unanswered, received) =
        (counts.started(), counts.unanswered(), counts.received());
    let closed_unused = requests == 0 && cause == EndCause::Stop;
    if unanswered == 0 && received == 0 && !closed_unused {
        return;
    }
    let error = error.map(ToString::to_string).unwrap_or_default();
    log::info!(
        requests, unanswered, received, cause:? = cause, error = error.as_str();
        "caller connection ended without a response"
    );
}
