//! HTTP server: one task per connection, with limits on connections, head size and time.

use std::future::Future;
use std::net::TcpListener;
use std::panic::AssertUnwindSafe;
use std::panic::resume_unwind;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_executor::Executor;
use async_h1::server::ConnectionStatus;
use async_h1::server::Server;
use async_io::Async;
use async_io::Timer;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::future;
use futures_lite::io;
use http_types::Request;
use http_types::Response;

use crate::Caller;
use crate::Connection;
use crate::problem_body;
use crate::server_connection::RequestStage;
use crate::server_connection::ServerConnection;
use crate::sleep;
use crate::timeout;

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time limit for a request head to arrive, and for an idle connection to stay open.
    pub head_timeout: Millis,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self { connections: 4_096, head_timeout: Millis(15_000) }
    }
}

/// Number of requests in progress on one listener.
///
/// A shutdown waits until it is zero: the end of a response may still have to be written when the
/// task that produced it has finished.
#[derive(Debug, Clone, Default)]
pub struct ActiveRequests(Arc<AtomicUsize>);

impl ActiveRequests {
    /// Returns the number of requests whose response has not been written completely.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// Counts a request as active; held until its response has been written completely.
#[derive(Debug)]
struct ActiveGuard(ActiveRequests);

impl ActiveGuard {
    fn new(active: &ActiveRequests) -> Self {
        active.0.fetch_add(1, Ordering::SeqCst);
        Self(active.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Time limit for writing the refusal of a request that could not be read, and again for closing
/// the connection.
const CLOSE_TIME_LIMIT: Millis = Millis(1_000);

/// Accepts connections and answers each request with `handler`. Errors from accepting are logged
/// and retried.
///
/// A malformed, oversized or slow request is refused with problem details that carry a result code,
/// and its connection is closed.
///
/// # Errors
/// None at present: this function does not return.
pub async fn serve<H, F>(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    limits: ServerLimits,
    active: ActiveRequests,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // An error such as running out of file descriptors must not stop the listener.
                log::warn!(error:% = error; "cannot accept connection");
                Timer::after(Millis(10).duration()).await;
                continue;
            }
        };
        let Ok(connection) = Connection::new(stream) else { continue };
        let guard = ConnectionGuard::new(open.clone());
        let (handler, active) = (handler.clone(), active.clone());
        executor
            .spawn(async move {
                if guard.open_count() > limits.connections {
                    let refusal = Refusal::not_run(Code::QueueFull, "too many connections")
                        .retry_after(Millis(1_000));
                    send_refusal(connection, &refusal).await;
                    return;
                }
                serve_connection(connection, limits, active, handler).await;
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

    fn open_count(&self) -> usize {
        self.open_count
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve_connection<H, F>(
    connection: Connection,
    limits: ServerLimits,
    active: ActiveRequests,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let server_connection = ServerConnection::new(connection.clone());
    let active_request: Mutex<Option<ActiveGuard>> = Mutex::default();
    let endpoint = |mut request: Request| {
        server_connection.set_stage(RequestStage::Handler);
        *lock(&active_request) = Some(ActiveGuard::new(&active));
        request.ext_mut().insert(Caller::new(connection.clone()));
        let response = handler(request);
        async {
            let response = response.await;
            server_connection.set_stage(RequestStage::Response);
            if response.len().is_some() {
                server_connection.buffer_writes();
            }
            Ok(response)
        }
    };
    let mut server = Server::new(server_connection.clone(), endpoint);
    loop {
        server_connection.begin_request();
        // The time limit of `async-h1` for the head is not configurable.
        let head_timeout = async {
            sleep(limits.head_timeout).await;
            if server_connection.stage() != RequestStage::Head {
                future::pending::<()>().await;
            }
            Ok(ConnectionStatus::Close)
        };
        // `http-types` panics on a header that is not ASCII.
        let outcome = AssertUnwindSafe(server.accept_one().or(head_timeout)).catch_unwind().await;
        *lock(&active_request) = None;
        match (outcome, server_connection.stage()) {
            (Ok(Ok(ConnectionStatus::KeepAlive)), _) => (),
            (Err(panic), RequestStage::Handler) => resume_unwind(panic),
            (_, RequestStage::Handler | RequestStage::Response) => {
                return lingering_close(connection).await;
            }
            (outcome, RequestStage::Head) => {
                if let Some(refusal) = head_refusal(&server_connection, &limits, outcome.ok()) {
                    send_refusal(connection, &refusal).await;
                }
                return;
            }
        }
    }
}

/// Returns the refusal of a request whose head is invalid, incomplete or late, or `None` if no byte
/// of it has arrived. `outcome` is `None` if the library panicked.
fn head_refusal(
    server_connection: &ServerConnection,
    limits: &ServerLimits,
    outcome: Option<http_types::Result<ConnectionStatus>>,
) -> Option<Refusal> {
    let (code, detail) = match outcome {
        Some(Ok(_)) if !server_connection.has_head_bytes() => return None,
        Some(Ok(_)) if server_connection.is_closed_by_caller() => (
            Code::MalformedRequest,
            "the connection was closed before the end of the request head".to_owned(),
        ),
        Some(Ok(_)) => {
            let detail = format!("the request head did not arrive within {}", limits.head_timeout);
            (Code::SlowSender, detail)
        }
        Some(Err(error)) => {
            let detail = error.to_string();
            let too_large = server_connection.is_head_too_large()
                || ["8kb", "too many headers"].iter().any(|text| detail.contains(text));
            (if too_large { Code::HeadTooLarge } else { Code::MalformedRequest }, detail)
        }
        None => (Code::MalformedRequest, "the request head cannot be decoded".to_owned()),
    };
    Some(Refusal::not_run(code, detail))
}

/// Responds to a request that never reached the handler, for which `async-h1` sends no response,
/// and closes the connection.
async fn send_refusal(mut connection: Connection, refusal: &Refusal) {
    let body = problem_body(refusal, "").to_string();
    let retry_header = refusal
        .retry_after
        .map(|delay| format!("retry-after: {}\r\n", delay.0.div_ceil(1_000)))
        .unwrap_or_default();
    let response = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/problem+json\r\ncontent-length: {}\r\n\
         {retry_header}connection: close\r\n\r\n{body}",
        refusal.code.status(),
        refusal.code.title(),
        body.len(),
    );
    let written = timeout(CLOSE_TIME_LIMIT, connection.write_all(response.as_bytes())).await;
    if matches!(written, Some(Ok(()))) {
        lingering_close(connection).await;
    }
}

/// Closes the sending side and reads until the peer closes or [`CLOSE_TIME_LIMIT`] is over.
///
/// Closing a socket with unread data resets the connection, and the peer may lose the end of the
/// response.
async fn lingering_close(mut connection: Connection) {
    let _ = timeout(CLOSE_TIME_LIMIT, async {
        connection.close().await?;
        io::copy(connection, io::sink()).await
    })
    .await;
}
