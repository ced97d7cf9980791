//! The HTTP server shared by all stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Executor;
use async_h1::server::ConnectionStatus;
use async_h1::server::Server;
use async_io::Async;
use berylwheel_http::Connection;
use futures_lite::FutureExt;
use http_types::Request;
use http_types::Response;

/// Keeps a stand-in running. Dropping it closes the listener and all connections, as if the process
/// had crashed.
#[derive(Debug)]
#[must_use = "the stand-in stops when its handle is dropped"]
pub struct Handle {
    _stop: Sender<()>,
}

/// The response of a stand-in, or `None` to close the connection without a response.
pub(crate) type MaybeResponse = Option<Response>;

/// Listens on `address` and serves each request with `handler` until the handle is dropped.
///
/// # Errors
/// Fails if the address cannot be bound.
pub(crate) fn start<H, F>(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    handler: H,
) -> io::Result<(SocketAddr, Handle)>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = MaybeResponse> + Send + 'static,
{
    let listener = Async::<TcpListener>::bind(address)?;
    let address = listener.get_ref().local_addr()?;
    let (stop, stopped) = async_channel::bounded(1);
    let accept_loop = accept_connections(listener, executor.clone(), handler, stopped.clone());
    executor.spawn(run_until_stopped(stopped, accept_loop)).detach();
    Ok((address, Handle { _stop: stop }))
}

/// Runs `work` until it completes or the handle is dropped.
async fn run_until_stopped(stopped: Receiver<()>, work: impl Future<Output = ()>) {
    let stop = async {
        let _ = stopped.recv().await;
    };
    stop.or(work).await;
}

async fn accept_connections<H, F>(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    handler: H,
    stopped: Receiver<()>,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = MaybeResponse> + Send + 'static,
{
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::error!(
                    error:% = error;
                    "failed to accept a connection; the stand-in stops listening"
                );
                return;
            }
        };
        let Ok(connection) = Connection::new(stream) else { continue };
        let serve_loop = serve_connection(connection, handler.clone());
        executor.spawn(run_until_stopped(stopped.clone(), serve_loop)).detach();
    }
}

async fn serve_connection<H, F>(connection: Connection, handler: H)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = MaybeResponse> + Send + 'static,
{
    let endpoint = |request: Request| {
        let response = handler(request);
        async move {
            response
                .await
                .ok_or_else(|| http_types::format_err!("connection closed by an injected fault"))
        }
    };
    let mut server = Server::new(connection, endpoint);
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {}
}
