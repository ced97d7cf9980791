//! Time limits on futures.

use std::future::Future;

use async_io::Timer;
use berylwheel_types::Millis;
use futures_lite::FutureExt;

/// Runs `future` for at most `limit` and returns its output, or `None` when the time is over.
///
/// ```
/// use berylwheel_http::timeout;
/// use berylwheel_types::Millis;
/// let slow = futures_lite::future::pending::<()>();
/// assert_eq!(futures_lite::future::block_on(timeout(Millis(1), slow)), None);
/// ```
pub async fn timeout<T>(limit: Millis, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(limit.duration()).await;
        None
    };
    async { Some(future.await) }.or(expired).await
}
