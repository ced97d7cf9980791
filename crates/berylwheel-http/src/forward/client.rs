//! HTTP client for backend servers, with a pool of idle connections per server.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_executor::Executor;
use async_executor::Task;
use async_io::Async;
use berylwheel_types::Clock;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;

use super::local_timeout::local_timeout;
use super::server_socket::ServerSocket;
use super::server_socket::SocketState;
use super::traffic::Traffic;

/// Maximum number of idle connections per server.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// An idle connection is dropped this long before the server's own idle timeout, so that no request
/// is sent while the server closes the connection.
const IDLE_TIMEOUT_MARGIN: Millis = Millis(500);
/// Idle timeout of a connection whose server does not state its own.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);

/// Connection reuse and time limits of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendOptions {
    /// Maximum idle time of a reused connection; zero requires a new connection.
    pub max_idle: Millis,
    /// Time limit for establishing a new connection.
    pub connect_timeout: Millis,
    /// Time limit for the response head to arrive, including the time to connect.
    pub head_timeout: Millis,
}

/// Why a request failed, and whether any of it may have reached the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendError {
    /// Whether bytes of the request were written to the socket.
    pub sent: bool,
    /// Whether a time limit ran out.
    pub timed_out: bool,
    /// Whether the server refused the connection: no process listens at its address.
    pub refused: bool,
    /// Description of the failure.
    pub detail: String,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sent = if self.sent { "after sending" } else { "before sending" };
        write!(f, "{} ({sent})", self.detail)
    }
}

impl std::error::Error for SendError {}

/// HTTP/1.1 client for backend servers. Clones share the connection pool.
#[derive(Debug, Clone)]
pub struct UpstreamClient {
    executor: Arc<Executor<'static>>,
    clock: Clock,
    pools: Arc<Mutex<FastMap<SocketAddr, Pool>>>,
    opened_connections: Arc<AtomicU64>,
    traffic: Traffic,
}

/// Connections to one server.
#[derive(Debug, Default)]
struct Pool {
    idle: VecDeque<UpstreamConnection>,
    /// Set when the connections of this pool must not be used again. Those in use share it.
    closed: Arc<AtomicBool>,
}

/// A connection and the task that drives it. Dropping it cancels the task and closes the
/// connection.
#[derive(Debug)]
struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    _task: Task<()>,
    socket: Arc<SocketState>,
    /// Whether the pool that the connection belongs to was closed.
    closed: Arc<AtomicBool>,
    idle_since: Timestamp,
    expires_at: Timestamp,
}

/// A connection in use by a request. Dropping it closes the connection, which makes the server
/// cancel its work; [`PooledConnection::release`] returns it to the pool and must be called only
/// after the response has been read to its end.
#[derive(Debug)]
pub struct PooledConnection {
    upstream: UpstreamClient,
    address: SocketAddr,
    connection: UpstreamConnection,
    reused: bool,
}

impl PooledConnection {
    /// Returns whether the connection carried another request before this one, whose server may send
    /// a further response to it.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to the pool, for at most the `idle_timeout` stated by the server. It
    /// is closed if the pool was closed in the meantime, or if the request could not be written to
    /// its end.
    pub fn release(mut self, idle_timeout: Option<Millis>) {
        if self.connection.socket.has_failed_write() {
            return;
        }
        let now = self.upstream.clock.now();
        let keep_time = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |stated| {
            Millis(stated.0.saturating_sub(IDLE_TIMEOUT_MARGIN.0))
        });
        self.connection.idle_since = now;
        self.connection.expires_at = now + keep_time;
        let mut pools = self.upstream.lock();
        if self.connection.closed.load(Ordering::Relaxed) {
            return;
        }
        let pool = pools.entry(self.address).or_default();
        if pool.idle.len() < MAX_IDLE_CONNECTIONS {
            pool.idle.push_back(self.connection);
        }
    }
}

impl UpstreamClient {
    /// Returns a client with an empty pool. `executor` runs the tasks that drive its connections.
    pub fn new(executor: Arc<Executor<'static>>, clock: Clock) -> Self {
        Self {
            executor,
            clock,
            pools: Arc::default(),
            opened_connections: Arc::default(),
            traffic: Traffic::default(),
        }
    }

    /// Returns a client with an empty pool of its own, which otherwise shares everything with this
    /// one.
    #[must_use]
    pub fn with_own_pool(&self) -> Self {
        Self { pools: Arc::default(), ..self.clone() }
    }

    /// Returns the number of connections attempted so far.
    pub fn opened_connections(&self) -> u64 {
        self.opened_connections.load(Ordering::Relaxed)
    }

