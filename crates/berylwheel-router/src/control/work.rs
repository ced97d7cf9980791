//! What the control thread has done since its start, for operators.

use std::collections::BTreeMap;

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::control::core::Control;

/// Interval between the log lines and metrics about the work of the control thread.
const REPORT_INTERVAL: Millis = Millis(10_000);

/// Work of the control thread, by cause.
#[derive(Debug, Default, Serialize)]
pub(super) struct ControlWork {
    /// Number of times that the thread woke up.
    turns: u64,
    /// Time that these turns took, in microseconds.
    busy_us: u64,
    /// Number of turns in which work was due by time.
    ticks: u64,
    /// The part of `busy_us` that was spent on such work.
    tick_us: u64,
    /// Number of events by their group.
    events: BTreeMap<&'static str, u64>,
    #[serde(skip)]
    reported_at: Timestamp,
}

impl ControlWork {
    pub(super) fn count_event(&mut self, group: &'static str) {
        *self.events.entry(group).or_default() += 1;
    }

    pub(super) fn count_turn(&mut self, busy_us: u64) {
        self.turns += 1;
        self.busy_us += busy_us;
    }

    pub(super) fn count_tick(&mut self, busy_us: u64) {
        self.ticks += 1;
        self.tick_us += busy_us;
    }

    fn is_report_due(&mut self, now: Timestamp) -> bool {
        if self.reported_at == Timestamp::default() {
            self.reported_at = now;
        }
        let due = now.since(self.reported_at) >= REPORT_INTERVAL;
        if due {
            self.reported_at = now;
        }
        due
    }
}

impl Control {
    /// Returns the work since the start, by cause.
    pub(super) fn work_dump(&self) -> Value {
        let link = self.fleet.link.as_ref();
        json!({
            "control": self.work,
            "visits": self.visits(),
            "store_calls": self.effects.guard.calls(),
            "messages": link.map(|link| link.kinds()),
            "handshakes_in": link.map(|link| link.stats().handshakes_in),
        })
    }

    /// Number of entries of other routers examined since the start. A value that grows faster in a
    /// larger fleet without requests means that a frequent operation goes through all routers.
    pub(super) fn visits(&self) -> u64 {
        self.fleet.visits() + self.holder.visits()
    }

    /// Logs the work since the start at intervals, and sends it as metrics.
    pub(super) fn report_work(&mut self, now: Timestamp) {
        if !self.work.is_report_due(now) {
            return;
        }
        let calls: u64 = self.effects.guard.calls().values().sum();
        let link = self.fleet.link.as_ref().map(|link| link.stats()).unwrap_or_default();
        log::info!(work:% = self.work_dump(); "work since the start");
        let metrics = &self.effects.metrics;
        let unusable = self.holder.unusable();
        metrics.record_unusable(unusable.iter().map(|grant| grant.tokens.0).sum());
        if let Some(age) = self.external_config.age(now) {
            metrics.record_config_age(age);
        }
        metrics.record_work("turns", self.work.turns);
        metrics.record_work("busy_us", self.work.busy_us);
        metrics.record_work("visits", self.visits());
        metrics.record_work("store_calls", calls);
        metrics.record_work("handshakes_out", link.handshakes_out);
        metrics.record_work("handshakes_in", link.handshakes_in);
        self.report_relay();
    }
}
