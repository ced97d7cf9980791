//! A store whose watches are answered by the watchers of the domain where possible.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use berylwheel_store::Compare;
use berylwheel_store::Entry;
use berylwheel_store::LeaseId;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::StoreFuture;
use berylwheel_store::SwapResult;
use berylwheel_types::Clock;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use futures_lite::FutureExt;

use super::core::Relay;
use super::policy::NextWatch;
use super::policy::WatchRole;

/// Delay after a failed watch of a router that goes on with the news of the watchers.
const RETRY_DELAY: Millis = Millis(100);

/// The relay of this router, shared by the control thread and the watch loops.
pub struct SharedRelay {
    relay: Mutex<Relay>,
    /// Wakes the watch of each prefix.
    wakers: Mutex<FastMap<String, Sender<()>>>,
}

impl SharedRelay {
    pub fn new(relay: Relay) -> Self {
        Self { relay: Mutex::new(relay), wakers: Mutex::default() }
    }

    pub fn lock(&self) -> MutexGuard<'_, Relay> {
        self.relay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the waiting watches decide anew.
    pub fn wake(&self) {
        let wakers = self.wakers.lock().unwrap_or_else(PoisonError::into_inner);
        for waker in wakers.values() {
            // If the channel is full, the watch is about to wake up.
            let _ = waker.try_send(());
        }
    }

    fn waker(&self, prefix: &str) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut wakers = self.wakers.lock().unwrap_or_else(PoisonError::into_inner);
        wakers.insert(prefix.to_owned(), sender);
        receiver
    }

    /// Decides the next step of a watch, and logs a change of the role.
    fn begin_watch(&self, now: Timestamp, prefix: &str, known: u64) -> NextWatch {
        let mut relay = self.lock();
        let before = relay.role(prefix);
        let next = relay.begin_watch(now, prefix, known);
        let role = relay.role(prefix);
        if role == before {
            return next;
        }
        let cause = match role {
            WatchRole::Fallback(cause) => cause.name(),
            WatchRole::Alone | WatchRole::Watcher | WatchRole::Follower => "",
        };
        log::info!(prefix, role = role.name(), cause; "watch of the store changed");
        next
    }
}

/// A store that answers watches from the news of the watchers while they are recent. All other calls
/// go to the inner store.
pub struct RelayedStore {
    inner: Arc<dyn Store>,
    relay: Arc<SharedRelay>,
    clock: Clock,
}

impl RelayedStore {
    pub fn new(inner: Arc<dyn Store>, relay: Arc<SharedRelay>, clock: Clock) -> Self {
        Self { inner, relay, clock }
    }

    async fn wait(&self, waker: &Receiver<()>, until: Option<Timestamp>) {
        let woken = async {
            let _ = waker.recv().await;
        };
        match until {
            None => woken.await,
            Some(until) => {
                let delay = until.since(self.clock.now()).max(Millis(1));
                let timer = async {
                    Timer::after(delay.duration()).await;
                };
                woken.or(timer).await;
            }
        }
    }

    /// Waits for relayed changes that a watch of the store should have returned.
    async fn overdue(&self, waker: &Receiver<()>, prefix: &str, known: u64) -> Vec<Entry> {
        loop {
            let result = self.relay.lock().overdue_changes(self.clock.now(), prefix, known);
            match result {
                Ok(changes) => return changes,
                Err(next) => self.wait(waker, next).await,
            }
        }
    }
}

impl Store for RelayedStore {
    fn era(&self) -> StoreEra {
        self.inner.era()
    }

    fn range(&self, from: &str, prefix: bool, limit: u32) -> StoreFuture<'_, Vec<Entry>> {
        self.inner.range(from, prefix, limit)
    }

    fn range_with_revision(&self, from: &str, prefix: bool) -> StoreFuture<'_, (Vec<Entry>, u64)> {
        let key = from.to_owned();
        Box::pin(async move {
            let result = self.inner.range_with_revision(&key, prefix).await;
            let read = result.as_ref().ok().map(|(entries, at)| (entries.as_slice(), *at));
            let now = self.clock.now();
            let mut relay = self.relay.lock();
            relay.set_era(now, self.inner.era());
            relay.end_read(now, &key, read);
            drop(relay);
            result
        })
    }

    fn swap(&self, compares: Vec<Compare>, puts: Vec<Put>) -> StoreFuture<'_, SwapResult> {
        self.inner.swap(compares, puts)
    }

    fn grant_lease(&self, ttl: Millis) -> StoreFuture<'_, LeaseId> {
        self.inner.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, bool> {
        self.inner.keep_alive(lease)
    }

    fn watch(&self, prefix: &str, from_revision: u64) -> StoreFuture<'_, Vec<Entry>> {
        let prefix = prefix.to_owned();
        let known = from_revision.saturating_sub(1);
        Box::pin(async move {
            let waker = self.relay.waker(&prefix);
            let era = self.inner.era();
            loop {
                if self.inner.era() != era {
                    return Err(StoreError::Restored);
                }
                let wait = match self.relay.begin_watch(self.clock.now(), &prefix, known) {
                    NextWatch::Changes(changes) => return Ok(changes),
                    NextWatch::Wait(until) => {
                        self.wait(&waker, Some(until)).await;
                        continue;
                    }
                    NextWatch::Watch(wait) => wait,
                };
                let watch = async {
                    match wait {
                        Some(wait) => self.inner.watch_for(&prefix, from_revision, wait).await,
                        None => self.inner.watch(&prefix, from_revision).await,
                    }
                };
                let watch = async { Err(watch.await) };
                let overdue = async { Ok(self.overdue(&waker, &prefix, known).await) };
                let result = match watch.or(overdue).await {
                    Ok(changes) => return Ok(changes),
                    Err(result) => result,
                };
                let changes = result.as_deref().ok();
                let now = self.clock.now();
                let may_follow = self.relay.lock().end_watch(now, &prefix, known, changes);
                match &result {
                    Err(StoreError::Unavailable | StoreError::Unknown) if may_follow => {
                        Timer::after(RETRY_DELAY.duration()).await;
                    }
                    _ => return result,
                }
            }
        })
    }

    fn watch_for(
        &self,
        prefix: &str,
        from_revision: u64,
        wait: Millis,
    ) -> StoreFuture<'_, Vec<Entry>> {
        self.inner.watch_for(prefix, from_revision, wait)
    }
}
