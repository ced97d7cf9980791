//! Evacuation of failure domains: their servers get nothing new until the evacuation is revoked.

use berylwheel_types::FailureDomain;
use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use serde::Serialize;

use crate::RouteQuery;
use crate::load_balancer::LoadBalancer;
use crate::state::ServerState;

/// How long it is remembered when an evacuation was revoked. Longer than any server takes to warm
/// up; it bounds the number of names that are kept.
const RESTORE_MEMORY: Millis = Millis(3_600_000);

/// The evacuated failure domains.
#[derive(Debug, Default)]
pub(crate) struct Evacuation {
    /// When this router learned of each evacuation in force.
    since: FastMap<FailureDomain, Timestamp>,
    /// When this router learned that an evacuation was revoked.
    restored: FastMap<FailureDomain, Timestamp>,
}

/// The failure domains whose state a call of [`LoadBalancer::set_evacuated`] changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains that are evacuated from now on, sorted.
    pub evacuated: Vec<FailureDomain>,
    /// Domains whose evacuation was revoked, sorted.
    pub restored: Vec<FailureDomain>,
}

/// An evacuated failure domain as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EvacuatedDomain {
    /// The name of the domain.
    pub domain: FailureDomain,
    /// When this router learned of the evacuation.
    pub since: Timestamp,
    /// Number of configured servers in the domain.
    pub servers: usize,
}

impl LoadBalancer {
    /// Replaces the set of evacuated failure domains, and returns the domains whose state changed.
    ///
    /// Servers of an evacuated domain belong to no subset, so they get no requests and no probes,
    /// and do not count for the ejection limits. Requests that run there stay counted until they
    /// end. When an evacuation is revoked, the servers count as cold for the time of their pool and go
    /// through slow start.
    ///
    /// ```
    /// use berylwheel_route::{Availability, LoadBalancer, RoutePolicy, RouteQuery, Server};
    /// use berylwheel_types::{FastSet, Timestamp, Tokens};
    /// let now = Timestamp::from_millis(0);
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// balancer.set_servers(now, vec![Server {
    ///     id: "s1".parse().unwrap(),
    ///     address: "127.0.0.1:9000".parse().unwrap(),
    ///     kinds: vec!["stock".parse().unwrap()],
    ///     models: vec![],
    ///     concurrency: 1,
    ///     domain: "d1".parse().unwrap(),
    /// }]);
    /// let query = RouteQuery {
    ///     kind: "stock".parse().unwrap(),
    ///     model: None,
    ///     prefix: 0,
    ///     exclude: vec![],
    ///     prompt_tokens: Tokens::ZERO,
    /// };
    /// let set: FastSet<_> = ["d1".parse().unwrap()].into_iter().collect();
    /// assert_eq!(balancer.set_evacuated(now, set).evacuated.len(), 1);
    /// assert_eq!(balancer.pick(now, &query), None);
    /// assert_eq!(balancer.availability(now, &query), Availability::Evacuated);
    /// balancer.set_evacuated(now, FastSet::default());
    /// assert!(balancer.pick(now, &query).is_some());
    /// ```
    pub fn set_evacuated(
        &mut self,
        now: Timestamp,
        domains: FastSet<FailureDomain>,
    ) -> EvacuationChange {
        self.last_time = now;
        let Evacuation { since, restored } = &mut self.evacuation;
        let added = domains.iter().filter(|domain| !since.contains_key(*domain));
        let removed = since.keys().filter(|domain| !domains.contains(*domain));
        let mut change = EvacuationChange {
            evacuated: added.cloned().collect(),
            restored: removed.cloned().collect(),
        };
        if change == EvacuationChange::default() {
            return change;
        }
        change.evacuated.sort_unstable();
        change.restored.sort_unstable();
        since.retain(|domain, _| domains.contains(domain));
        restored.retain(|_, at| now.since(*at) < RESTORE_MEMORY);
        for domain in &change.evacuated {
            since.insert(domain.clone(), now);
            restored.remove(domain);
        }
        restored.extend(change.restored.iter().map(|domain| (domain.clone(), now)));
        for state in self.states.values_mut() {
            if change.restored.contains(&state.server.domain) {
                state.start_time = Some(now);
            }
        }
        for domain in &change.restored {
            self.mark_domain_cold(now, domain);
        }
        self.update_subsets();
        self.limit_ejections(now);
        change
    }

    /// Returns whether a failure domain is evacuated.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// let balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// assert!(!balancer.is_evacuated(&"d1".parse().unwrap()));
    /// ```
    pub fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.evacuation.since.contains_key(domain)
    }

    /// Returns whether any failure domain is evacuated.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// let balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// assert!(!balancer.has_evacuations());
    /// ```
    pub fn has_evacuations(&self) -> bool {
        !self.evacuation.since.is_empty()
    }

    /// Returns when the last evacuation of a failure domain was revoked, unless that was more than
    /// an hour ago or the domain is evacuated again. Its servers may be cold since then.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// use berylwheel_types::{FailureDomain, FastSet, Timestamp};
    /// let at = Timestamp::from_millis;
    /// let domain: FailureDomain = "d1".parse().unwrap();
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// balancer.set_evacuated(at(0), [domain.clone()].into_iter().collect());
    /// assert_eq!(balancer.restored_at(at(5), &domain), None);
    /// balancer.set_evacuated(at(9), FastSet::default());
    /// assert_eq!(balancer.restored_at(at(10), &domain), Some(at(9)));
    /// ```
    pub fn restored_at(&self, now: Timestamp, domain: &FailureDomain) -> Option<Timestamp> {
        let at = self.evacuation.restored.get(domain).copied();
        at.filter(|at| now.since(*at) < RESTORE_MEMORY)
    }

    /// Returns the evacuated domains, sorted by name.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// use berylwheel_types::Timestamp;
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let now = Timestamp::from_millis(0);
    /// balancer.set_evacuated(now, ["d1".parse().unwrap()].into_iter().collect());
    /// assert_eq!(balancer.evacuated_domains()[0].servers, 0);
    /// ```
    pub fn evacuated_domains(&self) -> Vec<EvacuatedDomain> {
        let servers = |domain: &FailureDomain| {
            self.states.values().filter(|s| s.present && s.server.domain == *domain).count()
        };
        let evacuated = self.evacuation.since.iter().map(|(domain, since)| EvacuatedDomain {
            domain: domain.clone(),
            since: *since,
            servers: servers(domain),
        });
        let mut evacuated: Vec<EvacuatedDomain> = evacuated.collect();
        evacuated.sort_unstable_by(|a, b| a.domain.cmp(&b.domain));
        evacuated
    }

    /// Returns whether the request has servers and all of them are in evacuated domains. Servers
    /// that leave do not count.
    pub(crate) fn is_served_by_evacuated(&self, query: &RouteQuery) -> bool {
        if !self.has_evacuations() {
            return false;
        }
        let is_counted = |state: &&ServerState| {
            state.present
                && state.supports(query)
                && !query.exclude.contains(&state.server.id)
                && !self.is_leaving(&state.server.id)
        };
        let mut counted = self.states.values().filter(is_counted).peekable();
        counted.peek().is_some() && counted.all(|state| self.is_evacuated(&state.server.domain))
    }
}
