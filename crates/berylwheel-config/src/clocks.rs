//! Whether a router's clock agrees with those of the other routers.

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;

/// How far two clocks that agree may differ. Heartbeats take milliseconds, and some hundred on a
/// router that is short of processor time.
const AGREEMENT: Millis = Millis(400);
/// Time for which what a heartbeat told counts.
const MEMORY: Millis = Millis(5_000);
/// Other routers that have to agree at the least.
const LEAST: usize = 2;

/// The clocks of other routers, as their heartbeats told them.
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
    /// When each router was heard, and whether its clock was close to this one's.
    heard: FastMap<RouterId, (Timestamp, bool)>,
}

impl PeerClocks {
    /// Takes in the clock that a heartbeat told.
    pub fn heard(&mut self, now: Timestamp, from: &RouterId, clock: Timestamp) {
        let apart = now.since(clock).max(clock.since(now));
        self.heard.insert(from.clone(), (now, apart <= AGREEMENT));
    }

    /// Returns whether enough other routers were heard lately and most of them agree.
    pub fn agree(&self, now: Timestamp) -> bool {
        let recent = self.heard.values().filter(|(at, _)| now.since(*at) <= MEMORY);
        let close = recent.clone().filter(|(_, close)| *close).count();
        close >= LEAST && close * 2 > recent.count()
    }
}
