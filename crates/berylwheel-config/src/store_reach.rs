//! Probe intervals for an unreachable store, based on whether other routers can reach it.

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::VisitCounter;

/// Time for which a report in a heartbeat is used; three heartbeat intervals.
const REPORT_TTL: Millis = Millis(3_000);
/// Maximum probe interval of a router that may be the only one without the store. Once the store is
/// reachable again, the router has three seconds to drop backend servers that have left meanwhile.
const LONE_PROBE_INTERVAL: Millis = Millis(500);
/// Share of the maximum probe interval per live router when no router reaches the store. The fleet
/// as a whole then sends at least one probe every 150 ms, regardless of its size.
const PROBE_INTERVAL_SHARE: Millis = Millis(150);
/// Upper bound of the maximum probe interval.
const PROBE_INTERVAL_LIMIT: Millis = Millis(4_000);
/// Number of reports from which on expired ones are removed.
const PRUNE_LENGTH: usize = 64;
/// Minimum number of other routers that have to report a lost store.
const MIN_REPORTS: usize = 2;

/// Whether other routers can reach the store, as reported in their heartbeats.
///
/// If no router can reach it, the fleet shares the probing: the first router that succeeds notifies
/// the others. This keeps the number of calls low, since the platform counts each probe as a call.
///
/// ```
/// use berylwheel_config::StoreReach;
/// use berylwheel_types::{Millis, Timestamp};
/// let now = Timestamp::from_millis(10_000);
/// let mut reach = StoreReach::default();
/// for router in ["r2", "r3"] {
///     reach.record(now, &router.parse().unwrap(), false);
/// }
/// assert_eq!(reach.max_probe_interval(now, 20), Millis(3_000));
/// reach.record(now, &"r4".parse().unwrap(), true);
/// assert_eq!(reach.max_probe_interval(now, 20), Millis(500));
/// ```
#[derive(Debug, Default)]
pub struct StoreReach {
    /// When each router last sent a report, and whether it could reach the store.
    reports: FastMap<RouterId, (Timestamp, bool)>,
    visits: VisitCounter,
}

impl StoreReach {
    /// Returns the number of reports examined since the start.
    ///
    /// ```
    /// assert_eq!(berylwheel_config::StoreReach::default().visits(), 0);
    /// ```
    pub fn visits(&self) -> u64 {
        self.visits.total()
    }

    /// Records whether the router `from` can reach the store.
    pub fn record(&mut self, now: Timestamp, from: &RouterId, reaches: bool) {
        if self.reports.len() >= PRUNE_LENGTH {
            self.visits.add(self.reports.len());
            self.reports.retain(|_, (at, _)| now.since(*at) <= REPORT_TTL);
        }
        self.reports.insert(from.clone(), (now, reaches));
    }

    /// Returns the maximum interval between store probes for one of `live` routers.
    pub fn max_probe_interval(&self, now: Timestamp, live: usize) -> Millis {
        self.visits.add(self.reports.len());
        let recent = || self.reports.values().filter(|(at, _)| now.since(*at) <= REPORT_TTL);
        if recent().count() < MIN_REPORTS || recent().any(|(_, reaches)| *reaches) {
            return LONE_PROBE_INTERVAL;
        }
        Millis(PROBE_INTERVAL_SHARE.0 * live as u64)
            .clamp(LONE_PROBE_INTERVAL, PROBE_INTERVAL_LIMIT)
    }
}
