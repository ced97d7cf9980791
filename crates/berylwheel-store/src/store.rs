//! The interface to the key-value store.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use berylwheel_types::Millis;
use berylwheel_types::StoreEra;

/// The future returned by each [`Store`] method.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// A key-value store with compare-and-swap, leases and watches.
///
/// If the future of a write is dropped, the write may or may not take effect.
///
/// A successful call belongs to the era that [`Store::era`] returned when it began and returns when
/// it ends. Revisions of different eras cannot be compared.
pub trait Store: Send + Sync {
    /// Returns the era of the store as stated in its last response; 0 for stores that state none.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    /// Reads the entry with the key `from` or, if `prefix` is set, all entries whose keys start
    /// with `from`, in key order. Returns at most `limit` entries; 0 means no limit.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] or [`StoreError::Protocol`].
    fn range(&self, from: &str, prefix: bool, limit: u32) -> StoreFuture<'_, Vec<Entry>>;

    /// Reads like [`Store::range`] without a limit, and also returns a revision: a watch that
    /// starts there misses no change made after the read. The default implementation, for stores
    /// that do not report their revision, returns the highest revision among the entries.
    ///
    /// # Errors
    /// The same errors as [`Store::range`].
    fn range_with_revision(&self, from: &str, prefix: bool) -> StoreFuture<'_, (Vec<Entry>, u64)> {
        let read = self.range(from, prefix, 0);
        Box::pin(async move {
            let entries = read.await?;
            let revision = entries.iter().map(|entry| entry.revision).max().unwrap_or_default();
            Ok((entries, revision))
        })
    }

    /// Applies all `puts` atomically, in one revision, if every condition in `compares` holds.
    ///
    /// # Errors
    /// Any [`StoreError`] except `Compacted`.
    fn swap(&self, compares: Vec<Compare>, puts: Vec<Put>) -> StoreFuture<'_, SwapResult>;

    /// Grants a lease that expires after `ttl` unless [`Store::keep_alive`] renews it. The protocol
    /// counts in whole seconds, so `ttl` may be rounded up.
    ///
    /// # Errors
    /// Any [`StoreError`] except `Compacted`.
    fn grant_lease(&self, ttl: Millis) -> StoreFuture<'_, LeaseId>;

    /// Renews the lease for its full TTL. Returns false if the lease has expired.
    ///
    /// # Errors
    /// Any [`StoreError`] except `Compacted`.
    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, bool>;

    /// Waits for changes to keys that start with `prefix`, beginning at `from_revision` (0 means
    /// only future changes), and returns them in revision order. The result may be empty after a
    /// timeout; the caller then calls again with the revision after the last one it has seen.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`], [`StoreError::Compacted`] or [`StoreError::Protocol`].
    fn watch(&self, prefix: &str, from_revision: u64) -> StoreFuture<'_, Vec<Entry>>;

    /// Watches like [`Store::watch`], and returns after about `wait` if nothing changes. The default
    /// implementation, for stores whose wait cannot be chosen, ignores it.
    ///
    /// # Errors
    /// The same errors as [`Store::watch`].
    fn watch_for(
        &self,
        prefix: &str,
        from_revision: u64,
        _wait: Millis,
    ) -> StoreFuture<'_, Vec<Entry>> {
        self.watch(prefix, from_revision)
    }
}

/// A key with its value, or the deletion of a key as reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; empty if the key was deleted.
    pub value: Vec<u8>,
    /// The store revision at which the key last changed.
    pub revision: u64,
    /// Whether the change deleted the key.
    pub deleted: bool,
}

/// A condition on the revision of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The revision at which the key must have last changed; 0 if the key must not exist.
    pub revision: u64,
}

impl Compare {
    /// Creates the condition that `key` last changed at `revision`.
    pub fn new(key: impl Into<String>, revision: u64) -> Self {
        Self { key: key.into(), revision }
    }

    /// Creates the condition that `key` does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self::new(key, 0)
    }
}

/// A write to a key: a new value or a deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The new value, or `None` to delete the key.
    pub value: Option<Vec<u8>>,
    /// The lease whose expiry deletes the key.
    pub lease: Option<LeaseId>,
}

impl Put {
    /// Creates the write that sets `key` to `value`.
    ///
    /// ```
    /// use berylwheel_store::{LeaseId, Put};
    /// let put = Put::new("k", "v").lease(LeaseId(1));
    /// assert_eq!((put.value, put.lease), (Some(b"v".to_vec()), Some(LeaseId(1))));
    /// ```
    pub fn new(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self { key: key.into(), value: Some(value.into()), lease: None }
    }

    /// Creates the write that deletes `key`.
    pub fn delete(key: impl Into<String>) -> Self {
        Self { key: key.into(), value: None, lease: None }
    }

    /// Attaches the key to a lease.
    #[must_use]
    pub fn lease(self, lease: LeaseId) -> Self {
        Self { lease: Some(lease), ..self }
    }
}

/// The result of [`Store::swap`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapResult {
    /// The writes were applied at this revision.
    Committed(u64),
    /// A condition did not hold and nothing was written. Contains the current entries of the
    /// compared keys that exist.
    Conflict(Vec<Entry>),
}

/// The ID of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// The reason why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store could not be reached or did not serve the call; the call had no effect.
    Unavailable,
    /// No usable response was received; the write may have taken effect.
    Unknown,
    /// The history requested by a watch has been compacted; it now starts at this revision. The
    /// watcher has to read the current state again.
    Compacted(u64),
    /// The store was restored from an older copy since the call began; a write may have taken effect.
    /// Whoever holds something from the store has to read it again.
    Restored,
    /// The store rejected the call or violated the protocol; the call had no effect.
    Protocol(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str("store not available"),
            Self::Unknown => {
                f.write_str("no valid response from the store; the write may have taken effect")
            }
            Self::Compacted(revision) => {
                write!(f, "changes before revision {revision} have been compacted")
            }
            Self::Restored => f.write_str("the store was restored from an older copy"),
            Self::Protocol(detail) => write!(f, "store protocol error: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}
