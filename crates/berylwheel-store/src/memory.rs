//! An in-memory store with fault injection.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Poll;
use std::task::Waker;

use async_io::Timer;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use serde::Serialize;

use crate::Compare;
use crate::Entry;
use crate::LeaseId;
use crate::Put;
use crate::Store;
use crate::StoreError;
use crate::StoreFaults;
use crate::StoreFuture;
use crate::SwapResult;

/// Maximum number of changes in the history, which serves watches that start in the past.
const MAX_HISTORY_CHANGES: usize = 10_000;

/// Maximum total size of the values in the history. A single value may take 1 MB.
const MAX_HISTORY_BYTES: usize = 64 << 20;

/// Numbers of calls to a [`MemoryStore`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct StoreCounts {
    /// Range reads.
    pub reads: u64,
    /// Swaps and lease calls.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// An in-memory store that can inject faults. Clones share the same content.
///
/// ```
/// use berylwheel_store::{Compare, MemoryStore, Put, Store, SwapResult};
/// use berylwheel_types::Clock;
/// use futures_lite::future::block_on;
/// let store = MemoryStore::new(Clock::real());
/// let swap = store.swap(vec![Compare::absent("k")], vec![Put::new("k", "v")]);
/// assert_eq!(block_on(swap), Ok(SwapResult::Committed(2)));
/// assert_eq!(block_on(store.range("k", false, 0)).unwrap()[0].value, b"v");
/// ```
#[derive(Clone)]
pub struct MemoryStore {
    clock: Clock,
    time_limit: Millis,
    state: Arc<Mutex<State>>,
}

impl fmt::Debug for MemoryStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryStore").field("time_limit", &self.time_limit).finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct StoredValue {
    value: Vec<u8>,
    revision: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Millis,
    expires_at: Timestamp,
}

#[derive(Debug)]
struct State {
    revision: u64,
    entries: BTreeMap<String, StoredValue>,
    leases: BTreeMap<LeaseId, Lease>,
    next_lease: u64,
    history: VecDeque<Entry>,
    history_bytes: usize,
    /// The first revision from which the history is complete.
    history_start: u64,
    faults: StoreFaults,
    counts: StoreCounts,
    wakers: Vec<Waker>,
}

impl MemoryStore {
    /// Creates an empty store whose leases expire according to `clock`.
    pub fn new(clock: Clock) -> Self {
        let state = State {
            // An empty etcd store is at revision 1.
            revision: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            history: VecDeque::new(),
            history_bytes: 0,
            history_start: 0,
            faults: StoreFaults::default(),
            counts: StoreCounts::default(),
            wakers: Vec::new(),
        };
        Self { clock, time_limit: Millis(2_000), state: Arc::new(Mutex::new(state)) }
    }

    /// Sets the delay from which a slow response is treated as lost, as if a client had timed out.
    /// The default is 2 s.
    #[must_use]
    pub fn time_limit(self, limit: Millis) -> Self {
        Self { time_limit: limit, ..self }
    }

    /// Returns the current faults.
    pub fn faults(&self) -> StoreFaults {
        self.lock().faults.clone()
    }

    /// Replaces the current faults and wakes all watches.
    ///
    /// ```
    /// use berylwheel_store::{MemoryStore, Store, StoreError, StoreFaults};
    /// use berylwheel_types::Clock;
    /// let store = MemoryStore::new(Clock::real());
    /// store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    /// let entries = futures_lite::future::block_on(store.range("k", false, 0));
    /// assert_eq!(entries, Err(StoreError::Unavailable));
    /// ```
    pub fn set_faults(&self, faults: StoreFaults) {
        let mut state = self.lock();
        state.faults = faults;
        state.wake_watches();
    }

    /// Returns the number of calls so far.
    pub fn counts(&self) -> StoreCounts {
        self.lock().counts
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Expires a lease immediately and deletes its keys. Returns false if the lease does not exist.
    pub fn expire_lease(&self, lease: LeaseId) -> bool {
        self.lock().remove_leases(|id, _| id == lease)
    }

    /// Expires all leases whose TTL has passed. Every call to the store does this too.
    pub fn expire_leases(&self) {
        drop(self.lock_and_expire());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }

    /// Locks the state and expires the leases whose TTL has passed.
    fn lock_and_expire(&self) -> MutexGuard<'_, State> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.remove_leases(|_, lease| lease.expires_at <= now);
        state
    }

    /// Delays a response by `delay_ms`, or returns `timeout_error` if that reaches the time limit.
    async fn delay(&self, delay_ms: u64, timeout_error: StoreError) -> Result<(), StoreError> {
        if delay_ms > 0 {
            Timer::after(Millis(delay_ms).min(self.time_limit).duration()).await;
        }
        if delay_ms >= self.time_limit.0 { Err(timeout_error) } else { Ok(()) }
    }

    async fn write<T>(
        &self,
        apply: impl FnOnce(&mut State, Timestamp) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let now = self.clock.now();
        let (result, delay_ms) = {
            let mut state = self.lock_and_expire();
            state.counts.writes += 1;
            if state.faults.down {
                return Err(StoreError::Unavailable);
            }
            let delay_ms = state.faults.slow_ms;
            if state.faults.lose_writes.take_one() {
                (Err(StoreError::Unknown), delay_ms)
            } else {
                let result = apply(&mut state, now);
                if state.faults.lose_answers.take_one() {
                    (Err(StoreError::Unknown), delay_ms)
                } else {
                    (result, delay_ms)
                }
            }
        };
        self.delay(delay_ms, StoreError::Unknown).await?;
        result
    }
}

