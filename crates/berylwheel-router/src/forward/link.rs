//! Tracks the load of the VM's network link and decides when callers should use another VM.
//!
//! A load balancer may send most callers to a few routers. Prompts are large, and a small VM's link
//! carries about twenty a second. When the link is full, connections to servers, the store and the
//! peers time out while other VMs of the failure domain are idle. Every byte of the router's sockets
//! counts: a configuration or the peers can fill a small link as well as prompts do.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use berylwheel_types::BitRate;
use berylwheel_types::Millis;
use berylwheel_types::Share;
use berylwheel_types::Timestamp;

use super::usage::SocketTotals;
use super::usage::SocketTraffic;

/// Length of the sliding window over which bytes are counted.
const WINDOW: Millis = Millis(1_000);
/// Interval that one bucket of the sliding window covers.
const BUCKET_INTERVAL: Millis = Millis(100);
/// Share of the link, in one direction, from which it counts as full. Packet headers and
/// acknowledgements, which sockets do not show, take most of the rest.
const FULL_SHARE: Share = Share::from_permille(850);
/// Delay until a router whose link was full reports itself as ready again. A load balancer takes
/// about two seconds to notice, and if callers returned at once they would fill the link again. A
/// link that the store or the peers filled is ready as soon as it has room: a router that starts
/// with a large configuration must not wait for callers that it has not had.
const READY_DELAY: Millis = Millis(5_000);
/// Share of the link that requests of callers, the store and the peers can use together.
const USABLE_SHARE: Share = Share::from_permille(800);
/// Share of the link that requests can use however much the store and the peers take.
const MIN_DRAIN_SHARE: Share = Share::from_permille(100);
/// Maximum queueing delay of a request on the link. Connecting to a server times out after a
/// quarter of a second, and would do so behind a longer queue.
const MAX_QUEUE_DELAY: Millis = Millis(200);
/// Minimum queue limit of a link of any rate, in bytes: four long prompts.
const MIN_QUEUE_BYTES: u64 = 256 << 10;
/// Timeout for connecting to a server. Servers are at most a few milliseconds away.
const CONNECT_TIMEOUT: Millis = Millis(250);
/// Maximum timeout for connecting to a server while the link is full: packets then wait for the
/// link, not for the server.
const FULL_LINK_CONNECT_TIMEOUT: Millis = Millis(1_500);
/// Part of a request's remaining time, as a divisor, that connecting may take over a full link: the
/// request and its response wait as long again.
const CONNECT_PART: u64 = 3;
/// How long the link counts as full after a request was refused.
const REFUSAL_TIME: Millis = Millis(1_000);

/// Returns the timeout for connecting to a server for a request that has `time_left`.
///
/// ```
/// use berylwheel_router::connect_timeout;
/// use berylwheel_types::Millis;
/// assert_eq!(connect_timeout(false, Millis(6_000)), Millis(250));
/// assert_eq!(connect_timeout(true, Millis(6_000)), Millis(1_500));
/// assert_eq!(connect_timeout(true, Millis(900)), Millis(300));
/// ```
pub fn connect_timeout(link_full: bool, time_left: Millis) -> Millis {
    match link_full {
        true => {
            Millis(time_left.0 / CONNECT_PART).clamp(CONNECT_TIMEOUT, FULL_LINK_CONNECT_TIMEOUT)
        }
        false => CONNECT_TIMEOUT,
    }
}

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

/// Bytes of the last [`WINDOW`].
#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<(Timestamp, u64)>,
    total: u64,
}

impl Window {
    fn record(&mut self, now: Timestamp, bytes: u64) {
        self.expire(now);
        match self.buckets.back_mut() {
            Some((since, counted)) if now.since(*since) < BUCKET_INTERVAL => *counted += bytes,
            _ => self.buckets.push_back((now, bytes)),
        }
        self.total += bytes;
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((since, counted)) = self.buckets.front()
            && now.since(*since) >= WINDOW
        {
            self.total -= counted;
            self.buckets.pop_front();
        }
    }
}

