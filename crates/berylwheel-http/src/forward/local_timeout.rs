//! Time limits that do not use the shared timer thread.

use std::future::Future;

use async_io::Timer;
use berylwheel_types::Millis;
use futures_lite::FutureExt;

/// Runs `future` for at most `limit` and returns its output, or `None` on timeout.
///
/// Uses an `async-io` timer, which fires on the thread that runs the future, unlike
/// [`timeout`](crate::timeout()), which uses the shared timer thread.
///
/// ```
/// use berylwheel_http::local_timeout;
/// use berylwheel_types::Millis;
/// let slow = futures_lite::future::pending::<()>();
/// assert_eq!(async_io::block_on(local_timeout(Millis(1), slow)), None);
/// ```
pub async fn local_timeout<T>(limit: Millis, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(limit.duration()).await;
        None
    };
    async { Some(future.await) }.or(expired).await
}
