//! Failure domains that operators have evacuated, by a key in the platform's store or a setting.

use berylwheel_settings::Settings;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastSet;
use berylwheel_types::Timestamp;

use crate::control::core::Control;

/// The evacuated failure domains by source. The union of both is in force.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    /// Domains named in the platform's store, as last read; `None` before the first read. They stay
    /// in force while the store fails.
    stored: Option<FastSet<FailureDomain>>,
    /// Domains named in the settings.
    configured: FastSet<FailureDomain>,
    /// Whether the backend servers are known, without which no domain has any.
    servers_known: bool,
    /// Evacuated domains without servers that were logged.
    unknown: FastSet<FailureDomain>,
}

impl Evacuations {
    /// Returns whether the platform's store was read.
    pub(super) fn is_read(&self) -> bool {
        self.stored.is_some()
    }
}

impl Control {
    /// Applies the set of evacuated domains in the platform's store.
    pub(super) fn handle_evacuated(&mut self, now: Timestamp, domains: FastSet<FailureDomain>) {
        self.evacuations.stored = Some(domains);
        self.update_evacuations(now);
    }

    /// Applies the evacuated domains in new settings.
    pub(super) fn evacuate_configured(&mut self, now: Timestamp, settings: &Settings) {
        self.evacuations.configured = settings.evacuated_domains().iter().cloned().collect();
        self.update_evacuations(now);
    }

    fn update_evacuations(&mut self, now: Timestamp) {
        let stored = self.evacuations.stored.iter().flatten();
        let domains = stored.chain(&self.evacuations.configured).cloned().collect();
        let change = self.balancer.set_evacuated(now, domains);
        for domain in &change.evacuated {
            log::warn!(domain = domain.as_str(); "failure domain evacuated");
            self.effects.metrics.count_evacuation("evacuated");
        }
        for domain in &change.restored {
            log::warn!(domain = domain.as_str(); "failure domain restored");
            self.effects.metrics.count_evacuation("restored");
        }
        if self.evacuations.servers_known {
            self.report_unknown_domains();
        }
    }

    /// Logs the evacuated domains that have no servers, each once. To be called whenever the backend
    /// servers have changed.
    pub(super) fn report_unknown_domains(&mut self) {
        self.evacuations.servers_known = true;
        if !self.balancer.has_evacuations() && self.evacuations.unknown.is_empty() {
            return;
        }
        let evacuated = self.balancer.evacuated_domains();
        let balancer = &self.balancer;
        self.evacuations.unknown.retain(|domain| balancer.is_evacuated(domain));
        for entry in evacuated.into_iter().filter(|entry| entry.servers == 0) {
            if self.evacuations.unknown.insert(entry.domain.clone()) {
                log::warn!(domain = entry.domain.as_str(); "no server in evacuated failure domain");
            }
        }
    }
}
