//! Faults of the HTTP libraries, contained: panics of `http-types` on input that is not ASCII, and
//! a lost wake-up of `async-h1` when the last line end of a chunked body arrives in two parts.

use std::future::Future;
use std::io;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::task::Poll;

use async_io::Timer;
use berylwheel_types::Millis;
use futures_lite::FutureExt;

/// Time after which a read that may have lost its wake-up is tried again.
const REPOLL_INTERVAL: Millis = Millis(50);

/// Polls a reader whose decoder may panic on what a peer sent. The reader must not be used again
/// after an error.
pub(crate) fn contain<T>(poll: impl FnOnce() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    catch_unwind(AssertUnwindSafe(poll)).unwrap_or_else(|_| Poll::Ready(Err(undecodable())))
}

/// Returns the error for input on which a decoder panicked.
pub(crate) fn undecodable() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "input cannot be decoded")
}

/// Runs a read of a body that may lose its wake-up, by polling it again now and then.
pub(crate) async fn repoll<T>(read: impl Future<Output = T>) -> T {
    let repolling = async {
        loop {
            Timer::after(REPOLL_INTERVAL.duration()).await;
        }
    };
    read.or(repolling).await
}