    /// Returns the traffic of the client's connections.
    pub fn traffic(&self) -> Traffic {
        self.traffic.clone()
    }

    /// Closes idle connections that have expired or were closed by their server.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, pool| {
            pool.idle
                .retain(|connection| now < connection.expires_at && !connection.sender.is_closed());
            // Connections in use keep their pool, so that closing it reaches them.
            !pool.idle.is_empty() || Arc::strong_count(&pool.closed) > 1
        });
    }

    /// Closes the idle connections to a server, and those in use when their request has ended.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(pool) = self.lock().remove(&address) {
            pool.closed.store(true, Ordering::Relaxed);
        }
    }

    /// Sends a request, and returns the response once its head has arrived.
    ///
    /// # Errors
    /// Fails if the server cannot be reached, closes the connection early or does not respond in
    /// time.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let mut request = request;
        let started = self.clock.now();
        while let Some(connection) = self.take_idle(address, options.max_idle) {
            match self.exchange(address, connection, request, options.head_timeout).await {
                Ok(response) => return Ok(response),
                // The server closed the connection before the request was written; try the next
                // one.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let limit = options.connect_timeout.min(options.head_timeout);
        let connection = self.open(address, limit).await?;
        let remaining =
            Millis(options.head_timeout.0.saturating_sub(self.clock.now().since(started).0));
        self.exchange(address, connection, request, remaining).await.map_err(|(error, _)| error)
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the usable connection that has been idle longest. Stray bytes after its last response
    /// are most likely to have arrived by then, and `hyper` closes a connection that receives any.
    fn take_idle(&self, address: SocketAddr, max_idle: Millis) -> Option<UpstreamConnection> {
        let now = self.clock.now();
        let mut pools = self.lock();
        let pool = pools.get_mut(&address)?;
        while let Some(connection) = pool.idle.pop_front() {
            let usable = now < connection.expires_at && now.since(connection.idle_since) < max_idle;
            if usable && connection.sender.is_ready() {
                connection.socket.check_before_reuse();
                return Some(connection);
            }
        }
        None
    }

    async fn open(
        &self,
        address: SocketAddr,
        limit: Millis,
    ) -> Result<UpstreamConnection, SendError> {
        let send_error =
            |timed_out, detail| SendError { sent: false, timed_out, refused: false, detail };
        self.opened_connections.fetch_add(1, Ordering::Relaxed);
        let opening = async {
            let stream = Async::<TcpStream>::connect(address).await?;
            ServerSocket::new(stream, self.traffic.clone())
        };
        let (stream, socket) = match local_timeout(limit, opening).await {
            Some(Ok(opened)) => opened,
            Some(Err(error)) => {
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                let error = send_error(false, format!("cannot connect to {address}: {error}"));
                return Err(SendError { refused, ..error });
            }
            None => {
                return Err(send_error(
                    true,
                    format!("connection to {address} not established within {limit}"),
                ));
            }
        };
        let handshake_result = http1::Builder::new().handshake(stream).await;
        let (sender, driver) =
            handshake_result.map_err(|error| send_error(false, format!("{address}: {error}")))?;
        let task = self.executor.spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(error:% = error; "backend server connection failed");
            }
        });
        let now = self.clock.now();
        let closed = self.lock().entry(address).or_default().closed.clone();
        Ok(UpstreamConnection {
            closed,
            sender,
            _task: task,
            socket,
            idle_since: now,
            expires_at: now,
        })
    }

    /// Sends a request over a connection. An error includes the request if none of it was written.
    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: UpstreamConnection,
        request: Request<Full<Bytes>>,
        limit: Millis,
    ) -> Result<(Response<Incoming>, PooledConnection), (SendError, Option<Request<Full<Bytes>>>)>
    {
        let written_before = connection.socket.written();
        let send_error = |connection: &UpstreamConnection, timed_out, detail: String| SendError {
            sent: connection.socket.written() > written_before,
            timed_out,
            refused: false,
            detail: format!("{address}: {detail}"),
        };
        match local_timeout(limit, connection.sender.try_send_request(request)).await {
            Some(Ok(response)) => {
                let (upstream, reused) = (self.clone(), written_before > 0);
                Ok((response, PooledConnection { upstream, address, connection, reused }))
            }
            Some(Err(mut error)) => {
                let unsent = error.take_message();
                let error = send_error(&connection, false, error.error().to_string());
                Err((error, unsent))
            }
            None => Err((
                send_error(&connection, true, format!("no response head within {limit}")),
                None,
            )),
        }
    }
}
