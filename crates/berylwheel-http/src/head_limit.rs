//! A limit on the head of a response.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Limits the bytes that may be read before the head of a response is complete. The decoder keeps
/// a line of any length.
#[derive(Debug, Clone)]
pub(crate) struct HeadLimit(Arc<AtomicU64>);

impl HeadLimit {
    /// Returns a limit of `bytes`.
    pub(crate) fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    /// Ends the limit: the head is complete.
    pub(crate) fn lift(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that were read, and returns their number.
    ///
    /// # Errors
    /// Fails if the head is over the limit.
    pub(crate) fn count(&self, size: usize) -> io::Result<usize> {
        let left = self.0.load(Ordering::Relaxed);
        if left == u64::MAX {
            return Ok(size);
        }
        let Some(left) = left.checked_sub(size as u64) else {
            let detail = "the head of the response is too large";
            return Err(io::Error::new(io::ErrorKind::InvalidData, detail));
        };
        self.0.store(left, Ordering::Relaxed);
        Ok(size)
    }
}
