//! A circuit breaker for calls of the store: while the store fails, only a probe now and then goes out.
//!
//! Each call is counted by the platform, one that is refused too, and a router has some twenty
//! pages, watches and leases that would each try again on their own.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::Share;
use berylwheel_types::Timestamp;

use crate::Compare;
use crate::Entry;
use crate::LeaseId;
use crate::Put;
use crate::Store;
use crate::StoreError;
use crate::StoreFuture;
use crate::SwapResult;

/// Failures in a row after which the store counts as lost. Single answers get lost while it is well.
const FAILURE_LIMIT: u32 = 3;
/// Pause before the first probe.
const PAUSE_FIRST: Millis = Millis(250);
/// Longest pause between probes. A router that reaches the store again has three seconds to give up
/// servers that left meanwhile, and missing entries count for 2.3 s of them.
const PAUSE_LIMIT: Millis = Millis(500);
/// Least share of a longer pause that a process waits, in thousandths.
const PHASE_LEAST: u32 = 500;

/// Decides which calls go out.
///
/// ```
/// use berylwheel_store::Breaker;
/// use berylwheel_types::{Millis, Timestamp};
/// let now = Timestamp::from_millis(0);
/// let mut breaker = Breaker::default();
/// (0..3).for_each(|_| { breaker.failed(now); });
/// assert!(!breaker.admit(now));
/// // One probe goes out after the pause.
/// let later = now + Millis(250);
/// assert_eq!((breaker.admit(later), breaker.admit(later)), (true, false));
/// assert_eq!(breaker.succeeded(later), Some(Millis(250)));
/// assert!(breaker.admit(later));
/// ```
#[derive(Debug)]
pub struct Breaker {
    failures: u32,
    lost: Option<Lost>,
    /// Longest pause between probes.
    limit: Millis,
    /// The share of a longer pause that this process waits, so that processes that share the probes
    /// do not all send them at the same time.
    phase: Share,
}

impl Default for Breaker {
    fn default() -> Self {
        Self { failures: 0, lost: None, limit: PAUSE_LIMIT, phase: Share::from_permille(1_000) }
    }
}

#[derive(Debug)]
struct Lost {
    since: Timestamp,
    probe_at: Timestamp,
    pause: Millis,
}

impl Breaker {
    /// Returns whether a call may go out.
    pub fn admit(&mut self, now: Timestamp) -> bool {
        let Some(lost) = &mut self.lost else { return true };
        if now < lost.probe_at {
            return false;
        }
        // A probe that is never answered must not keep the next one back.
        lost.pause = Millis(lost.pause.0 * 2).min(self.limit);
        let phased = Millis((lost.pause.0 as f64 * self.phase.fraction()) as u64);
        lost.probe_at = now + phased.max(lost.pause.min(PAUSE_LIMIT));
        true
    }

    /// Sets the longest pause between probes, for a router that shares them with others.
    pub fn set_limit(&mut self, limit: Millis) {
        self.limit = limit.max(PAUSE_LIMIT);
    }

    /// Lets a probe out at once: there is reason to think that the store is back.
    pub fn probe_now(&mut self, now: Timestamp) {
        if let Some(lost) = &mut self.lost {
            lost.probe_at = now;
            lost.pause = PAUSE_FIRST;
        }
    }

    /// Returns whether the store counts as lost.
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Takes in an answer. Returns how long the store was lost, if it is back with this answer.
    pub fn succeeded(&mut self, now: Timestamp) -> Option<Millis> {
        self.failures = 0;
        self.lost.take().map(|lost| now.since(lost.since))
    }

    /// Takes in a failed call. Returns whether the store counts as lost from this call on.
    pub fn failed(&mut self, now: Timestamp) -> bool {
        self.failures += 1;
        if self.lost.is_some() || self.failures < FAILURE_LIMIT {
            return false;
        }
        self.lost = Some(Lost { since: now, probe_at: now + PAUSE_FIRST, pause: PAUSE_FIRST });
        true
    }
}

/// A store behind a [`Breaker`]. Calls that do not go out fail with [`StoreError::Unavailable`].
pub struct GuardedStore {
    inner: Arc<dyn Store>,
    clock: Clock,
    breaker: Mutex<Breaker>,
}

impl GuardedStore {
    /// Returns `inner` behind a breaker.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use berylwheel_store::{GuardedStore, MemoryStore, Store};
    /// use berylwheel_types::Clock;
    /// let store = GuardedStore::new(Arc::new(MemoryStore::new(Clock::real())), Clock::real());
    /// assert_eq!(futures_lite::future::block_on(store.range("k", false, 0)), Ok(Vec::new()));
    /// ```
    pub fn new(inner: Arc<dyn Store>, clock: Clock) -> Self {
        let phase = rand::random_range(PHASE_LEAST..=1_000);
        let breaker = Breaker { phase: Share::from_permille(phase), ..Breaker::default() };
        Self { inner, clock, breaker: Mutex::new(breaker) }
    }

    /// Returns whether the store counts as lost.
    pub fn is_lost(&self) -> bool {
        self.lock().is_lost()
    }

    /// Sets the longest pause between probes while the store is lost.
    pub fn set_limit(&self, limit: Millis) {
        self.lock().set_limit(limit);
    }

    /// Lets the next call out as a probe although its time has not come.
    pub fn probe_now(&self) {
        let now = self.clock.now();
        self.lock().probe_now(now);
    }

    fn lock(&self) -> MutexGuard<'_, Breaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn guard<'a, T: Send + 'a>(
        &'a self,
        call: impl FnOnce(&'a dyn Store) -> StoreFuture<'a, T> + Send + 'a,
    ) -> StoreFuture<'a, T> {
        Box::pin(async move {
            if !self.lock().admit(self.clock.now()) {
                return Err(StoreError::Unavailable);
            }
            let result = call(self.inner.as_ref()).await;
            self.note(result.as_ref().err());
            result
        })
    }

    fn note(&self, error: Option<&StoreError>) {
        let now = self.clock.now();
        match error {
            Some(error @ (StoreError::Unavailable | StoreError::Unknown)) => {
                if self.lock().failed(now) {
                    log::warn!(error:% = error, failures = FAILURE_LIMIT; "store lost");
                }
            }
            None | Some(StoreError::Compacted(_) | StoreError::Protocol(_)) => {
                if let Some(span) = self.lock().succeeded(now) {
                    log::info!(ms = span.0; "store regained");
                }
            }
        }
    }
}

impl Store for GuardedStore {
    fn range(&self, from: &str, prefix: bool, limit: u32) -> StoreFuture<'_, Vec<Entry>> {
        let from = from.to_owned();
        self.guard(move |store| store.range(&from, prefix, limit))
    }

    fn range_at(&self, from: &str, prefix: bool) -> StoreFuture<'_, (Vec<Entry>, u64)> {
        let from = from.to_owned();
        self.guard(move |store| store.range_at(&from, prefix))
    }

    fn swap(&self, compares: Vec<Compare>, puts: Vec<Put>) -> StoreFuture<'_, SwapResult> {
        self.guard(move |store| store.swap(compares, puts))
    }

    fn lease(&self, ttl: Millis) -> StoreFuture<'_, LeaseId> {
        self.guard(move |store| store.lease(ttl))
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, bool> {
        self.guard(move |store| store.keep_alive(lease))
    }

    fn watch(&self, prefix: &str, from_revision: u64) -> StoreFuture<'_, Vec<Entry>> {
        let prefix = prefix.to_owned();
        self.guard(move |store| store.watch(&prefix, from_revision))
    }
}
