//! Comparison of the local clock with the clocks of other routers.

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::VisitCounter;

/// Maximum difference between clocks that agree. A heartbeat takes milliseconds to arrive, or a few
/// hundred if a router is short of CPU time.
const MAX_SKEW: Millis = Millis(400);
/// Time for which a clock reading from a heartbeat is used.
const REPORT_TTL: Millis = Millis(5_000);
/// Number of reports from which on expired ones are removed.
const PRUNE_LENGTH: usize = 64;
/// Minimum number of other routers whose clocks have to agree.
const MIN_PEERS: usize = 2;

/// The clocks of other routers as reported in their heartbeats.
///
/// ```
/// use berylwheel_config::PeerClocks;
/// use berylwheel_types::{Millis, Timestamp};
/// let now = Timestamp::from_millis(10_000);
/// let mut clocks = PeerClocks::default();
/// clocks.record(now, &"r2".parse().unwrap(), now + Millis(100));
/// assert!(!clocks.is_synchronized(now));
/// clocks.record(now, &"r3".parse().unwrap(), now);
/// assert!(clocks.is_synchronized(now));
/// clocks.record(now, &"r2".parse().unwrap(), now + Millis(2_400));
/// assert!(!clocks.is_synchronized(now));
/// ```
#[derive(Debug, Default)]
pub struct PeerClocks {
    /// When each router last sent its clock, and whether that clock agreed with the local one.
    reports: FastMap<RouterId, (Timestamp, bool)>,
    visits: VisitCounter,
}

impl PeerClocks {
    /// Returns the number of reports examined since the start.
    ///
    /// ```
    /// assert_eq!(berylwheel_config::PeerClocks::default().visits(), 0);
    /// ```
    pub fn visits(&self) -> u64 {
        self.visits.total()
    }

    /// Records the clock reading in a heartbeat from `from`.
    pub fn record(&mut self, now: Timestamp, from: &RouterId, clock: Timestamp) {
        let skew = now.since(clock).max(clock.since(now));
        if self.reports.len() >= PRUNE_LENGTH {
            self.visits.add(self.reports.len());
            self.reports.retain(|_, (at, _)| now.since(*at) <= REPORT_TTL);
        }
        self.reports.insert(from.clone(), (now, skew <= MAX_SKEW));
    }

    /// Returns whether the local clock agrees with the majority of recent readings and with at
    /// least two of them.
    pub fn is_synchronized(&self, now: Timestamp) -> bool {
        self.visits.add(self.reports.len());
        let recent = self.reports.values().filter(|(at, _)| now.since(*at) <= REPORT_TTL);
        let agreeing = recent.clone().filter(|(_, agreeing)| *agreeing).count();
        agreeing >= MIN_PEERS && agreeing * 2 > recent.count()
    }
}
