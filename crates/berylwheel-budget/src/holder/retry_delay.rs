//! Retry delays for callers that are refused temporarily.
//!
//! Requests are refused temporarily during a store outage, and while other holders have the tokens
//! of a budget. The duration of either is unknown, but a condition that has lasted for some seconds
//! lasts on average as long again. The retry delay is therefore the time that the condition has
//! lasted. With a short fixed delay, callers retried many times in vain during long outages.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

/// Maximum retry delay. Most requests have a deadline of about ten seconds, and tokens are
/// available again within this time once the store answers.
const MAX_RETRY_DELAY: Millis = Millis(8_000);

/// A temporary condition for which requests are refused.
#[derive(Debug, Default)]
pub(crate) struct RefusalPeriod {
    started: Option<Timestamp>,
}

impl RefusalPeriod {
    /// Records that the condition has begun or continues.
    pub(crate) fn start(&mut self, now: Timestamp) {
        self.started.get_or_insert(now);
    }

    pub(crate) fn end(&mut self) {
        self.started = None;
    }

    /// Returns the delay after which a caller should retry, at least `min_delay`.
    pub(crate) fn retry_delay(&self, now: Timestamp, min_delay: Millis) -> Millis {
        let duration = self.started.map_or(Millis(0), |started| now.since(started));
        duration.min(MAX_RETRY_DELAY).max(min_delay)
    }
}
