//! When a caller that is refused for now should come back.
//!
//! This answers two loads: an outage of the store, and a budget whose tokens other holders keep. How
//! long either lasts is not known. What has lasted for some seconds lasts on average as long again, so
//! a caller is told to wait as long as the shortage has lasted; a fixed short time made callers of
//! long outages come back many times in vain.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

/// Longest time that a caller is told to wait. Callers give most requests some ten seconds, and
/// tokens return within this time once the store answers.
const LONGEST: Millis = Millis(8_000);

/// Something that requests are refused for until it ends.
#[derive(Debug, Default)]
pub(crate) struct Shortage {
    since: Option<Timestamp>,
}

impl Shortage {
    /// The shortage begins, or goes on.
    pub(crate) fn note(&mut self, now: Timestamp) {
        self.since.get_or_insert(now);
    }

    pub(crate) fn end(&mut self) {
        self.since = None;
    }

    /// Returns the time to come back after, at least `least`.
    pub(crate) fn come_back(&self, now: Timestamp, least: Millis) -> Millis {
        let lasted = self.since.map_or(Millis(0), |since| now.since(since));
        lasted.min(LONGEST).max(least)
    }
}
