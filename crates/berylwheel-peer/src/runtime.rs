//! A `quinn` runtime that runs on the executor of the process.

use std::future::Future;
use std::io;
use std::net::UdpSocket;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use quinn::AsyncTimer;
use quinn::AsyncUdpSocket;
use quinn::Runtime;
use quinn::SmolRuntime;

/// A runtime with the timers and sockets of [`SmolRuntime`], but not its executor, which would
/// start threads.
///
/// The reference is weak to avoid a cycle: the executor owns tasks that own the runtime.
#[derive(Debug, Clone)]
pub(crate) struct ExecutorRuntime(pub Weak<Executor<'static>>);

impl Runtime for ExecutorRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(future).detach();
        }
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        SmolRuntime.wrap_udp_socket(socket)
    }
}

/// Returns the result of `work`, or `None` if it takes longer than `limit`.
pub(crate) async fn with_timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::after(limit).await;
        None
    })
    .await
}
