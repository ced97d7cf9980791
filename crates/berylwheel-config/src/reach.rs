//! What other routers tell about the platform's store while this one has lost it.

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;

/// Time for which what a heartbeat told counts: three heartbeats.
const MEMORY: Millis = Millis(3_000);
/// Longest pause between probes of a router that others tell has lost the store alone. It has three
/// seconds from the return on to give up servers that left meanwhile.
const PAUSE_ALONE: Millis = Millis(500);
/// Part of the longest pause that each live router adds when all have lost the store. The fleet
/// together then sends a probe every 150 ms or more often, however many routers it has.
const PAUSE_PART: Millis = Millis(150);
/// Longest pause of all.
const PAUSE_LIMIT: Millis = Millis(4_000);
/// Other routers that have to tell the same at the least.
const LEAST: usize = 2;

/// Which other routers reach the store, as their heartbeats told.
///
/// When all have lost it, they share the probes: the first that reaches it again tells the others.
/// Each probe is a call that the platform counts.
///
/// ```
/// use berylwheel_config::PeerReach;
/// use berylwheel_types::{Millis, Timestamp};
/// let now = Timestamp::from_millis(10_000);
/// let mut reach = PeerReach::default();
/// for router in ["r2", "r3"] {
///     reach.heard(now, &router.parse().unwrap(), false);
/// }
/// assert_eq!(reach.probe_pause(now, 20), Millis(3_000));
/// reach.heard(now, &"r4".parse().unwrap(), true);
/// assert_eq!(reach.probe_pause(now, 20), Millis(500));
/// ```
#[derive(Debug, Default)]
pub struct PeerReach {
    /// When each router was heard, and whether it reached the store.
    heard: FastMap<RouterId, (Timestamp, bool)>,
}

impl PeerReach {
    /// Takes in whether a router reaches the store.
    pub fn heard(&mut self, now: Timestamp, from: &RouterId, reaches: bool) {
        self.heard.insert(from.clone(), (now, reaches));
    }

    /// Returns the longest pause between probes of the store for one of `live` routers.
    pub fn probe_pause(&self, now: Timestamp, live: usize) -> Millis {
        let recent = || self.heard.values().filter(|(at, _)| now.since(*at) <= MEMORY);
        if recent().count() < LEAST || recent().any(|(_, reaches)| *reaches) {
            return PAUSE_ALONE;
        }
        Millis(PAUSE_PART.0 * live as u64).clamp(PAUSE_ALONE, PAUSE_LIMIT)
    }
}
