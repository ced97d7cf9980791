//! Limits on the memory for buffered bodies.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use berylwheel_types::ByteSize;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;

/// `Retry-After` when the pool is exhausted.
const RETRY_AFTER: Millis = Millis(1_000);

/// A memory pool for buffered bodies. Chat completions and plain services have separate pools, so
/// that a burst of one kind does not exhaust the memory of the other.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    used: Arc<AtomicU64>,
    limit: ByteSize,
}

/// Memory reserved in a pool. Dropping it returns the memory.
#[derive(Debug)]
pub struct MemoryReservation {
    used: Arc<AtomicU64>,
    size: u64,
}

impl BodyMemory {
    /// Creates a pool of `limit` bytes.
    pub fn new(limit: ByteSize) -> Self {
        Self { used: Arc::default(), limit }
    }

    /// Reserves `size` bytes.
    ///
    /// # Errors
    /// [`Code::QueueFull`] if less is available.
    ///
    /// ```
    /// use berylwheel_router::BodyMemory;
    /// use berylwheel_types::ByteSize;
    /// let memory = BodyMemory::new(ByteSize(10));
    /// let reservation = memory.reserve(8).unwrap();
    /// assert!(memory.reserve(8).is_err());
    /// drop(reservation);
    /// assert!(memory.reserve(8).is_ok());
    /// ```
    pub fn reserve(&self, size: u64) -> Result<MemoryReservation, Refusal> {
        self.try_reserve(size).ok_or_else(|| {
            let detail =
                format!("request bodies would exceed their memory limit of {}", self.limit);
            Refusal::not_run(Code::QueueFull, detail).retry_after(RETRY_AFTER)
        })
    }

    /// Reserves `size` bytes, or returns `None` if less is available.
    ///
    /// ```
    /// use berylwheel_router::BodyMemory;
    /// use berylwheel_types::ByteSize;
    /// assert!(BodyMemory::new(ByteSize(10)).try_reserve(11).is_none());
    /// ```
    pub fn try_reserve(&self, size: u64) -> Option<MemoryReservation> {
        let previous = self.used.fetch_add(size, Ordering::Relaxed);
        // Created before the check, so that its drop undoes the addition on failure.
        let reservation = MemoryReservation { used: self.used.clone(), size };
        (previous.saturating_add(size) <= self.limit.0).then_some(reservation)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.size, Ordering::Relaxed);
    }
}
