//! Estimation of a budget's rate of spend.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::HolderPolicy;

/// An exponentially weighted average of spend.
#[derive(Debug, Clone)]
pub(crate) struct SpendRate {
    started: Timestamp,
    updated: Timestamp,
    weight: f64,
    /// The averaging window.
    window: Millis,
    /// The minimum age assumed for a new estimate.
    start: Millis,
}

impl SpendRate {
    pub(crate) fn new(now: Timestamp, policy: &HolderPolicy) -> Self {
        let (window, start) = (policy.rate_window, policy.rate_start);
        Self { started: now, updated: now, weight: 0.0, window, start }
    }

    /// Restarts the average if nothing has been spent yet, since the time before the first request
    /// must not lower the estimate.
    pub(crate) fn begin(&mut self, now: Timestamp) {
        if self.weight == 0.0 {
            self.started = now;
            self.updated = now;
        }
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let gone = now.since(self.updated).0 as f64;
        self.weight * (-gone / self.window.0 as f64).exp()
    }

    pub(crate) fn add(&mut self, now: Timestamp, used: Tokens) {
        self.weight = self.decayed(now) + used.0 as f64;
        self.updated = self.updated.max(now);
    }

    /// Returns the tokens spent in `span` at the current rate.
    pub(crate) fn over(&self, now: Timestamp, span: Millis) -> Tokens {
        // Corrects for the initial bias: the average has only seen this fraction of its window.
        let age = now.since(self.started).0.max(self.start.0) as f64;
        let seen = 1.0 - (-age / self.window.0 as f64).exp();
        let per_ms = self.decayed(now) / (self.window.0 as f64 * seen);
        Tokens((per_ms * span.0 as f64) as u64)
    }
}
