//! Comparison of the local clock with the clocks of other routers.

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;

/// Maximum difference between clocks that agree. A heartbeat takes milliseconds to arrive, or a few
/// hundred if a router is short of CPU time.
const AGREEMENT: Millis = Millis(400);
/// Time for which a clock reading from a heartbeat is used.
const MEMORY: Millis = Millis(5_000);
/// Minimum number of other routers whose clocks have to agree.
const LEAST: usize = 2;

/// The clocks of other routers as reported in their heartbeats.
///
/// ```
/// use berylwheel_config::PeerClocks;
/// use berylwheel_types::{Millis, Timestamp};
/// let now = Timestamp::from_millis(10_000);
/// let mut clocks = PeerClocks::default();
/// clocks.heard(now, &"r2".parse().unwrap(), now + Millis(100));
/// assert!(!clocks.agree(now));
/// clocks.heard(now, &"r3".parse().unwrap(), now);
/// assert!(clocks.agree(now));
/// clocks.heard(now, &"r2".parse().unwrap(), now + Millis(2_400));
/// assert!(!clocks.agree(now));
/// ```
#[derive(Debug, Default)]
pub struct PeerClocks {
    /// When each router last sent its clock, and whether that clock agreed with the local one.
    heard: FastMap<RouterId, (Timestamp, bool)>,
}

impl PeerClocks {
    /// Records the clock reading in a heartbeat from `from`.
    pub fn heard(&mut self, now: Timestamp, from: &RouterId, clock: Timestamp) {
        let apart = now.since(clock).max(clock.since(now));
        self.heard.insert(from.clone(), (now, apart <= AGREEMENT));
    }

    /// Returns whether the local clock agrees with the majority of recent readings and with at
    /// least two of them.
    pub fn agree(&self, now: Timestamp) -> bool {
        let recent = self.heard.values().filter(|(at, _)| now.since(*at) <= MEMORY);
        let close = recent.clone().filter(|(_, close)| *close).count();
        close >= LEAST && close * 2 > recent.count()
    }
}
