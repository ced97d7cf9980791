//! Tracks the load of the VM's network link and decides when callers should use another VM.
//!
//! A load balancer may send most callers to a few routers. Prompts are large, and a small VM's link
//! carries about twenty a second. When the link is full, connections to servers, the store and the
//! peers time out while other VMs of the failure domain are idle.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use berylwheel_types::BitRate;
use berylwheel_types::Millis;
use berylwheel_types::Share;
use berylwheel_types::Timestamp;

/// Length of the sliding window over which bytes are counted.
const WINDOW: Millis = Millis(1_000);
/// Interval that one bucket of the sliding window covers.
const BUCKET_INTERVAL: Millis = Millis(100);
/// Share of the link from which it counts as full. Packet headers take a tenth of the link, and
/// some capacity is reserved for the store and the peers.
const FULL_SHARE: Share = Share::from_permille(700);
/// Delay until a router whose link was full reports itself as ready again. A load balancer takes
/// about two seconds to notice, and if callers returned at once they would fill the link again.
const READY_DELAY: Millis = Millis(5_000);
/// Share of the link at which queued requests are assumed to drain.
const DRAIN_SHARE: Share = Share::from_permille(800);
/// Maximum queueing delay of a request on the link. Connecting to a server times out after a
/// quarter of a second, and would do so behind a longer queue.
const MAX_QUEUE_DELAY: Millis = Millis(200);
/// Minimum queue limit of a link of any rate, in bytes: four long prompts.
const MIN_QUEUE_BYTES: u64 = 256 << 10;
/// How long the link counts as full after a request was refused.
const REFUSAL_TIME: Millis = Millis(1_000);

/// Estimate of the bytes queued in one direction of a link.
#[derive(Debug, Default)]
struct Queue {
    bytes: f64,
    updated_at: Timestamp,
}

impl Queue {
    /// Drains the queue up to `now` at `rate` bytes per second and returns the bytes left in it.
    fn drain(&mut self, now: Timestamp, rate: f64) -> f64 {
        let drained = now.since(self.updated_at).0 as f64 * rate / 1_000.0;
        self.bytes = (self.bytes - drained).max(0.0);
        self.updated_at = self.updated_at.max(now);
        self.bytes
    }
}

/// Measures the load that requests and responses put on a network link.
///
/// ```
/// use berylwheel_router::LinkLoad;
/// use berylwheel_types::{BitRate, Millis, Timestamp};
/// let now = Timestamp::from_millis(0);
/// let mut load = LinkLoad::new(BitRate(8_000_000));
/// load.record_transfer(now, 800_000);
/// assert!(load.is_full(now) && !load.accepts_callers(now));
/// let later = now + Millis(2_000);
/// assert!(!load.is_full(later) && !load.accepts_callers(later));
/// assert!(load.accepts_callers(now + Millis(5_000)));
/// ```
#[derive(Debug)]
pub struct LinkLoad {
    /// Number of bytes in the window from which the link counts as full.
    limit: u64,
    buckets: VecDeque<(Timestamp, u64)>,
    total: u64,
    unready_until: Timestamp,
    /// Assumed drain rate of queued requests, in bytes per second.
    drain_rate: f64,
    /// Bytes of requests that callers are sending.
    inbound: Queue,
    /// Bytes of requests that are being sent to servers.
    outbound: Queue,
    full_until: Timestamp,
}

impl LinkLoad {
    /// Creates the load of an idle link with the rate `link`.
    pub fn new(link: BitRate) -> Self {
        let limit =
            link.bytes_per_second() as f64 * FULL_SHARE.fraction() * WINDOW.0 as f64 / 1_000.0;
        Self {
            limit: (limit as u64).max(1),
            buckets: VecDeque::new(),
            total: 0,
            unready_until: Timestamp::default(),
            drain_rate: link.bytes_per_second() as f64 * DRAIN_SHARE.fraction(),
            inbound: Queue::default(),
            outbound: Queue::default(),
            full_until: Timestamp::default(),
        }
    }

