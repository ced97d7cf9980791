//! Estimators that give less weight to older samples.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

/// A sum whose samples decay exponentially with age.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayedSum {
    sum: f64,
    updated_at: Timestamp,
}

impl DecayedSum {
    pub(crate) fn new() -> Self {
        Self { sum: 0.0, updated_at: Timestamp::from_millis(0) }
    }

    pub(crate) fn value(&self, now: Timestamp, window: Millis) -> f64 {
        let age = now.since(self.updated_at).0 as f64;
        self.sum * (-age / window.0.max(1) as f64).exp()
    }

    /// Adds `amount`, which may be negative. The sum never falls below zero.
    pub(crate) fn add(&mut self, now: Timestamp, window: Millis, amount: f64) {
        self.sum = (self.value(now, window) + amount).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Time constant of the service rate. Two seconds adapt to load changes within a few request
/// deadlines, and still average over tens of starts.
const RATE_WINDOW: Millis = Millis(2_000);

/// Minimum time with a nonempty queue before a rate is estimated.
const MIN_BUSY_MS: f64 = 250.0;

/// Rate of tokens started per millisecond while the queue was not empty.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceRate {
    tokens: DecayedSum,
    busy_ms: DecayedSum,
    advanced_at: Timestamp,
}

impl ServiceRate {
    pub(crate) fn new() -> Self {
        let zero = DecayedSum::new();
        Self { tokens: zero, busy_ms: zero, advanced_at: Timestamp::from_millis(0) }
    }

    /// Accounts for the time since the last call. `waiting` is set if the queue was not empty.
    pub(crate) fn advance(&mut self, now: Timestamp, waiting: bool) {
        if waiting {
            // The interval since the last call decays like any other sample. The sum therefore
            // never exceeds the window, however rarely this is called.
            let window = RATE_WINDOW.0 as f64;
            let decayed = window * -(-(now.since(self.advanced_at).0 as f64) / window).exp_m1();
            self.busy_ms.add(now, RATE_WINDOW, decayed);
        }
        self.advanced_at = self.advanced_at.max(now);
    }

    /// Records the start of a request that had waited in the queue.
    pub(crate) fn record_start(&mut self, now: Timestamp, tokens: f64) {
        self.tokens.add(now, RATE_WINDOW, tokens);
    }

    /// Returns the rate in tokens per millisecond, or `None` if there are too few samples.
    pub(crate) fn tokens_per_ms(&self, now: Timestamp) -> Option<f64> {
        let busy_ms = self.busy_ms.value(now, RATE_WINDOW);
        if busy_ms < MIN_BUSY_MS {
            return None;
        }
        Some(self.tokens.value(now, RATE_WINDOW) / busy_ms)
    }
}

/// Weight of a new sample in a [`Mean`]. A weight of 0.1 averages over about 20 requests.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Mean(Option<f64>);

impl Mean {
    pub(crate) const fn new() -> Self {
        Self(None)
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.0 = Some(match self.0 {
            Some(mean) => mean + SAMPLE_WEIGHT * (sample - mean),
            None => sample,
        });
    }

    pub(crate) fn value_or(&self, default: f64) -> f64 {
        self.0.unwrap_or(default)
    }
}
