//! The operator's configuration in the platform's store: which version of it was read last, and
//! whether that one is in force.

use berylwheel_config::Root;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::control::core::Control;
use crate::forward::OperatorConfig;
use crate::metrics::Metrics;

/// Interval of the lines that tell that the configuration in the store is not in force.
const REPORT_INTERVAL: Millis = Millis(10_000);
/// Maximum number of repairs of one version that are logged.
const LOGGED_REPAIRS: usize = 20;
/// Maximum length of a logged repair, in characters.
const REPAIR_LENGTH: usize = 200;

/// Time without an answer about the operator's keys from which on it is logged. Watches end within 2 s
/// if nothing changes.
const SILENCE_LIMIT: Millis = Millis(3_000);

/// What was read last of the operator's configuration, as shown by the admin interface.
#[derive(Debug, Default, Serialize)]
pub(crate) struct ExternalConfig {
    /// Newest version that was read.
    newest: Option<Version>,
    /// Number of values of that version that are not served as they are written.
    repairs: usize,
    unreadable: Option<UnreadableConfig>,
    /// When all that the store had of the operator's keys was last applied.
    current_at: Option<Timestamp>,
}

/// A configuration that is in the store and cannot be decoded.
#[derive(Debug, Serialize)]
struct UnreadableConfig {
    /// Revision of the store entry.
    revision: u64,
    since: Timestamp,
    reported_at: Timestamp,
}

impl ExternalConfig {
    /// Notes that all that the store had at `at` is applied.
    pub(crate) fn keys_current(&mut self, at: Timestamp) {
        let before = self.current_at.replace(at);
        if let Some(gap) = before.map(|before| at.since(before)).filter(|gap| *gap > SILENCE_LIMIT)
        {
            log::warn!(ms = gap.0; "the operator's keys were not confirmed for some time");
        }
    }

    /// Returns the time since the configuration was last known to be current.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Millis> {
        self.current_at.map(|at| now.since(at))
    }

    /// Returns the state for operators.
    pub(crate) fn dump(&self, now: Timestamp) -> Value {
        let mut dump = json!(self);
        dump["age_ms"] = json!(self.age(now).map(|age| age.0));
        dump
    }

    /// Notes that a version was read, and reports what of it is not served as it is written.
    fn version_read(&mut self, config: &OperatorConfig, metrics: &Metrics) {
        self.unreadable = None;
        if self.newest >= Some(config.version) {
            return;
        }
        self.newest = Some(config.version);
        self.repairs = config.repairs.len();
        metrics.record_newest_version(config.version);
        metrics.count_repairs(config.repairs.len());
        for repair in config.repairs.iter().take(LOGGED_REPAIRS) {
            let repair: String = repair.chars().take(REPAIR_LENGTH).collect();
            log::warn!(version = config.version.0; "not served as written: {repair}");
        }
        if config.repairs.len() > LOGGED_REPAIRS {
            let more = config.repairs.len() - LOGGED_REPAIRS;
            log::warn!(version = config.version.0, more; "further values not served as written");
        }
    }

    /// Notes that the configuration in the store cannot be decoded.
    fn read_failed(&mut self, now: Timestamp, revision: u64, metrics: &Metrics) {
        if self.unreadable.as_ref().is_some_and(|unreadable| unreadable.revision == revision) {
            return;
        }
        metrics.count_unreadable_configuration();
        let since = self.unreadable.as_ref().map_or(now, |unreadable| unreadable.since);
        self.unreadable = Some(UnreadableConfig { revision, since, reported_at: now });
    }

    /// Reports at intervals that the configuration in the store is not in force.
    fn report(&mut self, now: Timestamp, version: Version) {
        let Some(unreadable) = &mut self.unreadable else { return };
        if now.since(unreadable.reported_at) < REPORT_INTERVAL {
            return;
        }
        unreadable.reported_at = now;
        log::error!(
            revision = unreadable.revision, in_force = version.0,
            ms = now.since(unreadable.since).0; "the configuration in the store is not in force"
        );
    }
}

impl Control {
    /// Applies a configuration that the operator keeps in the platform's store.
    pub(super) fn apply_external_config(&mut self, now: Timestamp, config: OperatorConfig) {
        self.external_config.version_read(&config, &self.effects.metrics);
        let OperatorConfig { version, settings, .. } = config;
        match Root::from_external(version, &settings) {
            Ok((root, parts)) => self.fleet.config.apply_external(now, root, parts, settings),
            Err(error) => log::error!(version = version.0; "configuration rejected: {error}"),
        }
        self.drive_config(now);
    }

    /// Handles a configuration in the platform's store that cannot be decoded. The version in force
    /// stays.
    pub(super) fn handle_unreadable_config(&mut self, now: Timestamp, revision: u64) {
        self.external_config.read_failed(now, revision, &self.effects.metrics);
    }

    pub(super) fn report_external_config(&mut self, now: Timestamp) {
        self.external_config.report(now, self.version);
    }
}
