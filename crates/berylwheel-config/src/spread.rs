//! The configuration held by one router, and its synchronization with the store and peers.

use berylwheel_settings::Settings;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use berylwheel_types::stable_hash;

use crate::ConfigAction;
use crate::ConfigDump;
use crate::PARTS;
use crate::Part;
use crate::PartDigest;
use crate::PartRef;
use crate::Root;
use crate::SpreadPolicy;
use crate::Transaction;
use crate::join;

#[derive(Debug)]
struct Held {
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
    asked: Timestamp,
}

/// The configuration held by one router.
///
/// The version in force never decreases. A router may serve once the store or enough peers have
/// confirmed the version that it holds, and this permission is never revoked.
///
/// ```
/// use berylwheel_config::{ConfigAction, ConfigState, SpreadPolicy};
/// use berylwheel_types::Timestamp;
/// let (me, domain) = ("r1".parse().unwrap(), "d1".parse().unwrap());
/// let mut state = ConfigState::new(me, domain, SpreadPolicy::default());
/// let actions = state.poll(Timestamp::from_millis(0));
/// assert!(matches!(actions[..], [ConfigAction::ReadRoot]));
/// assert!(!state.may_serve());
/// ```
#[derive(Debug)]
pub struct ConfigState {
    me: RouterId,
    domain: FailureDomain,
    policy: SpreadPolicy,
    peers: Vec<(RouterId, FailureDomain)>,
    held: Option<Held>,
    /// Parts of versions that are not yet complete.
    spare: FastMap<PartRef, Part>,
    fetch: Option<Fetch>,
    /// The version that each peer reported last.
    heard: FastMap<RouterId, Version>,
    /// The highest version that each peer reported before this router was confirmed.
    answers: FastMap<RouterId, Version>,
    /// The highest version read from the store.
    stored: Option<Version>,
    unreadable: Option<Version>,
    confirmed: bool,
    next_read: Timestamp,
    next_ask: Timestamp,
    pushes: FastSet<RouterId>,
    actions: Vec<ConfigAction>,
}

impl ConfigState {
    /// Returns the state of a router that has just started.
    pub fn new(me: RouterId, domain: FailureDomain, policy: SpreadPolicy) -> Self {
        Self {
            me,
            domain,
            policy,
            peers: Vec::new(),
            held: None,
            spare: FastMap::default(),
            fetch: None,
            heard: FastMap::default(),
            answers: FastMap::default(),
            stored: None,
            unreadable: None,
            confirmed: false,
            next_read: Timestamp::from_millis(0),
            next_ask: Timestamp::from_millis(0),
            pushes: FastSet::default(),
            actions: Vec::new(),
        }
    }

    /// Sets the other routers, whether they are live or not. Without those that do not answer, this
    /// router would be confirmed by too few answers.
    pub fn set_peers(&mut self, peers: Vec<(RouterId, FailureDomain)>) {
        self.peers = peers;
        self.peers.retain(|(id, _)| *id != self.me);
    }

