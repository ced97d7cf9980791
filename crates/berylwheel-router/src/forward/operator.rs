//! What the operator's keys in the platform's store say: the configuration and the evacuated failure
//! domains. The keys are read elsewhere.

use std::sync::Arc;

use berylwheel_store::Entry;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastSet;

use crate::control::event::Event;
use crate::forward::Platform;
use crate::forward::watch::shorten;

/// The operator's keys as they were last read.
pub(crate) struct OperatorKeys {
    platform: Arc<dyn Platform>,
    evacuated: FastSet<FailureDomain>,
    /// Store revision of the configuration that was last applied.
    applied: Option<u64>,
}

impl OperatorKeys {
    /// Returns the state before the first read.
    pub(crate) fn new(platform: Arc<dyn Platform>) -> Self {
        Self { platform, evacuated: FastSet::default(), applied: None }
    }

    /// Forgets the revisions that were applied, since the store gives them out again.
    pub(crate) fn forget_revisions(&mut self) {
        self.applied = self.applied.map(|_| 0);
    }

    /// Returns whether a configuration was read.
    pub(crate) fn has_configuration(&self) -> bool {
        self.applied.is_some()
    }

    /// Applies a complete read, which replaces the evacuated domains. Their event comes first, so
    /// that nothing is served by a new configuration before they are known.
    pub(crate) fn apply_read(&mut self, entries: &[Entry]) -> Vec<Event> {
        let existing = entries.iter().filter(|entry| !entry.deleted);
        let domains = existing.filter_map(|entry| self.platform.evacuated_domain(&entry.key));
        self.evacuated = domains.collect();
        let mut events = vec![Event::DomainsEvacuated(self.evacuated.clone())];
        events.extend(self.newest_configuration(entries));
        events
    }

    /// Applies the changes that a watch returned, in their order.
    pub(crate) fn apply_changes(&mut self, changes: &[Entry]) -> Vec<Event> {
        let mut has_changed = false;
        for change in changes {
            let Some(domain) = self.platform.evacuated_domain(&change.key) else { continue };
            has_changed |= match change.deleted {
                true => self.evacuated.remove(&domain),
                false => self.evacuated.insert(domain),
            };
        }
        let set = has_changed.then(|| Event::DomainsEvacuated(self.evacuated.clone()));
        let mut events: Vec<Event> = set.into_iter().collect();
        events.extend(self.newest_configuration(changes));
        events
    }

    /// Returns the event of the last configuration among `entries`, unless it was applied before.
    fn newest_configuration(&mut self, entries: &[Entry]) -> Option<Event> {
        let key = self.platform.configuration_key();
        let newest = entries.iter().rfind(|entry| entry.key == key && !entry.deleted)?;
        if self.applied == Some(newest.revision) {
            return None;
        }
        self.applied = Some(newest.revision);
        match self.platform.decode_configuration(&newest.value) {
            Ok(config) => Some(Event::ExternalConfigRead(Box::new(config))),
            Err(error) => {
                let error = shorten(&error);
                log::error!(revision = newest.revision; "configuration not in force: {error}");
                Some(Event::ExternalConfigUnreadable(newest.revision))
            }
        }
    }
}
