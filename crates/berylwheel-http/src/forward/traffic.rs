//! Counts what a group of sockets transfers.

use std::ops::Sub;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Bytes, system calls and connections of a group of sockets. Clones share the counts.
///
/// ```
/// use berylwheel_http::Traffic;
/// let traffic = Traffic::default();
/// traffic.clone().record_received(100);
/// assert_eq!(traffic.totals().received, 100);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Traffic(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    received: AtomicU64,
    sent: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
    connections: AtomicU64,
}

/// Totals of a [`Traffic`] since the start of the process, or their difference over an interval.
///
/// ```
/// use berylwheel_http::TrafficTotals;
/// let earlier = TrafficTotals { received: 40, ..TrafficTotals::default() };
/// let later = TrafficTotals { received: 100, ..TrafficTotals::default() };
/// assert_eq!((later - earlier).received, 60);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Bytes read from the sockets.
    pub received: u64,
    /// Bytes written to the sockets.
    pub sent: u64,
    /// Number of reads that returned bytes.
    pub reads: u64,
    /// Number of writes that took bytes.
    pub writes: u64,
    /// Number of connections established.
    pub connections: u64,
}

impl Sub for TrafficTotals {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            received: self.received.saturating_sub(earlier.received),
            sent: self.sent.saturating_sub(earlier.sent),
            reads: self.reads.saturating_sub(earlier.reads),
            writes: self.writes.saturating_sub(earlier.writes),
            connections: self.connections.saturating_sub(earlier.connections),
        }
    }
}

impl Traffic {
    /// Counts a read of `bytes` bytes.
    ///
    /// ```
    /// let traffic = berylwheel_http::Traffic::default();
    /// traffic.record_received(10);
    /// assert_eq!(traffic.totals().reads, 1);
    /// ```
    pub fn record_received(&self, bytes: u64) {
        self.0.received.fetch_add(bytes, Ordering::Relaxed);
        self.0.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a write of `bytes` bytes.
    ///
    /// ```
    /// let traffic = berylwheel_http::Traffic::default();
    /// traffic.record_sent(10);
    /// assert_eq!((traffic.totals().sent, traffic.totals().writes), (10, 1));
    /// ```
    pub fn record_sent(&self, bytes: u64) {
        self.0.sent.fetch_add(bytes, Ordering::Relaxed);
        self.0.writes.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an established connection.
    ///
    /// ```
    /// let traffic = berylwheel_http::Traffic::default();
    /// traffic.record_connection();
    /// assert_eq!(traffic.totals().connections, 1);
    /// ```
    pub fn record_connection(&self) {
        self.0.connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Replaces the counts of bytes by totals that are counted elsewhere.
    ///
    /// ```
    /// let traffic = berylwheel_http::Traffic::default();
    /// traffic.set_totals(7, 8);
    /// assert_eq!((traffic.totals().received, traffic.totals().sent), (7, 8));
    /// ```
    pub fn set_totals(&self, received: u64, sent: u64) {
        self.0.received.store(received, Ordering::Relaxed);
        self.0.sent.store(sent, Ordering::Relaxed);
    }

    /// Returns the totals so far.
    ///
    /// ```
    /// let totals = berylwheel_http::Traffic::default().totals();
    /// assert_eq!(totals, berylwheel_http::TrafficTotals::default());
    /// ```
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            received: self.0.received.load(Ordering::Relaxed),
            sent: self.0.sent.load(Ordering::Relaxed),
            reads: self.0.reads.load(Ordering::Relaxed),
            writes: self.0.writes.load(Ordering::Relaxed),
            connections: self.0.connections.load(Ordering::Relaxed),
        }
    }
}
