//! Consecutive failures and ejection of one server.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use crate::Outcome;
use crate::RoutePolicy;

/// Failure count and ejection state of one server.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Timestamp>,
}

impl Health {
    /// Records the outcome of a request and returns whether the server should be ejected.
    ///
    /// Outcomes during an ejection are ignored: those requests were sent before it began.
    pub fn ended(&mut self, now: Timestamp, outcome: Outcome, policy: &RoutePolicy) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        match outcome {
            Outcome::Ok => self.failures = 0,
            Outcome::Failed | Outcome::TimedOut => self.failures += 1,
            Outcome::Cancelled => return false,
        }
        self.failures >= policy.eject_after
    }

    /// Ejects the server for twice as long as the last time, up to the limit. Starts again from the
    /// base duration if the server was in use for at least the limit since its last ejection.
    pub fn eject(&mut self, now: Timestamp, policy: &RoutePolicy) {
        if self.until.is_none_or(|until| now.since(until) >= policy.eject_limit) {
            self.ejections = 0;
        }
        let factor = 1_u64.checked_shl(self.ejections).unwrap_or(u64::MAX);
        let span = policy.eject_base.0.saturating_mul(factor).min(policy.eject_limit.0);
        self.until = Some(now + Millis(span));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Ends an ejection early.
    pub fn readmit(&mut self, now: Timestamp) {
        if self.is_ejected(now) {
            self.until = Some(now);
        }
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the end of the current or last ejection.
    pub fn until(&self) -> Option<Timestamp> {
        self.until
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