    /// Returns whether a request of `bytes` bytes is admitted, and adds it to the inbound queue if
    /// so.
    ///
    /// ```
    /// use berylwheel_router::LinkLoad;
    /// use berylwheel_types::{BitRate, Millis, Timestamp};
    /// let now = Timestamp::from_millis(0);
    /// let mut load = LinkLoad::new(BitRate(10_000_000));
    /// assert!((0..4).all(|_| load.admit(now, 60_000)));
    /// assert!(!load.admit(now, 60_000) && !load.accepts_callers(now));
    /// assert!(load.admit(now + Millis(100), 60_000));
    /// ```
    pub fn admit(&mut self, now: Timestamp, bytes: u64) -> bool {
        let max_queued =
            (self.drain_rate * MAX_QUEUE_DELAY.0 as f64 / 1_000.0).max(MIN_QUEUE_BYTES as f64);
        let size = bytes as f64;
        let inbound = self.inbound.drain(now, self.drain_rate);
        let outbound = self.outbound.drain(now, self.drain_rate);
        if inbound.max(outbound) + size > max_queued {
            self.unready_until = now + READY_DELAY;
            self.full_until = now + REFUSAL_TIME;
            return false;
        }
        self.inbound.bytes += size;
        true
    }

    /// Adds the bytes of a request to a server to the outbound queue.
    pub fn record_send(&mut self, now: Timestamp, bytes: u64) {
        self.outbound.drain(now, self.drain_rate);
        self.outbound.bytes += bytes as f64;
    }

    /// Records bytes that were transferred over the link.
    pub fn record_transfer(&mut self, now: Timestamp, bytes: u64) {
        self.expire_buckets(now);
        match self.buckets.back_mut() {
            Some((since, counted)) if now.since(*since) < BUCKET_INTERVAL => *counted += bytes,
            _ => self.buckets.push_back((now, bytes)),
        }
        self.total += bytes;
        if self.total >= self.limit {
            self.unready_until = now + READY_DELAY;
        }
    }

    /// Returns whether the link is full now, in which case callers' connections are closed.
    pub fn is_full(&mut self, now: Timestamp) -> bool {
        self.expire_buckets(now);
        self.total >= self.limit || now < self.full_until
    }

    /// Returns whether the load balancer may send more callers.
    pub fn accepts_callers(&self, now: Timestamp) -> bool {
        now >= self.unready_until
    }

    fn expire_buckets(&mut self, now: Timestamp) {
        while let Some((since, counted)) = self.buckets.front()
            && now.since(*since) >= WINDOW
        {
            self.total -= counted;
            self.buckets.pop_front();
        }
    }
}

/// The load of a link, shared by the tasks that use it. If the rate of the link is not configured,
/// it never counts as full.
#[derive(Debug, Clone)]
pub struct SharedLink(Option<Arc<Mutex<LinkLoad>>>);

impl SharedLink {
    /// Creates the load of an idle link with the given rate.
    pub fn new(link: Option<BitRate>) -> Self {
        Self(link.map(|link| Arc::new(Mutex::new(LinkLoad::new(link)))))
    }

    pub(crate) fn record_transfer(&self, now: Timestamp, bytes: usize) {
        let Some(mut load) = self.lock() else { return };
        let was_accepting = load.accepts_callers(now);
        load.record_transfer(now, bytes as u64);
        if was_accepting && !load.accepts_callers(now) {
            log::warn!(
                bytes = load.total, limit = load.limit;
                "link is full, callers are sent elsewhere"
            );
        }
    }

    pub(crate) fn admit(&self, now: Timestamp, bytes: u64) -> bool {
        let Some(mut load) = self.lock() else { return true };
        let was_accepting = load.accepts_callers(now);
        let admitted = load.admit(now, bytes);
        if was_accepting && !admitted {
            log::warn!(
                bytes = load.total, limit = load.limit;
                "link is full, callers are sent elsewhere"
            );
        }
        admitted
    }

    pub(crate) fn record_send(&self, now: Timestamp, bytes: usize) {
        if let Some(mut load) = self.lock() {
            load.record_send(now, bytes as u64);
        }
    }

    pub(crate) fn is_full(&self, now: Timestamp) -> bool {
        self.lock().is_some_and(|mut load| load.is_full(now))
    }

    pub(crate) fn accepts_callers(&self, now: Timestamp) -> bool {
        self.lock().is_none_or(|load| load.accepts_callers(now))
    }

    fn lock(&self) -> Option<MutexGuard<'_, LinkLoad>> {
        self.0.as_ref().map(|load| load.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
