//! A circuit breaker for calls to the store: during an outage, only periodic probes are sent.
//!
//! The platform counts every call, including rejected ones, and a router has about twenty pages,
//! watches and leases that would otherwise each retry independently.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::Share;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;

use crate::Compare;
use crate::Entry;
use crate::LeaseId;
use crate::Put;
use crate::Store;
use crate::StoreError;
use crate::StoreFuture;
use crate::SwapResult;

/// Consecutive failures that open the breaker. A healthy store also loses single responses.
const FAILURE_LIMIT: u32 = 3;
/// Interval between opening the breaker and the first probe.
const INITIAL_INTERVAL: Millis = Millis(250);
/// Default maximum interval between probes. A router that regains the store has three seconds to
/// drop servers that left during the outage, and for 2.3 s of them missing entries are still
/// treated as present.
const DEFAULT_MAX_INTERVAL: Millis = Millis(500);
/// Prefix of the keys that this program writes.
const OWN_PREFIX: &str = "/berylwheel/";
/// Lower bound of the jitter factor, in thousandths.
const MIN_JITTER_PERMILLE: u32 = 500;

/// The breaker's state; decides which calls may be sent.
///
/// ```
/// use berylwheel_store::Breaker;
/// use berylwheel_types::{Millis, Timestamp};
/// let now = Timestamp::from_millis(0);
/// let mut breaker = Breaker::default();
/// (0..3).for_each(|_| { breaker.record_failure(now); });
/// assert!(!breaker.allow_call(now));
/// // Only one probe is sent after the interval.
/// let later = now + Millis(250);
/// assert_eq!((breaker.allow_call(later), breaker.allow_call(later)), (true, false));
/// assert_eq!(breaker.record_success(later), Some(Millis(250)));
/// assert!(breaker.allow_call(later));
/// ```
#[derive(Debug)]
pub struct Breaker {
    failures: u32,
    outage: Option<Outage>,
    /// Maximum interval between probes.
    max_interval: Millis,
    /// Fraction of the probe interval that this process waits once the interval exceeds the default
    /// maximum. It differs between processes, so that routers sharing the probes do not all send
    /// them at the same time.
    jitter: Share,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            failures: 0,
            outage: None,
            max_interval: DEFAULT_MAX_INTERVAL,
            jitter: Share::from_permille(1_000),
        }
    }
}

#[derive(Debug)]
struct Outage {
    since: Timestamp,
    probe_at: Timestamp,
    interval: Millis,
}

impl Breaker {
    /// Returns whether a call may be sent. While the breaker is open, allows one probe per
    /// interval.
    pub fn allow_call(&mut self, now: Timestamp) -> bool {
        let Some(outage) = &mut self.outage else { return true };
        if now < outage.probe_at {
            return false;
        }
        // Schedules the next probe now, so that a probe without a response does not block it.
        outage.interval = Millis(outage.interval.0 * 2).min(self.max_interval);
        let jittered = Millis((outage.interval.0 as f64 * self.jitter.fraction()) as u64);
        outage.probe_at = now + jittered.max(outage.interval.min(DEFAULT_MAX_INTERVAL));
        true
    }

    /// Sets the maximum interval between probes, for routers that share the probing.
    pub fn set_max_interval(&mut self, interval: Millis) {
        self.max_interval = interval.max(DEFAULT_MAX_INTERVAL);
    }

    /// Allows a probe immediately, after a sign that the store has recovered, and resets the
    /// interval.
    pub fn probe_now(&mut self, now: Timestamp) {
        if let Some(outage) = &mut self.outage {
            outage.probe_at = now;
            outage.interval = INITIAL_INTERVAL;
        }
    }

    /// Returns whether the breaker is open.
    pub fn is_open(&self) -> bool {
        self.outage.is_some()
    }

    /// Records a response and closes the breaker. Returns the length of the outage if this response
    /// ends one.
    pub fn record_success(&mut self, now: Timestamp) -> Option<Millis> {
        self.failures = 0;
        self.outage.take().map(|outage| now.since(outage.since))
    }

    /// Records a failed call. Returns whether this failure opens the breaker.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        self.failures += 1;
        if self.outage.is_some() || self.failures < FAILURE_LIMIT {
            return false;
        }
        self.outage = Some(Outage {
            since: now,
            probe_at: now + INITIAL_INTERVAL,
            interval: INITIAL_INTERVAL,
        });
        true
    }
}

/// A store behind a [`Breaker`]. Calls that the breaker blocks fail with
/// [`StoreError::Unavailable`].
pub struct GuardedStore {
    inner: Arc<dyn Store>,
    clock: Clock,
    breaker: Mutex<Breaker>,
    calls: Mutex<BTreeMap<String, u64>>,
    /// Time of the last successful call.
    answered_at: Mutex<Timestamp>,
}

impl GuardedStore {
    /// Wraps `inner` with a breaker.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use berylwheel_store::{GuardedStore, MemoryStore, Store};
    /// use berylwheel_types::Clock;
    /// let store = GuardedStore::new(Arc::new(MemoryStore::new(Clock::real())), Clock::real());
    /// assert_eq!(futures_lite::future::block_on(store.range("k", false, 0)), Ok(Vec::new()));
    /// ```
    pub fn new(inner: Arc<dyn Store>, clock: Clock) -> Self {
        let jitter = rand::random_range(MIN_JITTER_PERMILLE..=1_000);
        let breaker = Breaker { jitter: Share::from_permille(jitter), ..Breaker::default() };
        Self {
            inner,
            clock,
            breaker: Mutex::new(breaker),
            calls: Mutex::default(),
            answered_at: Mutex::default(),
        }
    }

