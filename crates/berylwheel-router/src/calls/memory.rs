//! Bounds on the memory that callers' bodies take.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use berylwheel_types::ByteSize;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;

/// Time after which a caller tries again.
const RETRY_AFTER: Millis = Millis(1_000);

/// A pool of bytes for bodies. Model work and plain services have one each, so that a surge of the
/// one leaves the other's alone.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    used: Arc<AtomicU64>,
    limit: ByteSize,
}

/// Bytes taken from a pool until they are dropped.
#[derive(Debug)]
pub struct BodyBytes {
    used: Arc<AtomicU64>,
    size: u64,
}

impl BodyMemory {
    /// Returns a pool of `limit`.
    pub fn new(limit: ByteSize) -> Self {
        Self { used: Arc::default(), limit }
    }

    /// Takes `size` bytes.
    ///
    /// # Errors
    /// [`Code::QueueFull`] if the pool has too few.
    ///
    /// ```
    /// use berylwheel_router::BodyMemory;
    /// use berylwheel_types::ByteSize;
    /// let memory = BodyMemory::new(ByteSize(10));
    /// let taken = memory.take(8).unwrap();
    /// assert!(memory.take(8).is_err());
    /// drop(taken);
    /// assert!(memory.take(8).is_ok());
    /// ```
    pub fn take(&self, size: u64) -> Result<BodyBytes, Refusal> {
        let before = self.used.fetch_add(size, Ordering::Relaxed);
        // Made before the check, so that a refusal gives the bytes back.
        let bytes = BodyBytes { used: self.used.clone(), size };
        if before.saturating_add(size) > self.limit.0 {
            let detail = format!("request bodies take all of {}", self.limit);
            return Err(Refusal::not_run(Code::QueueFull, detail).retry_after(RETRY_AFTER));
        }
        Ok(bytes)
    }
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        self.used.fetch_sub(self.size, Ordering::Relaxed);
    }
}