/// One direction of a link.
#[derive(Debug, Default)]
struct Direction {
    /// Bytes of all sockets.
    all: Window,
    /// Bytes of the store and the peers.
    background: Window,
    /// Bytes of requests that are on their way.
    requests: Queue,
}

/// Bytes that a router's sockets transferred over an interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkUse {
    /// Bytes received by all sockets.
    pub received: u64,
    /// Bytes sent by all sockets.
    pub sent: u64,
    /// Part of `received` that came from the store and the peers.
    pub background_received: u64,
    /// Part of `sent` that went to the store and the peers.
    pub background_sent: u64,
}

/// Measures the load of a network link.
///
/// ```
/// use berylwheel_router::{LinkLoad, LinkUse};
/// use berylwheel_types::{BitRate, Millis, Timestamp};
/// let now = Timestamp::from_millis(0);
/// let mut load = LinkLoad::new(BitRate(8_000_000));
/// load.record(now, LinkUse { received: 900_000, ..LinkUse::default() });
/// assert!(load.is_full(now) && !load.accepts_callers(now));
/// let later = now + Millis(2_000);
/// assert!(!load.is_full(later) && !load.accepts_callers(later));
/// assert!(load.accepts_callers(now + Millis(5_000)));
/// ```
#[derive(Debug)]
pub struct LinkLoad {
    /// Rate of the link in bytes per second.
    rate: f64,
    /// Number of bytes in the window, in one direction, from which the link counts as full.
    limit: u64,
    inbound: Direction,
    outbound: Direction,
    unready_until: Timestamp,
    full_until: Timestamp,
}

impl LinkLoad {
    /// Creates the load of an idle link with the rate `link`.
    pub fn new(link: BitRate) -> Self {
        let rate = link.bytes_per_second() as f64;
        let limit = rate * FULL_SHARE.fraction() * WINDOW.0 as f64 / 1_000.0;
        Self {
            rate,
            limit: (limit as u64).max(1),
            inbound: Direction::default(),
            outbound: Direction::default(),
            unready_until: Timestamp::default(),
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
        let usable_rate = self.rate * USABLE_SHARE.fraction();
        let max_queued =
            (usable_rate * MAX_QUEUE_DELAY.0 as f64 / 1_000.0).max(MIN_QUEUE_BYTES as f64);
        let size = bytes as f64;
        let rate = self.rate;
        let inbound = self.inbound.drain(now, rate);
        let outbound = self.outbound.drain(now, rate);
        if inbound.max(outbound) + size > max_queued {
            self.unready_until = now + READY_DELAY;
            self.full_until = now + REFUSAL_TIME;
            return false;
        }
        self.inbound.requests.bytes += size;
        true
    }

    /// Adds the bytes of a request to a server to the outbound queue.
    pub fn record_send(&mut self, now: Timestamp, bytes: u64) {
        let rate = self.rate;
        self.outbound.drain(now, rate);
        self.outbound.requests.bytes += bytes as f64;
    }

    /// Records what the sockets transferred since the last call.
    pub fn record(&mut self, now: Timestamp, link_use: LinkUse) {
        self.inbound.all.record(now, link_use.received);
        self.inbound.background.record(now, link_use.background_received);
        self.outbound.all.record(now, link_use.sent);
        self.outbound.background.record(now, link_use.background_sent);
        let full = [&self.inbound, &self.outbound]
            .into_iter()
            .filter(|direction| direction.all.total >= self.limit);
        for direction in full {
            let of_background = direction.background.total * 2 >= direction.all.total;
            let delay = if of_background { WINDOW } else { READY_DELAY };
            self.unready_until = self.unready_until.max(now + delay);
        }
    }

    /// Returns whether the link is full now, in which case callers' connections are closed.
    pub fn is_full(&mut self, now: Timestamp) -> bool {
        self.inbound.all.expire(now);
        self.outbound.all.expire(now);
        self.inbound.all.total.max(self.outbound.all.total) >= self.limit || now < self.full_until
    }

    /// Returns whether the load balancer may send more callers.
    pub fn accepts_callers(&self, now: Timestamp) -> bool {
        now >= self.unready_until
    }
}

impl Direction {
    /// Drains the queue of requests at what the store and the peers leave of a link of `rate` bytes
    /// per second, and returns the bytes left in it.
    fn drain(&mut self, now: Timestamp, rate: f64) -> f64 {
        self.background.expire(now);
        let background_rate = self.background.total as f64 * 1_000.0 / WINDOW.0 as f64;
        let left = rate * USABLE_SHARE.fraction() - background_rate;
        self.requests.drain(now, left.max(rate * MIN_DRAIN_SHARE.fraction()))
    }
}

/// The load of a link, shared by the tasks that use it. If the rate of the link is not configured,
/// it never counts as full.
#[derive(Debug, Clone)]
pub struct SharedLink(Option<Arc<Mutex<MeasuredLink>>>);

/// The load of a link, and the sockets whose bytes it counts.
#[derive(Debug)]
struct MeasuredLink {
    load: LinkLoad,
    traffic: SocketTraffic,
    /// Totals of the last measurement.
    measured: SocketTotals,
    measured_at: Timestamp,
}

impl MeasuredLink {
    /// Records what the sockets transferred since the last measurement.
    fn measure(&mut self, now: Timestamp) {
        let totals = self.traffic.totals();
        let link_use = totals.since(self.measured).link_use();
        // A longer interval counts with its mean.
        let interval = now.since(self.measured_at).0.max(WINDOW.0);
        let in_window = |bytes: u64| bytes * WINDOW.0 / interval;
        let was_accepting = self.load.accepts_callers(now);
        self.load.record(
            now,
            LinkUse {
                received: in_window(link_use.received),
                sent: in_window(link_use.sent),
                background_received: in_window(link_use.background_received),
                background_sent: in_window(link_use.background_sent),
            },
        );
        (self.measured, self.measured_at) = (totals, now);
        self.log_full(now, was_accepting);
    }

