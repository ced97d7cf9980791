//! Panics of `http-types` on input that is not ASCII, contained as errors.

use std::io;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::task::Poll;

/// Polls a reader whose decoder may panic on what a peer sent. The reader must not be used again
/// after an error.
pub(crate) fn contain<T>(poll: impl FnOnce() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    catch_unwind(AssertUnwindSafe(poll)).unwrap_or_else(|_| Poll::Ready(Err(undecodable())))
}

/// Returns the error for input on which a decoder panicked.
pub(crate) fn undecodable() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "input cannot be decoded")
}
