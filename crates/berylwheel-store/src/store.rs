//! The interface of the key-value service.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use berylwheel_types::Millis;

/// The future of a call of a store.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// A key-value service with compare-and-swap, leases and watches.
///
/// Dropping the future of a write leaves it open whether the write takes effect.
pub trait Store: Send + Sync {
    /// Reads the entry of the key `from`, or, if `prefix`, all entries whose keys start with it, in
    /// the order of their keys. At most `limit` entries are returned; 0 sets no limit.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] or [`StoreError::Protocol`].
    fn range(&self, from: &str, prefix: bool, limit: u32) -> StoreFuture<'_, Vec<Entry>>;

    /// Reads as [`Store::range`] does, and returns a revision of the store from which a watch misses
    /// no change of what was read. A store that does not tell its revision returns the last change
    /// among the entries.
    ///
    /// # Errors
    /// As [`Store::range`].
    fn range_at(&self, from: &str, prefix: bool) -> StoreFuture<'_, (Vec<Entry>, u64)> {
        let reading = self.range(from, prefix, 0);
        Box::pin(async move {
            let entries = reading.await?;
            let revision = entries.iter().map(|entry| entry.revision).max().unwrap_or_default();
            Ok((entries, revision))
        })
    }

    /// Applies all `puts` in one revision if every compare holds.
    ///
    /// # Errors
    /// Any [`StoreError`] but `Compacted`.
    fn swap(&self, compares: Vec<Compare>, puts: Vec<Put>) -> StoreFuture<'_, SwapResult>;

    /// Creates a lease that ends after `ttl` without [`Store::keep_alive`]. The protocol counts
    /// whole seconds, so `ttl` may be rounded up.
    ///
    /// # Errors
    /// Any [`StoreError`] but `Compacted`.
    fn lease(&self, ttl: Millis) -> StoreFuture<'_, LeaseId>;

    /// Starts the lease's time anew. Returns false if the lease has ended.
    ///
    /// # Errors
    /// Any [`StoreError`] but `Compacted`.
    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, bool>;

    /// Waits for changes of keys that start with `prefix` and returns them in order, from the
    /// revision `from_revision` on (0: from now on). It may return none after a while; the caller
    /// then calls again, from the revision that follows the last one seen.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`], [`StoreError::Compacted`] or [`StoreError::Protocol`].
    fn watch(&self, prefix: &str, from_revision: u64) -> StoreFuture<'_, Vec<Entry>>;
}

/// The value of a key, or in a watch also its deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, empty if deleted.
    pub value: Vec<u8>,
    /// The store's revision of the last change of the key.
    pub revision: u64,
    /// Whether the change removed the key.
    pub deleted: bool,
}

/// A condition on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The revision that the key must have, 0 if it must be absent.
    pub revision: u64,
}

impl Compare {
    /// Returns the condition that `key` was last changed at `revision`.
    pub fn new(key: impl Into<String>, revision: u64) -> Self {
        Self { key: key.into(), revision }
    }

    /// Returns the condition that `key` does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self::new(key, 0)
    }
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The new value, or `None` to delete the key.
    pub value: Option<Vec<u8>>,
    /// The lease with whose end the key goes.
    pub lease: Option<LeaseId>,
}

impl Put {
    /// Returns the change that sets `key` to `value`.
    ///
    /// ```
    /// use berylwheel_store::{LeaseId, Put};
    /// let put = Put::new("k", "v").lease(LeaseId(1));
    /// assert_eq!((put.value, put.lease), (Some(b"v".to_vec()), Some(LeaseId(1))));
    /// ```
    pub fn new(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self { key: key.into(), value: Some(value.into()), lease: None }
    }

    /// Returns the change that deletes `key`.
    pub fn delete(key: impl Into<String>) -> Self {
        Self { key: key.into(), value: None, lease: None }
    }

    /// Ties the key to a lease.
    #[must_use]
    pub fn lease(self, lease: LeaseId) -> Self {
        Self { lease: Some(lease), ..self }
    }
}

/// The answer to [`Store::swap`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapResult {
    /// The changes took effect in this revision.
    Won(u64),
    /// A compare failed. Holds the current entries of the compared keys, without absent ones.
    Lost(Vec<Entry>),
}

/// A lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// Why a call of the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect.
    Unavailable,
    /// The write may have taken effect.
    Unknown,
    /// The changes that a watch asks for are no longer kept; the first one kept is at this
    /// revision. The watcher has to read anew.
    Compacted(u64),
    /// The store refused the call or broke the protocol; the call had no effect.
    Protocol(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str("store not available"),
            Self::Unknown => f.write_str("store did not answer, the write may have taken effect"),
            Self::Compacted(revision) => write!(f, "no changes kept before revision {revision}"),
            Self::Protocol(detail) => write!(f, "store protocol: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}
