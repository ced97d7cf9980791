//! Estimates of rates and means that forget old samples.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

/// A sum in which a sample loses weight with its age.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayedSum {
    sum: f64,
    at: Timestamp,
}

impl DecayedSum {
    pub(crate) fn new() -> Self {
        Self { sum: 0.0, at: Timestamp::from_millis(0) }
    }

    pub(crate) fn value(&self, now: Timestamp, window: Millis) -> f64 {
        let age = now.since(self.at).0 as f64;
        self.sum * (-age / window.0.max(1) as f64).exp()
    }

    /// Adds `amount`, or takes it off as far as the sum reaches.
    pub(crate) fn add(&mut self, now: Timestamp, window: Millis, amount: f64) {
        self.sum = (self.value(now, window) + amount).max(0.0);
        self.at = self.at.max(now);
    }
}

/// Window of the service rate. Two seconds follow a change of load within a few deadlines and
/// still average over tens of starts.
const RATE_WINDOW: Millis = Millis(2_000);

/// Shortest time with work waiting from which a rate is estimated, in milliseconds.
const LEAST_BUSY_MS: f64 = 250.0;

/// Tokens started per millisecond while work was waiting.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceRate {
    tokens: DecayedSum,
    busy: DecayedSum,
    seen: Timestamp,
}

impl ServiceRate {
    pub(crate) fn new() -> Self {
        let zero = DecayedSum::new();
        Self { tokens: zero, busy: zero, seen: Timestamp::from_millis(0) }
    }

    /// Accounts for the time since the last call, during which work was `waiting` or not.
    pub(crate) fn advance(&mut self, now: Timestamp, waiting: bool) {
        if waiting {
            // The time between two calls loses weight with its age like any sample, so that the
            // sum never exceeds the window however rarely the caller's timer runs.
            let window = RATE_WINDOW.0 as f64;
            let weighted = window * -(-(now.since(self.seen).0 as f64) / window).exp_m1();
            self.busy.add(now, RATE_WINDOW, weighted);
        }
        self.seen = self.seen.max(now);
    }

    /// Counts work that had to wait before it started.
    pub(crate) fn started(&mut self, now: Timestamp, tokens: f64) {
        self.tokens.add(now, RATE_WINDOW, tokens);
    }

    /// Returns tokens per millisecond, `None` while there is too little to judge by.
    pub(crate) fn rate(&self, now: Timestamp) -> Option<f64> {
        let busy = self.busy.value(now, RATE_WINDOW);
        if busy < LEAST_BUSY_MS {
            return None;
        }
        Some(self.tokens.value(now, RATE_WINDOW) / busy)
    }
}

/// Weight of a new sample in a [`Mean`]. A tenth averages over some twenty requests.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An exponentially weighted mean.
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

    pub(crate) fn or(&self, default: f64) -> f64 {
        self.0.unwrap_or(default)
    }
}
