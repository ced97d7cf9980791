//! The configuration held by one router, and its synchronization with the store and peers.

use berylwheel_settings::Settings;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use berylwheel_types::VisitCounter;
use berylwheel_types::stable_hash;

use crate::ConfigAction;
use crate::ConfigDump;
use crate::PARTS;
use crate::Part;
use crate::PartDigest;
use crate::PartRef;
use crate::Root;
use crate::SyncPolicy;
use crate::Transaction;
use crate::join;

#[derive(Debug)]
struct ActiveConfig {
    root: Root,
    parts: Vec<Part>,
    settings: Settings,
}

#[derive(Debug, PartialEq, Eq)]
enum Source {
    Store,
    Peer(RouterId),
}

#[derive(Debug)]
struct Fetch {
    source: Source,
    version: Version,
    requested_at: Timestamp,
}

/// The configuration held by one router.
///
/// The version in force never decreases. A router may serve once the store or enough peers have
/// confirmed the version that it holds, and this permission is never revoked.
///
/// ```
/// use berylwheel_config::{ConfigAction, ConfigState, SyncPolicy};
/// use berylwheel_types::Timestamp;
/// let (id, domain) = ("r1".parse().unwrap(), "d1".parse().unwrap());
/// let mut state = ConfigState::new(id, domain, SyncPolicy::default());
/// let actions = state.poll(Timestamp::from_millis(0));
/// assert!(matches!(actions[..], [ConfigAction::ReadRoot]));
/// assert!(!state.may_serve());
/// ```
#[derive(Debug)]
pub struct ConfigState {
    own_id: RouterId,
    domain: FailureDomain,
    policy: SyncPolicy,
    peers: Vec<(RouterId, FailureDomain)>,
    active: Option<ActiveConfig>,
    /// Parts of versions that are not yet complete.
    pending_parts: FastMap<PartRef, Part>,
    fetch: Option<Fetch>,
    /// The version that each peer reported last.
    peer_versions: FastMap<RouterId, Version>,
    /// An upper bound of `peer_versions`.
    newest_reported: Version,
    /// The highest version that each peer reported before this router was confirmed.
    initial_reports: FastMap<RouterId, Version>,
    /// The highest version read from the store.
    stored_version: Option<Version>,
    unreadable_version: Option<Version>,
    confirmed: bool,
    next_read: Timestamp,
    next_ask: Timestamp,
    push_targets: FastSet<RouterId>,
    /// Peers to which a new version is pushed.
    links: Vec<RouterId>,
    actions: Vec<ConfigAction>,
    visits: VisitCounter,
}

impl ConfigState {
    /// Returns the state of a router that has just started.
    pub fn new(own_id: RouterId, domain: FailureDomain, policy: SyncPolicy) -> Self {
        Self {
            own_id,
            domain,
            policy,
            peers: Vec::new(),
            active: None,
            pending_parts: FastMap::default(),
            fetch: None,
            peer_versions: FastMap::default(),
            newest_reported: Version::default(),
            initial_reports: FastMap::default(),
            stored_version: None,
            unreadable_version: None,
            confirmed: false,
            next_read: Timestamp::from_millis(0),
            next_ask: Timestamp::from_millis(0),
            push_targets: FastSet::default(),
            links: Vec::new(),
            actions: Vec::new(),
            visits: VisitCounter::default(),
        }
    }

    /// Returns the number of peer entries examined since the start.
    ///
    /// ```
    /// use berylwheel_config::{ConfigState, SyncPolicy};
    /// let (id, domain) = ("r1".parse().unwrap(), "d1".parse().unwrap());
    /// assert_eq!(ConfigState::new(id, domain, SyncPolicy::default()).visits(), 0);
    /// ```
    pub fn visits(&self) -> u64 {
        self.visits.total()
    }

    /// Sets the other routers, whether they are live or not. Without those that do not answer, this
    /// router would be confirmed by too few answers.
    pub fn set_peers(&mut self, peers: Vec<(RouterId, FailureDomain)>) {
        self.visits.add(peers.len());
        self.peers = peers;
        self.peers.retain(|(id, _)| *id != self.own_id);
    }

