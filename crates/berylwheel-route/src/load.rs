//! Load estimate for one server, from this router's own request count and the server's delayed load
//! reports.

use std::collections::VecDeque;

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use crate::LoadReport;
use crate::RoutePolicy;

/// Minimum interval between history entries; closer changes are merged into one.
const HISTORY_STEP: Millis = Millis(20);

/// Maximum number of history entries. At one entry per `HISTORY_STEP` they cover at least 10 s.
const HISTORY_LIMIT: usize = 512;

/// This router's in-flight count with its recent history, and the load from other routers according
/// to the last report.
#[derive(Debug, Default)]
pub(crate) struct Load {
    own_count: u32,
    history: VecDeque<(Timestamp, u32)>,
    report: Option<(Timestamp, u32)>,
}

impl Load {
    /// Returns the number of in-flight requests from this router.
    pub fn own_count(&self) -> u32 {
        self.own_count
    }

    /// Records the start of a request.
    pub fn request_started(&mut self, now: Timestamp) {
        self.set_own_count(now, self.own_count + 1);
    }

    /// Records the end of a request. The count never goes below zero.
    pub fn request_ended(&mut self, now: Timestamp) {
        self.set_own_count(now, self.own_count.saturating_sub(1));
    }

    fn set_own_count(&mut self, now: Timestamp, count: u32) {
        self.own_count = count;
        match self.history.back_mut() {
            Some((at, last)) if now.since(*at) < HISTORY_STEP => *last = count,
            _ => self.history.push_back((now, count)),
        }
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    /// Records a load report and returns whether it is newer than the last one.
    ///
    /// The server's count includes this router's requests at the time of the report, so these are
    /// subtracted; the remainder is the load from other routers.
    pub fn record_report(&mut self, now: Timestamp, report: &LoadReport) -> bool {
        let at = report.at.min(now);
        if self.report.is_some_and(|(last, _)| at <= last) {
            return false;
        }
        let total = report.in_flight.saturating_add(report.queued);
        self.report = Some((at, total.saturating_sub(self.own_count_at(at))));
        true
    }

    /// Returns the number of requests from this router that were in flight at `at`, or at the start
    /// of the history if that is later.
    fn own_count_at(&self, at: Timestamp) -> u32 {
        let after = self.history.partition_point(|(time, _)| *time <= at);
        match after.checked_sub(1).and_then(|i| self.history.get(i)) {
            Some((_, count)) => *count,
            None if self.history.len() == HISTORY_LIMIT => self.history[0].1,
            None => 0,
        }
    }

    /// Returns the number of requests from other routers, if the last report is at most `limit`
    /// old.
    pub fn others(&self, now: Timestamp, limit: Millis) -> Option<u32> {
        self.report.filter(|(at, _)| now.since(*at) <= limit).map(|(_, others)| others)
    }

    /// Returns an estimate of the number of requests from other routers, given its `mean` over the
    /// eligible servers.
    ///
    /// All routers that follow the same old report would send their requests to the same server, so
    /// a report's weight decays with its age. A server without a recent report is estimated at the
    /// mean rather than as idle, since otherwise a server that stops reporting would attract all
    /// requests.
    pub fn estimate_others(&self, now: Timestamp, policy: &RoutePolicy, mean: f64) -> f64 {
        let Some(others) = self.others(now, policy.report_expiry) else { return mean };
        let age = self.report_age(now).unwrap_or_default().0 as f64;
        let weight = (-age / policy.report_decay.0.max(1) as f64).exp();
        mean + (f64::from(others) - mean) * weight
    }

    /// Returns the age of the last report.
    pub fn report_age(&self, now: Timestamp) -> Option<Millis> {
        self.report.map(|(at, _)| now.since(at))
    }

    /// Returns whether a request is due to bring a new report: none of this router runs at the
    /// server, and the last report is at least `age` old.
    ///
    /// Servers report their load with their responses. A router without requests at any server
    /// would otherwise follow reports of full servers until they expire.
    pub fn needs_new_report(&self, now: Timestamp, age: Millis) -> bool {
        self.own_count == 0 && self.report_age(now).is_none_or(|last| last >= age)
    }

    /// Discards the last report, for use after a restart of the server.
    pub fn clear_report(&mut self) {
        self.report = None;
    }
}