    /// Returns the number of calls sent since the start, by operation and by the first segment of
    /// the key. Calls that the breaker blocks are not counted.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use berylwheel_store::{GuardedStore, MemoryStore, Store};
    /// # use berylwheel_types::Clock;
    /// let store = GuardedStore::new(Arc::new(MemoryStore::new(Clock::real())), Clock::real());
    /// futures_lite::future::block_on(store.range("/berylwheel/ledger/7", false, 0)).unwrap();
    /// assert_eq!(store.calls()["read ledger"], 1);
    /// ```
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether the store is considered unavailable, that is, whether the breaker is open.
    pub fn is_unavailable(&self) -> bool {
        self.lock().is_open()
    }

    /// Returns when the store last answered a call, whatever the call was.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use berylwheel_store::{GuardedStore, MemoryStore, Store};
    /// # use berylwheel_types::{Clock, ManualClock, Timestamp};
    /// let clock = Clock::Manual(ManualClock::new(Timestamp::from_millis(7)));
    /// let store = GuardedStore::new(Arc::new(MemoryStore::new(clock.clone())), clock);
    /// futures_lite::future::block_on(store.range("k", false, 0)).unwrap();
    /// assert_eq!(store.answered_at(), Timestamp::from_millis(7));
    /// ```
    pub fn answered_at(&self) -> Timestamp {
        *self.answered_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the maximum interval between probes during an outage.
    pub fn set_max_interval(&self, interval: Millis) {
        self.lock().set_max_interval(interval);
    }

    /// Allows the next call as a probe before it is due.
    pub fn probe_now(&self) {
        let now = self.clock.now();
        self.lock().probe_now(now);
    }

    fn lock(&self) -> MutexGuard<'_, Breaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call<'a, T: Send + 'a>(
        &'a self,
        purpose: String,
        operation: impl FnOnce(&'a dyn Store) -> StoreFuture<'a, T> + Send + 'a,
    ) -> StoreFuture<'a, T> {
        Box::pin(async move {
            if !self.lock().allow_call(self.clock.now()) {
                return Err(StoreError::Unavailable);
            }
            self.count_call(purpose);
            let result = operation(self.inner.as_ref()).await;
            self.record_result(result.as_ref().err());
            result
        })
    }

    fn count_call(&self, purpose: String) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        *calls.entry(purpose).or_default() += 1;
    }

    fn record_result(&self, error: Option<&StoreError>) {
        let now = self.clock.now();
        if error.is_none() {
            *self.answered_at.lock().unwrap_or_else(PoisonError::into_inner) = now;
        }
        match error {
            Some(error @ (StoreError::Unavailable | StoreError::Unknown)) => {
                if self.lock().record_failure(now) {
                    log::warn!(error:% = error, failures = FAILURE_LIMIT; "store lost");
                }
            }
            None
            | Some(StoreError::Compacted(_) | StoreError::Restored | StoreError::Protocol(_)) => {
                if let Some(outage) = self.lock().record_success(now) {
                    log::info!(ms = outage.0; "store regained");
                }
            }
        }
    }
}

/// Returns the name under which a call is counted: its operation, and the first segment of its key
/// without the prefix that all keys of this program share.
fn purpose(operation: &str, key: &str) -> String {
    let key = key.strip_prefix(OWN_PREFIX).unwrap_or(key);
    format!("{operation} {}", key.split('/').next().unwrap_or_default())
}

impl Store for GuardedStore {
    fn era(&self) -> StoreEra {
        self.inner.era()
    }

    fn range(&self, from: &str, prefix: bool, limit: u32) -> StoreFuture<'_, Vec<Entry>> {
        let from = from.to_owned();
        self.call(purpose("read", &from), move |store| store.range(&from, prefix, limit))
    }

    fn range_with_revision(&self, from: &str, prefix: bool) -> StoreFuture<'_, (Vec<Entry>, u64)> {
        let from = from.to_owned();
        self.call(purpose("read", &from), move |store| store.range_with_revision(&from, prefix))
    }

    fn swap(&self, compares: Vec<Compare>, puts: Vec<Put>) -> StoreFuture<'_, SwapResult> {
        let key = puts.first().map(|put| put.key.as_str()).unwrap_or_default();
        self.call(purpose("write", key), move |store| store.swap(compares, puts))
    }

    fn grant_lease(&self, ttl: Millis) -> StoreFuture<'_, LeaseId> {
        self.call("grant lease".to_owned(), move |store| store.grant_lease(ttl))
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, bool> {
        self.call("renew lease".to_owned(), move |store| store.keep_alive(lease))
    }

    fn watch(&self, prefix: &str, from_revision: u64) -> StoreFuture<'_, Vec<Entry>> {
        let prefix = prefix.to_owned();
        self.call(purpose("watch", &prefix), move |store| store.watch(&prefix, from_revision))
    }

    fn watch_for(
        &self,
        prefix: &str,
        from_revision: u64,
        wait: Millis,
    ) -> StoreFuture<'_, Vec<Entry>> {
        let prefix = prefix.to_owned();
        self.call(purpose("watch", &prefix), move |store| {
            store.watch_for(&prefix, from_revision, wait)
        })
    }
}