    /// Returns the failure domain of this router.
    pub fn domain(&self) -> &FailureDomain {
        &self.domain
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<Version> {
        self.held.as_ref().map(|held| held.root.version)
    }

    /// Returns the root in force.
    pub fn root(&self) -> Option<&Root> {
        self.held.as_ref().map(|held| &held.root)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Option<&Settings> {
        self.held.as_ref().map(|held| &held.settings)
    }

    /// Returns whether this router may serve.
    pub fn may_serve(&self) -> bool {
        self.confirmed
    }

    /// Returns the version to report to peers. It is zero until this router may serve, so that
    /// routers that start together do not confirm each other.
    pub fn advertised(&self) -> Version {
        self.version().filter(|_| self.confirmed).unwrap_or_default()
    }

    /// Returns whether this router is one of those that watch the root.
    pub fn should_watch(&self) -> bool {
        let score = |id: &RouterId| stable_hash(&["watch", id.as_str()]);
        let own = score(&self.me);
        let before = self.peers.iter().filter(|(id, _)| score(id) < own).count();
        before < self.policy.watchers
    }

    /// Returns the response to a pull: the root, and the parts whose digests are not in `have`.
    pub fn answer(&self, have: &[PartDigest]) -> Option<(Root, Vec<Part>)> {
        let held = self.held.as_ref()?;
        let parts = held.parts.iter().zip(&held.root.parts);
        let parts = parts.filter(|(part, digest)| have.get(part.index as usize) != Some(digest));
        Some((held.root.clone(), parts.map(|(part, _)| part.clone()).collect()))
    }

    /// Returns the actions that are due.
    pub fn poll(&mut self, now: Timestamp) -> Vec<ConfigAction> {
        self.expire_fetch(now);
        self.plan_read(now);
        self.plan_ask(now);
        self.plan_pull(now);
        let version = self.advertised();
        let mut pushes: Vec<RouterId> = self.pushes.drain().collect();
        pushes.sort();
        let pushes = pushes.into_iter().map(|to| ConfigAction::Push { to, version });
        self.actions.drain(..).chain(pushes).collect()
    }

    fn expire_fetch(&mut self, now: Timestamp) {
        let limit = self.policy.fetch_time;
        let Some(fetch) = self.fetch.take_if(|fetch| now.since(fetch.asked) >= limit) else {
            return;
        };
        match fetch.source {
            Source::Store => self.next_read = now,
            // Another peer is asked. This one is considered again once it reports its version.
            Source::Peer(peer) => drop(self.heard.remove(&peer)),
        }
    }

    fn plan_read(&mut self, now: Timestamp) {
        if now < self.next_read {
            return;
        }
        if !self.confirmed {
            self.next_read = now + self.policy.ask_every;
            self.actions.push(ConfigAction::ReadRoot);
            return;
        }
        let behind = self.stored > self.version() && self.stored != self.unreadable;
        self.next_read = now + self.policy.read_every;
        // Each router decides independently, with a probability that falls with the size of the
        // fleet, so the total number of reads does not grow with it.
        let tick = now.as_millis() / self.policy.read_every.0.max(1);
        let draw = stable_hash(&[self.me.as_str(), "read", &tick.to_string()]);
        if behind || draw % (self.peers.len() as u64 + 1) < self.policy.readers {
            self.actions.push(ConfigAction::ReadRoot);
        }
    }

    fn plan_ask(&mut self, now: Timestamp) {
        if self.confirmed || now < self.next_ask {
            return;
        }
        self.next_ask = now + self.policy.ask_every;
        let round = now.as_millis().to_string();
        let asked = self.choose(&["ask", &round], self.policy.asked);
        self.pushes.extend(asked);
    }

    fn plan_pull(&mut self, now: Timestamp) {
        if self.fetch.is_some() {
            return;
        }
        let known = self.version().max(self.unreadable);
        let newer = self.heard.iter().filter(|(_, version)| Some(**version) > known);
        let best = newer.max_by_key(|(id, v)| (**v, stable_hash(&[self.me.as_str(), id.as_str()])));
        let Some((from, version)) = best.map(|(id, version)| (id.clone(), *version)) else {
            return;
        };
        let parts = self.root().map(|root| root.parts.clone()).unwrap_or_default();
        self.fetch = Some(Fetch { source: Source::Peer(from.clone()), version, asked: now });
        self.actions.push(ConfigAction::Pull { from, parts });
    }

    /// Returns `count` peers, selected pseudo-randomly by `words`.
    fn choose(&self, words: &[&str], count: usize) -> Vec<RouterId> {
        let score = |id: &RouterId| {
            let parts: Vec<&str> = [self.me.as_str(), id.as_str()].into_iter().collect();
            stable_hash(&[&parts, words].concat())
        };
        let mut peers: Vec<(u64, &RouterId)> =
            self.peers.iter().map(|(id, _)| (score(id), id)).collect();
        peers.sort();
        peers.into_iter().take(count).map(|(_, id)| id.clone()).collect()
    }

    /// Handles the result of [`ConfigAction::ReadRoot`].
    pub fn root_read(&mut self, now: Timestamp, root: Option<Root>) {
        let Some(root) = root else {
            return;
        };
        self.stored = self.stored.max(Some(root.version));
        self.confirm();
        if !self.is_news(root.version) {
            return;
        }
        let missing = self.missing(&root);
        if missing.is_empty() {
            self.parts(now, root, Vec::new());
            return;
        }
        let running =
            |fetch: &Fetch| fetch.source == Source::Store && fetch.version == root.version;
        if !self.fetch.as_ref().is_some_and(running) {
            self.fetch = Some(Fetch { source: Source::Store, version: root.version, asked: now });
            self.actions.push(ConfigAction::ReadParts(missing));
        }
    }

    /// Handles a failed read from the store.
    pub fn read_failed(&mut self, now: Timestamp) {
        self.fetch.take_if(|fetch| fetch.source == Source::Store);
        self.next_read = self.next_read.max(now + self.policy.ask_every);
    }

    /// Handles the version that the peer `from` reported in a push or a heartbeat.
    pub fn peer_version(&mut self, _now: Timestamp, from: &RouterId, version: Version) {
        self.heard.insert(from.clone(), version);
        if !self.confirmed && version > Version(0) {
            let answer = self.answers.entry(from.clone()).or_default();
            *answer = (*answer).max(version);
            self.confirm();
        }
        if version < self.advertised() {
            self.pushes.insert(from.clone());
        }
    }

    /// Handles a root and some of its parts, received from the store or a peer.
    pub fn parts(&mut self, now: Timestamp, root: Root, parts: Vec<Part>) {
        self.fetch.take_if(|fetch| fetch.version <= root.version);
        if !self.is_news(root.version) || root.parts.len() != PARTS as usize {
            return;
        }
        self.spare.extend(parts.into_iter().map(|part| (part.reference(), part)));
        if !self.missing(&root).is_empty() {
            // The received parts belong to another version; the missing ones are requested again.
            let wanted: FastSet<PartRef> = root.references().into_iter().collect();
            self.spare.retain(|part, _| wanted.contains(part));
            return;
        }
        let parts: Vec<Part> =
            root.references().iter().filter_map(|part| self.part(part).cloned()).collect();
        match join(&parts) {
            Ok(settings) => self.apply(now, Held { root, parts, settings }),
            Err(errors) => {
                self.unreadable = Some(root.version);
                self.actions.push(ConfigAction::Unreadable(root.version, errors));
            }
        }
    }

    /// Applies settings that are maintained in the platform's store, with the root and parts built
    /// from them.
    pub fn stated(&mut self, now: Timestamp, root: Root, parts: Vec<Part>, settings: Settings) {
        self.stored = self.stored.max(Some(root.version));
        self.fetch.take_if(|fetch| fetch.version <= root.version);
        if self.is_news(root.version) {
            self.apply(now, Held { root, parts, settings });
        }
        self.confirm();
    }

    /// Applies a change that this router has just committed to the store.
    pub fn accepted(&mut self, now: Timestamp, change: &Transaction) {
        self.stored = self.stored.max(Some(change.root.version));
        self.parts(now, change.root.clone(), change.parts.clone());
    }

    /// Returns the state for the admin interface.
    pub fn dump(&self) -> ConfigDump {
        let mut peers: Vec<_> = self.heard.iter().map(|(id, v)| (id.clone(), *v)).collect();
        peers.sort();
        ConfigDump {
            version: self.version(),
            serving: self.confirmed,
            unreadable: self.unreadable,
            peers,
        }
    }

    fn apply(&mut self, _now: Timestamp, held: Held) {
        let version = held.root.version;
        self.actions.push(ConfigAction::Apply(version, held.settings.clone()));
        self.held = Some(held);
        self.spare.clear();
        self.confirm();
        if self.confirmed {
            let chosen = self.choose(&["push", &version.to_string()], self.policy.fanout);
            self.pushes.extend(chosen);
        }
    }

    fn is_news(&self, version: Version) -> bool {
        Some(version) > self.version() && Some(version) != self.unreadable
    }

    fn part(&self, part: &PartRef) -> Option<&Part> {
        let index = part.index as usize;
        let held =
            self.held.as_ref().filter(|held| held.root.parts.get(index) == Some(&part.digest));
        held.and_then(|held| held.parts.get(index)).or_else(|| self.spare.get(part))
    }

    fn missing(&self, root: &Root) -> Vec<PartRef> {
        root.references().into_iter().filter(|part| self.part(part).is_none()).collect()
    }

    /// Allows this router to serve if the version that it holds is at least as new as the one in
    /// the store, or as all versions reported by peers, provided that peers of two failure domains
    /// or all peers have reported theirs.
    fn confirm(&mut self) {
        let Some(version) = self.version().filter(|_| !self.confirmed) else {
            return;
        };
        let stored = self.stored.is_some_and(|stored| version >= stored);
        let newest = self.answers.values().max().is_none_or(|newest| version >= *newest);
        let answered = || self.peers.iter().filter(|(id, _)| self.answers.contains_key(id));
        let domains: FastSet<&FailureDomain> = answered().map(|(_, domain)| domain).collect();
        let all = !self.peers.is_empty() && answered().count() == self.peers.len();
        self.confirmed = stored || (newest && (domains.len() >= 2 || all));
    }
}
