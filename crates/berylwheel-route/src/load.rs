//! Load of one server: own requests, counted, and those of other routers, from lagging reports.

use std::collections::VecDeque;

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use crate::LoadReport;
use crate::RoutePolicy;

/// Changes closer together than this share one entry of the history.
const HISTORY_STEP: Millis = Millis(20);

/// Entries kept, which cover at least 10 s of steady change.
const HISTORY_LIMIT: usize = 512;

/// Own in-flight count, its recent past, and what the last report says of other routers.
#[derive(Debug, Default)]
pub(crate) struct Load {
    own: u32,
    history: VecDeque<(Timestamp, u32)>,
    report: Option<(Timestamp, u32)>,
}

impl Load {
    /// Returns the own requests in flight.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Counts a request that starts.
    pub fn started(&mut self, now: Timestamp) {
        self.set_own(now, self.own + 1);
    }

    /// Counts a request that ends. An end without a start counts nothing.
    pub fn ended(&mut self, now: Timestamp) {
        self.set_own(now, self.own.saturating_sub(1));
    }

    fn set_own(&mut self, now: Timestamp, own: u32) {
        self.own = own;
        match self.history.back_mut() {
            Some((at, count)) if now.since(*at) < HISTORY_STEP => *count = own,
            _ => self.history.push_back((now, own)),
        }
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    /// Takes a report in and returns whether it is newer than the last.
    ///
    /// The server's count includes the own requests of that time, so these are subtracted; what
    /// is left is the work of other routers.
    pub fn report(&mut self, now: Timestamp, report: &LoadReport) -> bool {
        let at = report.at.min(now);
        if self.report.is_some_and(|(last, _)| at <= last) {
            return false;
        }
        let total = report.in_flight.saturating_add(report.queued);
        self.report = Some((at, total.saturating_sub(self.own_at(at))));
        true
    }

    /// Returns the own requests in flight at `at`, or at the start of the history if that is later.
    fn own_at(&self, at: Timestamp) -> u32 {
        let after = self.history.partition_point(|(time, _)| *time <= at);
        match after.checked_sub(1).and_then(|i| self.history.get(i)) {
            Some((_, count)) => *count,
            None if self.history.len() == HISTORY_LIMIT => self.history[0].1,
            None => 0,
        }
    }

    /// Returns the requests of other routers, if a report younger than `limit` says.
    pub fn others(&self, now: Timestamp, limit: Millis) -> Option<u32> {
        self.report.filter(|(at, _)| now.since(*at) <= limit).map(|(_, others)| others)
    }

    /// Returns an estimate of the requests of other routers, where the servers that could be chosen
    /// have `mean` of them.
    ///
    /// All routers see the same old report and send their work to the same server, so a report
    /// counts for less with its age. Without a recent one the server counts as the mean, not as
    /// idle: a server that has stopped reporting would otherwise draw the work.
    pub fn others_estimate(&self, now: Timestamp, policy: &RoutePolicy, mean: f64) -> f64 {
        let Some(others) = self.others(now, policy.report_limit) else { return mean };
        let age = self.report_age(now).unwrap_or_default().0 as f64;
        let weight = (-age / policy.report_fade.0.max(1) as f64).exp();
        mean + (f64::from(others) - mean) * weight
    }

    /// Returns the age of the last report.
    pub fn report_age(&self, now: Timestamp) -> Option<Millis> {
        self.report.map(|(at, _)| now.since(at))
    }

    /// Drops what reports said, as after a restart of the server.
    pub fn forget_reports(&mut self) {
        self.report = None;
    }
}
