//! Estimate of a budget's rate of spend.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

/// Time over which spend is averaged. Small budgets see a request every few minutes, and a
/// shorter time gives them an estimate that is often near zero.
const AVERAGED_OVER: Millis = Millis(30 * 60_000);

/// The least time that a new estimate divides by.
const START: Millis = Millis(60_000);

/// An exponentially weighted average of spend.
#[derive(Debug, Clone)]
pub(crate) struct SpendRate {
    started: Timestamp,
    updated: Timestamp,
    weight: f64,
}

impl SpendRate {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self { started: now, updated: now, weight: 0.0 }
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let gone = now.since(self.updated).0 as f64;
        self.weight * (-gone / AVERAGED_OVER.0 as f64).exp()
    }

    pub(crate) fn add(&mut self, now: Timestamp, used: Tokens) {
        self.weight = self.decayed(now) + used.0 as f64;
        self.updated = self.updated.max(now);
    }

    /// Returns the tokens that are spent in `span` at the present rate.
    pub(crate) fn over(&self, now: Timestamp, span: Millis) -> Tokens {
        // The average starts with an empty past, which `seen` corrects for.
        let age = now.since(self.started).0.max(START.0) as f64;
        let seen = 1.0 - (-age / AVERAGED_OVER.0 as f64).exp();
        let per_ms = self.decayed(now) / (AVERAGED_OVER.0 as f64 * seen);
        Tokens((per_ms * span.0 as f64) as u64)
    }
}
