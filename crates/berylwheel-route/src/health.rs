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
    ejection_end: Option<Timestamp>,
}

impl Health {
    /// Records the outcome of a request and returns whether the server should be ejected.
    ///
    /// Outcomes during an ejection are ignored: those requests were sent before it began.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        outcome: Outcome,
        policy: &RoutePolicy,
    ) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        match outcome {
            Outcome::Ok => self.failures = 0,
            Outcome::Failed | Outcome::TimedOut => self.failures += 1,
            Outcome::Misdirected | Outcome::Cancelled => return false,
        }
        self.failures >= policy.eject_after
    }

    /// Ejects the server for twice as long as the last time, up to the limit. Starts again from the
    /// base duration if the server was in use for at least the limit since its last ejection.
    pub fn eject(&mut self, now: Timestamp, policy: &RoutePolicy) {
        if self.ejection_end.is_none_or(|end| now.since(end) >= policy.eject_limit) {
            self.ejections = 0;
        }
        let factor = 1_u64.checked_shl(self.ejections).unwrap_or(u64::MAX);
        let duration = policy.eject_base.0.saturating_mul(factor).min(policy.eject_limit.0);
        self.ejection_end = Some(now + Millis(duration));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Ends an ejection early.
    pub fn readmit(&mut self, now: Timestamp) {
        if self.is_ejected(now) {
            self.ejection_end = Some(now);
        }
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejection_end.is_some_and(|end| now < end)
    }

    /// Returns the end of the current or last ejection.
    pub fn ejection_end(&self) -> Option<Timestamp> {
        self.ejection_end
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
