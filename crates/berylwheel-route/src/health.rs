//! Failures in a row and ejection of one server.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use crate::Outcome;
use crate::RoutePolicy;

/// Failures of one server and how long it stays out.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Timestamp>,
}

impl Health {
    /// Counts the end of a request and returns whether the server should be ejected.
    ///
    /// Requests that end while the server is out were started before and count no more.
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

    /// Takes the server out, for twice as long as the last time.
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

    /// Returns whether the server is out.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns when the last ejection ends or ended.
    pub fn until(&self) -> Option<Timestamp> {
        self.until
    }

    /// Returns the failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
