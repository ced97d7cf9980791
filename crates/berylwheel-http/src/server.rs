//! The accepting side: one task a connection, bounded in number, head size and time.

use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
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
use http_types::Request;
use http_types::Response;

use crate::Connection;
use crate::problem_body;
use crate::timeout;

/// Bounds on what one listener accepts.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections open at a time.
    pub connections: usize,
    /// Time for a request's head to arrive, and for an idle connection to stay open.
    pub head_time: Millis,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self { connections: 4_096, head_time: Millis(15_000) }
    }
}

/// Requests being answered by one listener.
///
/// A shutdown waits until none is left: the end of an answer is still on its way to the caller when
/// the task that made it has ended.
#[derive(Debug, Clone, Default)]
pub struct ActiveRequests(Arc<AtomicUsize>);

impl ActiveRequests {
    /// Returns the number of requests whose answer is not yet written in full.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// Time to write the refusal of a request that could not be read.
const REFUSAL_TIME: Millis = Millis(1_000);

/// Accepts connections until the listener fails, and answers each request with `handler`.
///
/// A request that is not well-formed, too large or too slow gets a numbered refusal, and the
/// connection is closed.
///
/// # Errors
/// Fails if the listener does.
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
                // Running out of file descriptors must not end the listener.
                log::warn!(error:% = error; "accept failed");
                Timer::after(Millis(10).duration()).await;
                continue;
            }
        };
        let Ok(connection) = Connection::new(stream) else { continue };
        let guard = OpenGuard::new(open.clone());
        let (handler, active) = (handler.clone(), active.clone());
        executor
            .spawn(async move {
                if guard.number() > limits.connections {
                    let refusal = Refusal::not_run(Code::QueueFull, "too many connections")
                        .retry_after(Millis(1_000));
                    refuse(connection, &refusal).await;
                    return;
                }
                serve_connection(connection, limits, active, handler).await;
            })
            .detach();
    }
}

struct OpenGuard {
    open: Arc<AtomicUsize>,
    number: usize,
}

impl OpenGuard {
    fn new(open: Arc<AtomicUsize>) -> Self {
        let number = open.fetch_add(1, Ordering::Relaxed) + 1;
        Self { open, number }
    }

    fn number(&self) -> usize {
        self.number
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
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
    let answered = Arc::new(AtomicUsize::new(0));
    let endpoint = {
        let (answered, active) = (answered.clone(), active.clone());
        move |request: Request| {
            answered.fetch_add(1, Ordering::Relaxed);
            active.0.fetch_add(1, Ordering::SeqCst);
            let response = handler(request);
            async move { Ok(response.await) }
        }
    };
    let mut server = Server::new(connection.clone(), endpoint);
    loop {
        let read = connection.bytes_read();
        let count = answered.load(Ordering::Relaxed);
        // The library's own limit on the head's time cannot be set.
        let expired = async {
            Timer::after(limits.head_time.duration()).await;
            if answered.load(Ordering::Relaxed) != count {
                future::pending::<()>().await;
            }
            Ok(ConnectionStatus::Close)
        };
        let status = server.accept_one().or(expired).await;
        let reached_handler = answered.load(Ordering::Relaxed) != count;
        if reached_handler {
            active.0.fetch_sub(1, Ordering::SeqCst);
        }
        match status {
            Ok(ConnectionStatus::KeepAlive) => continue,
            Ok(ConnectionStatus::Close) if reached_handler => return,
            Ok(ConnectionStatus::Close) if connection.bytes_read() == read => return,
            Ok(ConnectionStatus::Close) => {
                let detail = format!("the head did not arrive within {}", limits.head_time);
                refuse(connection, &Refusal::not_run(Code::SlowSender, detail)).await;
                return;
            }
            Err(_) if reached_handler => return,
            Err(error) => {
                let detail = error.to_string();
                let code = if detail.contains("8kb") || detail.contains("TooManyHeaders") {
                    Code::HeadTooLarge
                } else {
                    Code::MalformedRequest
                };
                refuse(connection, &Refusal::not_run(code, detail)).await;
                return;
            }
        }
    }
}

/// Answers a request that `async-h1` could not decode, for which it sends no response of its own.
async fn refuse(mut connection: Connection, refusal: &Refusal) {
    let body = problem_body(refusal, "").to_string();
    let response = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/problem+json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        refusal.code.status(),
        refusal.code.title(),
        body.len(),
    );
    let _ = timeout(REFUSAL_TIME, async {
        connection.write_all(response.as_bytes()).await?;
        connection.close().await
    })
    .await;
}
