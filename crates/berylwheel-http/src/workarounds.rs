//! Workarounds for bugs in the HTTP libraries: `http-types` panics on input that is not ASCII, and
//! `async-h1` loses a wake-up when the final CRLF of a chunked body arrives in two parts.

use std::future::Future;
use std::io;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::task::Poll;

use async_io::Timer;
use berylwheel_types::Millis;
use futures_lite::FutureExt;

/// Interval at which a read that may have lost its wake-up is polled again.
const REPOLL_INTERVAL: Millis = Millis(50);

/// Polls a reader and turns a panic of its decoder into an error. The reader must not be used again
/// after an error.
pub(crate) fn catch_poll_panic<T>(
    poll: impl FnOnce() -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    catch_unwind(AssertUnwindSafe(poll)).unwrap_or_else(|_| Poll::Ready(Err(decode_error())))
}

/// Returns the error for input that made a decoder panic.
pub(crate) fn decode_error() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "input cannot be decoded")
}

/// Runs a body read that may lose its wake-up: polls it again at [`REPOLL_INTERVAL`].
pub(crate) async fn poll_periodically<T>(read: impl Future<Output = T>) -> T {
    let periodic_wakeups = async {
        loop {
            Timer::after(REPOLL_INTERVAL.duration()).await;
        }
    };
    read.or(periodic_wakeups).await
}
