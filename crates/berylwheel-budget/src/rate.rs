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
    min_age: Millis,
}

impl SpendRate {
    pub(crate) fn new(now: Timestamp, policy: &HolderPolicy) -> Self {
        let (window, min_age) = (policy.rate_window, policy.min_window);
        Self { started: now, updated: now, weight: 0.0, window, min_age }
    }

    /// Restarts the average if nothing has been spent yet, since the time before the first request
    /// must not lower the estimate.
    pub(crate) fn restart_if_unused(&mut self, now: Timestamp) {
        if self.weight == 0.0 {
            self.started = now;
            self.updated = now;
        }
    }

    fn decayed_weight(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated).0 as f64;
        self.weight * (-elapsed / self.window.0 as f64).exp()
    }

    pub(crate) fn add(&mut self, now: Timestamp, used: Tokens) {
        self.weight = self.decayed_weight(now) + used.0 as f64;
        self.updated = self.updated.max(now);
    }

    /// Returns the tokens spent in `span` at the current rate.
    pub(crate) fn spend_in(&self, now: Timestamp, span: Millis) -> Tokens {
        // Corrects for the initial bias: the average has only seen this fraction of its window.
        let age = now.since(self.started).0.max(self.min_age.0) as f64;
        let fraction = 1.0 - (-age / self.window.0 as f64).exp();
        let per_ms = self.decayed_weight(now) / (self.window.0 as f64 * fraction);
        Tokens((per_ms * span.0 as f64) as u64)
    }
}
