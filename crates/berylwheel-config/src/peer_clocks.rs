//! Comparison of the local clock with the clocks of other routers.

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::VisitCounter;

/// Maximum difference between clocks that agree. A heartbeat takes milliseconds to arrive, or a few
/// hundred if a router is short of CPU time; the fastest of the recent ones counts.
const MAX_SKEW: Millis = Millis(400);
/// Time for which a clock reading from a heartbeat is used.
const REPORT_TTL: Millis = Millis(5_000);
/// Number of reports from which on expired ones are removed.
const PRUNE_LENGTH: usize = 64;
/// Minimum number of other routers whose clocks have to agree.
const MIN_PEERS: usize = 2;

/// The last readings of the clock of another router.
#[derive(Debug, Clone, Copy)]
struct Report {
    /// When the latest reading was received.
    received: Timestamp,
    /// The least of the recent differences between the time of receipt and the reading, in
    /// milliseconds, and when it was received. A heartbeat that is late only adds to the
    /// difference, so the least one is the closest to the difference of the clocks.
    least: (i64, Timestamp),
}

impl Report {
    fn agrees(&self) -> bool {
        self.least.0.unsigned_abs() <= MAX_SKEW.0
    }
}

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
    reports: FastMap<RouterId, Report>,
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
        let difference = i64::try_from(now.since(clock).0).unwrap_or(i64::MAX)
            - i64::try_from(clock.since(now).0).unwrap_or(i64::MAX);
        if self.reports.len() >= PRUNE_LENGTH {
            self.visits.add(self.reports.len());
            self.reports.retain(|_, report| now.since(report.received) <= REPORT_TTL);
        }
        let latest = (difference, now);
        let earlier = self.reports.get(from).map(|report| report.least);
        let least = earlier
            .filter(|(least, at)| *least < difference && now.since(*at) <= REPORT_TTL)
            .unwrap_or(latest);
        self.reports.insert(from.clone(), Report { received: now, least });
    }

    /// Returns whether the local clock agrees with the majority of recent readings and with at
    /// least two of them.
    pub fn is_synchronized(&self, now: Timestamp) -> bool {
        self.visits.add(self.reports.len());
        let recent =
            self.reports.values().filter(|report| now.since(report.received) <= REPORT_TTL);
        let agreeing = recent.clone().filter(|report| report.agrees()).count();
        agreeing >= MIN_PEERS && agreeing * 2 > recent.count()
    }
}