    /// Sets the peers with open connections, to some of which a new version is pushed. Without any,
    /// they are chosen among all peers.
    pub fn set_links(&mut self, links: Vec<RouterId>) {
        self.links = links;
    }

    /// Returns the failure domain of this router.
    pub fn domain(&self) -> &FailureDomain {
        &self.domain
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<Version> {
        self.active.as_ref().map(|active| active.root.version)
    }

    /// Returns the root in force.
    pub fn root(&self) -> Option<&Root> {
        self.active.as_ref().map(|active| &active.root)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Option<&Settings> {
        self.active.as_ref().map(|active| &active.settings)
    }

    /// Returns whether this router may serve.
    pub fn may_serve(&self) -> bool {
        self.confirmed
    }

    /// Returns the version to report to peers. It is zero until this router may serve, so that
    /// routers that start together do not confirm each other.
    pub fn advertised_version(&self) -> Version {
        self.version().filter(|_| self.confirmed).unwrap_or_default()
    }

    /// Returns whether this router is one of those that watch the root.
    pub fn should_watch(&self) -> bool {
        let score = |id: &RouterId| stable_hash(&["watch", id.as_str()]);
        let own = score(&self.own_id);
        self.visits.add(self.peers.len());
        let before = self.peers.iter().filter(|(id, _)| score(id) < own).count();
        before < self.policy.watchers
    }

    /// Returns the response to a pull: the root, and the parts whose digests are not in `have`.
    pub fn pull_response(&self, have: &[PartDigest]) -> Option<(Root, Vec<Part>)> {
        let active = self.active.as_ref()?;
        let parts = active.parts.iter().zip(&active.root.parts);
        let parts = parts.filter(|(part, digest)| have.get(part.index as usize) != Some(digest));
        Some((active.root.clone(), parts.map(|(part, _)| part.clone()).collect()))
    }

    /// Returns the actions that are due.
    pub fn poll(&mut self, now: Timestamp) -> Vec<ConfigAction> {
        self.expire_fetch(now);
        self.plan_read(now);
        self.plan_ask(now);
        self.plan_pull(now);
        let version = self.advertised_version();
        let mut pushes: Vec<RouterId> = self.push_targets.drain().collect();
        pushes.sort();
        let pushes = pushes.into_iter().map(|to| ConfigAction::Push { to, version });
        self.actions.drain(..).chain(pushes).collect()
    }

    fn expire_fetch(&mut self, now: Timestamp) {
        let limit = self.policy.fetch_timeout;
        let Some(fetch) = self.fetch.take_if(|fetch| now.since(fetch.requested_at) >= limit) else {
            return;
        };
        match fetch.source {
            Source::Store => self.next_read = now,
            // Another peer is asked. This one is considered again once it reports its version.
            Source::Peer(peer) => drop(self.peer_versions.remove(&peer)),
        }
    }

    fn plan_read(&mut self, now: Timestamp) {
        if now < self.next_read {
            return;
        }
        if !self.confirmed {
            self.next_read = now + self.policy.ask_interval;
            self.actions.push(ConfigAction::ReadRoot);
            return;
        }
        let behind =
            self.stored_version > self.version() && self.stored_version != self.unreadable_version;
        self.next_read = now + self.policy.read_interval;
        // Each router decides independently, with a probability that falls with the size of the
        // fleet, so the total number of reads does not grow with it.
        let tick = now.as_millis() / self.policy.read_interval.0.max(1);
        let draw = stable_hash(&[self.own_id.as_str(), "read", &tick.to_string()]);
        if behind || draw % (self.peers.len() as u64 + 1) < self.policy.readers {
            self.actions.push(ConfigAction::ReadRoot);
        }
    }

    fn plan_ask(&mut self, now: Timestamp) {
        if self.confirmed || now < self.next_ask {
            return;
        }
        self.next_ask = now + self.policy.ask_interval;
        let round = now.as_millis().to_string();
        let asked = self.select_peers(&["ask", &round], self.policy.ask_fanout);
        self.push_targets.extend(asked);
    }

    fn plan_pull(&mut self, now: Timestamp) {
        if self.fetch.is_some() {
            return;
        }
        let known = self.version().max(self.unreadable_version);
        if Some(self.newest_reported) <= known {
            return;
        }
        self.visits.add(self.peer_versions.len());
        let newer = self.peer_versions.iter().filter(|(_, version)| Some(**version) > known);
        let best =
            newer.max_by_key(|(id, v)| (**v, stable_hash(&[self.own_id.as_str(), id.as_str()])));
        let Some((from, version)) = best.map(|(id, version)| (id.clone(), *version)) else {
            self.newest_reported = known.unwrap_or_default();
            return;
        };
        let parts = self.root().map(|root| root.parts.clone()).unwrap_or_default();
        self.fetch = Some(Fetch { source: Source::Peer(from.clone()), version, requested_at: now });
        self.actions.push(ConfigAction::Pull { from, parts });
    }

    /// Returns `count` peers, selected pseudo-randomly by `seed`.
    fn select_peers(&self, seed: &[&str], count: usize) -> Vec<RouterId> {
        self.select(self.peers.iter().map(|(id, _)| id), seed, count)
    }

    fn select<'a>(
        &self,
        peers: impl Iterator<Item = &'a RouterId>,
        seed: &[&str],
        count: usize,
    ) -> Vec<RouterId> {
        let score = |id: &RouterId| {
            let ids: Vec<&str> = [self.own_id.as_str(), id.as_str()].into_iter().collect();
            stable_hash(&[&ids, seed].concat())
        };
        let mut peers: Vec<(u64, &RouterId)> = peers.map(|id| (score(id), id)).collect();
        self.visits.add(peers.len());
        peers.sort();
        peers.into_iter().take(count).map(|(_, id)| id.clone()).collect()
    }

    /// Handles the result of [`ConfigAction::ReadRoot`].
    pub fn handle_root(&mut self, now: Timestamp, root: Option<Root>) {
        let Some(root) = root else {
            return;
        };
        self.stored_version = self.stored_version.max(Some(root.version));
        self.try_confirm();
        if !self.is_newer(root.version) {
            return;
        }
        let missing = self.missing_parts(&root);
        if missing.is_empty() {
            self.handle_parts(now, root, Vec::new());
            return;
        }
        let is_pending =
            |fetch: &Fetch| fetch.source == Source::Store && fetch.version == root.version;
        if !self.fetch.as_ref().is_some_and(is_pending) {
            self.fetch =
                Some(Fetch { source: Source::Store, version: root.version, requested_at: now });
            self.actions.push(ConfigAction::ReadParts(missing));
        }
    }

    /// Handles a failed read from the store.
    pub fn handle_read_failure(&mut self, now: Timestamp) {
        self.fetch.take_if(|fetch| fetch.source == Source::Store);
        self.next_read = self.next_read.max(now + self.policy.ask_interval);
    }

    /// Handles the version that the peer `from` reported in a push or a heartbeat.
    pub fn handle_peer_version(&mut self, _now: Timestamp, from: &RouterId, version: Version) {
        self.peer_versions.insert(from.clone(), version);
        self.newest_reported = self.newest_reported.max(version);
        if !self.confirmed && version > Version(0) {
            let answer = self.initial_reports.entry(from.clone()).or_default();
            *answer = (*answer).max(version);
            self.try_confirm();
        }
        if version < self.advertised_version() {
            self.push_targets.insert(from.clone());
        }
    }

    /// Handles a root and some of its parts, received from the store or a peer.
    pub fn handle_parts(&mut self, now: Timestamp, root: Root, parts: Vec<Part>) {
        self.fetch.take_if(|fetch| fetch.version <= root.version);
        if !self.is_newer(root.version) || root.parts.len() != PARTS as usize {
            return;
        }
        self.pending_parts.extend(parts.into_iter().map(|part| (part.part_ref(), part)));
        if !self.missing_parts(&root).is_empty() {
            // The received parts belong to another version; the missing ones are requested again.
            let wanted: FastSet<PartRef> = root.part_refs().into_iter().collect();
            self.pending_parts.retain(|part, _| wanted.contains(part));
            return;
        }
        let parts: Vec<Part> =
            root.part_refs().iter().filter_map(|part| self.find_part(part).cloned()).collect();
        match join(&parts) {
            Ok(settings) => self.apply(now, ActiveConfig { root, parts, settings }),
            Err(errors) => {
                self.unreadable_version = Some(root.version);
                self.actions.push(ConfigAction::Unreadable(root.version, errors));
            }
        }
    }

    /// Applies settings that are maintained in the platform's store, with the root and parts built
    /// from them.
    pub fn apply_external(
        &mut self,
        now: Timestamp,
        root: Root,
        parts: Vec<Part>,
        settings: Settings,
    ) {
        self.stored_version = self.stored_version.max(Some(root.version));
        self.fetch.take_if(|fetch| fetch.version <= root.version);
        if self.is_newer(root.version) {
            self.apply(now, ActiveConfig { root, parts, settings });
        }
        self.try_confirm();
    }

    /// Applies a change that this router has just committed to the store.
    pub fn apply_committed(&mut self, now: Timestamp, change: &Transaction) {
        self.stored_version = self.stored_version.max(Some(change.root.version));
        self.handle_parts(now, change.root.clone(), change.parts.clone());
    }

    /// Returns the state for the admin interface.
    pub fn dump(&self) -> ConfigDump {
        let mut peers: Vec<_> = self.peer_versions.iter().map(|(id, v)| (id.clone(), *v)).collect();
        peers.sort();
        ConfigDump {
            version: self.version(),
            serving: self.confirmed,
            unreadable: self.unreadable_version,
            peers,
        }
    }

    fn apply(&mut self, _now: Timestamp, active: ActiveConfig) {
        let version = active.root.version;
        self.actions.push(ConfigAction::Apply(version, active.settings.clone()));
        self.active = Some(active);
        self.pending_parts.clear();
        self.try_confirm();
        if self.confirmed {
            let seed = ["push", &version.to_string()];
            let targets = match self.links.is_empty() {
                true => self.select_peers(&seed, self.policy.push_fanout),
                false => self.select(self.links.iter(), &seed, self.policy.push_fanout),
            };
            self.push_targets.extend(targets);
        }
    }

    /// Returns whether `version` is newer than the one in force and not known to be unreadable.
    fn is_newer(&self, version: Version) -> bool {
        Some(version) > self.version() && Some(version) != self.unreadable_version
    }

    fn find_part(&self, part: &PartRef) -> Option<&Part> {
        let index = part.index as usize;
        let active = self
            .active
            .as_ref()
            .filter(|active| active.root.parts.get(index) == Some(&part.digest));
        active.and_then(|active| active.parts.get(index)).or_else(|| self.pending_parts.get(part))
    }

    fn missing_parts(&self, root: &Root) -> Vec<PartRef> {
        root.part_refs().into_iter().filter(|part| self.find_part(part).is_none()).collect()
    }

    /// Allows this router to serve if the version that it holds is at least as new as the one in
    /// the store, or as all versions reported by peers, provided that peers of two failure domains
    /// or all peers have reported theirs.
    fn try_confirm(&mut self) {
        let Some(version) = self.version().filter(|_| !self.confirmed) else {
            return;
        };
        self.visits.add(self.peers.len());
        let stored = self.stored_version.is_some_and(|stored| version >= stored);
        let up_to_date =
            self.initial_reports.values().max().is_none_or(|newest| version >= *newest);
        let answered = || self.peers.iter().filter(|(id, _)| self.initial_reports.contains_key(id));
        let domains: FastSet<&FailureDomain> = answered().map(|(_, domain)| domain).collect();
        let all_answered = !self.peers.is_empty() && answered().count() == self.peers.len();
        self.confirmed = stored || (up_to_date && (domains.len() >= 2 || all_answered));
    }
}