    fn log_full(&self, now: Timestamp, was_accepting: bool) {
        if was_accepting && !self.load.accepts_callers(now) {
            let (inbound, outbound) = (&self.load.inbound, &self.load.outbound);
            log::warn!(
                received = inbound.all.total, sent = outbound.all.total,
                background = inbound.background.total, queued = inbound.requests.bytes as u64,
                limit = self.load.limit;
                "link is full, callers are sent elsewhere"
            );
        }
    }
}

impl SharedLink {
    /// Creates the load of a link with the given rate that `traffic` passes.
    pub fn new(link: Option<BitRate>, traffic: SocketTraffic, now: Timestamp) -> Self {
        Self(link.map(|link| {
            let measured = traffic.totals();
            let load = LinkLoad::new(link);
            Arc::new(Mutex::new(MeasuredLink { load, traffic, measured, measured_at: now }))
        }))
    }

    pub(crate) fn admit(&self, now: Timestamp, bytes: u64) -> bool {
        let Some(mut link) = self.measure(now) else { return true };
        let was_accepting = link.load.accepts_callers(now);
        let admitted = link.load.admit(now, bytes);
        link.log_full(now, was_accepting);
        admitted
    }

    pub(crate) fn record_send(&self, now: Timestamp, bytes: usize) {
        if let Some(mut link) = self.lock() {
            link.load.record_send(now, bytes as u64);
        }
    }

    pub(crate) fn is_full(&self, now: Timestamp) -> bool {
        self.measure(now).is_some_and(|mut link| link.load.is_full(now))
    }

    pub(crate) fn accepts_callers(&self, now: Timestamp) -> bool {
        self.measure(now).is_none_or(|link| link.load.accepts_callers(now))
    }

    /// Returns the link after a measurement.
    fn measure(&self, now: Timestamp) -> Option<MutexGuard<'_, MeasuredLink>> {
        let mut link = self.lock()?;
        link.measure(now);
        Some(link)
    }

    fn lock(&self) -> Option<MutexGuard<'_, MeasuredLink>> {
        self.0.as_ref().map(|link| link.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