impl State {
    fn wake_watches(&mut self) {
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }

    fn apply_change(&mut self, key: String, stored: Option<StoredValue>) {
        let (value, deleted) = match &stored {
            Some(stored) => (stored.value.clone(), false),
            None => (Vec::new(), true),
        };
        let entry = Entry { key: key.clone(), value, revision: self.revision, deleted };
        match stored {
            Some(stored) => drop(self.entries.insert(key, stored)),
            None if self.entries.remove(&key).is_none() => return,
            None => (),
        }
        self.history_bytes += entry.value.len();
        self.history.push_back(entry);
        while self.history.len() > MAX_HISTORY_CHANGES || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else { break };
            self.history_bytes -= oldest.value.len();
            self.history_start = oldest.revision + 1;
        }
        self.wake_watches();
    }

    fn remove_leases(&mut self, should_remove: impl Fn(LeaseId, &Lease) -> bool) -> bool {
        let removed: Vec<_> = self
            .leases
            .iter()
            .filter(|(id, lease)| should_remove(**id, lease))
            .map(|(id, _)| *id)
            .collect();
        for id in &removed {
            self.leases.remove(id);
            let keys = self.entries.iter().filter(|(_, stored)| stored.lease == Some(*id));
            let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.apply_change(key, None);
            }
        }
        !removed.is_empty()
    }

    fn read(&self, from: &str, prefix: bool, limit: u32) -> Vec<Entry> {
        let limit = if limit == 0 { usize::MAX } else { limit as usize };
        let matches = |key: &str| if prefix { key.starts_with(from) } else { key == from };
        self.entries
            .range(from.to_owned()..)
            .take_while(|(key, _)| matches(key))
            .take(limit)
            .map(|(key, stored)| Entry {
                key: key.clone(),
                value: stored.value.clone(),
                revision: stored.revision,
                deleted: false,
            })
            .collect()
    }

    fn swap(&mut self, compares: &[Compare], puts: Vec<Put>) -> Result<SwapResult, StoreError> {
        let conflict = compares.iter().any(|compare| {
            self.entries.get(&compare.key).map_or(0, |stored| stored.revision) != compare.revision
        });
        if conflict {
            let current = compares.iter().flat_map(|compare| self.read(&compare.key, false, 0));
            return Ok(SwapResult::Conflict(current.collect()));
        }
        if puts.iter().filter_map(|put| put.lease).any(|lease| !self.leases.contains_key(&lease)) {
            return Err(StoreError::Protocol("requested lease not found".to_owned()));
        }
        if !puts.is_empty() {
            self.revision += 1;
        }
        for put in puts {
            let (revision, lease) = (self.revision, put.lease);
            self.apply_change(
                put.key,
                put.value.map(|value| StoredValue { value, revision, lease }),
            );
        }
        Ok(SwapResult::Committed(self.revision))
    }

    fn changes_since(&self, prefix: &str, from: u64) -> Vec<Entry> {
        let start = self.history.partition_point(|entry| entry.revision < from);
        let matching = self.history.iter().skip(start).filter(|e| e.key.starts_with(prefix));
        matching.cloned().collect()
    }
}

impl Store for MemoryStore {
    fn range(&self, from: &str, prefix: bool, limit: u32) -> StoreFuture<'_, Vec<Entry>> {
        let from = from.to_owned();
        Box::pin(async move {
            let (entries, delay_ms) = {
                let mut state = self.lock_and_expire();
                state.counts.reads += 1;
                if state.faults.down {
                    return Err(StoreError::Unavailable);
                }
                (state.read(&from, prefix, limit), state.faults.slow_ms)
            };
            self.delay(delay_ms, StoreError::Unavailable).await?;
            Ok(entries)
        })
    }

    fn swap(&self, compares: Vec<Compare>, puts: Vec<Put>) -> StoreFuture<'_, SwapResult> {
        Box::pin(self.write(move |state, _| state.swap(&compares, puts)))
    }

    fn grant_lease(&self, ttl: Millis) -> StoreFuture<'_, LeaseId> {
        Box::pin(self.write(move |state, now| {
            let id = LeaseId(state.next_lease);
            state.next_lease += 1;
            state.leases.insert(id, Lease { ttl, expires_at: now + ttl });
            Ok(id)
        }))
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, bool> {
        Box::pin(self.write(move |state, now| {
            let Some(lease) = state.leases.get_mut(&lease) else { return Ok(false) };
            lease.expires_at = now + lease.ttl;
            Ok(true)
        }))
    }

    fn watch(&self, prefix: &str, from_revision: u64) -> StoreFuture<'_, Vec<Entry>> {
        let prefix = prefix.to_owned();
        let from = {
            let mut state = self.lock_and_expire();
            state.counts.watches += 1;
            if from_revision == 0 { state.revision + 1 } else { from_revision }
        };
        Box::pin(async move {
            let (changes, delay_ms) = poll_fn(|cx| {
                let mut state = self.lock_and_expire();
                if state.faults.down {
                    return Poll::Ready(Err(StoreError::Unavailable));
                }
                if from < state.history_start {
                    return Poll::Ready(Err(StoreError::Compacted(state.history_start)));
                }
                let changes = state.changes_since(&prefix, from);
                if changes.is_empty() {
                    if !state.wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                        state.wakers.push(cx.waker().clone());
                    }
                    return Poll::Pending;
                }
                Poll::Ready(Ok((changes, state.faults.slow_ms)))
            })
            .await?;
            self.delay(delay_ms, StoreError::Unavailable).await?;
            Ok(changes)
        })
    }
}
