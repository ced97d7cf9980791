//! Which routers are live, as one router sees it.

use std::net::SocketAddr;

use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use berylwheel_types::stable_hash;
use serde::Serialize;

use crate::Heartbeat;
use crate::MemberEntry;

/// How membership is kept.
#[derive(Debug, Clone, Copy)]
pub struct MemberPolicy {
    /// How often heartbeats are sent.
    pub every: Millis,
    /// How long a router may show no progress before it is suspect.
    pub suspect_after: Millis,
    /// How many peers get a heartbeat each time.
    pub targets: usize,
    /// News of how many other routers a heartbeat carries.
    pub others: usize,
    /// How long the platform's list may lag. A router known for less time than that may be a new
    /// run whose predecessor the list means.
    pub list_lag: Millis,
}

impl Default for MemberPolicy {
    fn default() -> Self {
        Self {
            every: Millis(1_000),
            suspect_after: Millis(5_000),
            targets: 4,
            others: 8,
            list_lag: Millis(60_000),
        }
    }
}

/// What one router takes another one to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It makes progress.
    Live,
    /// It has made no progress for a while. It may be paused or cut off and still spend its grants.
    Suspect,
    /// It is shutting down.
    Leaving,
    /// The platform lists it as gone.
    Gone,
}

/// What the platform's list says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
    /// It does not exist any more.
    Gone,
}

#[derive(Debug)]
struct Member {
    entry: MemberEntry,
    state: MemberState,
    /// When this run was first heard of.
    first: Timestamp,
    /// When it last made progress.
    progress: Timestamp,
    /// In how many more heartbeats to pass this entry on.
    news: u32,
    /// When this router last passed the entry on, in heartbeats sent.
    told: u64,
}

/// The routers that one router knows of.
///
/// A router sends heartbeats to the routers that follow it on a ring, and those watch it. What they
/// find travels in the heartbeats of all. At 340 routers the counters of all do not fit into the
/// heartbeats of five seconds, so a router judges the progress of those only that it should hear
/// from, and takes the word of others for the rest.
#[derive(Debug)]
pub struct Members {
    own: MemberEntry,
    policy: MemberPolicy,
    configured: FastSet<RouterId>,
    members: FastMap<RouterId, Member>,
    /// The runs that a higher incarnation at the same address has replaced.
    replaced: FastSet<Incarnation>,
    /// Routers that should hear from this one out of turn, since they suspect it.
    doubters: FastSet<RouterId>,
    next: Timestamp,
}

impl Members {
    /// Returns the view of a router that has just started and listens to its peers at `address`.
    pub fn new(me: Incarnation, address: SocketAddr, policy: MemberPolicy) -> Self {
        let own = MemberEntry {
            incarnation: me,
            address,
            counter: 0,
            version: Version(0),
            leaving: false,
            suspect: false,
        };
        Self {
            own,
            policy,
            configured: FastSet::default(),
            members: FastMap::default(),
            replaced: FastSet::default(),
            doubters: FastSet::default(),
            next: Timestamp::from_millis(0),
        }
    }

    /// Sets the other routers that the settings name.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = RouterId>) {
        self.configured =
            peers.into_iter().filter(|id| *id != self.own.incarnation.router).collect();
    }

    /// Sets the version that this router serves with.
    pub fn set_version(&mut self, version: Version) {
        self.own.version = version;
    }

    /// Tells the others that this router is shutting down.
    pub fn set_leaving(&mut self) {
        self.own.leaving = true;
    }

    /// Returns the heartbeats that are due, and the peers to send them to.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(RouterId, Heartbeat)> {
        self.suspect(now);
        if now < self.next {
            return Vec::new();
        }
        self.next = now + self.policy.every;
        self.own.counter += 1;
        let targets = self.targets();
        targets.into_iter().map(|to| (to, self.heartbeat())).collect()
    }

    /// Takes a heartbeat.
    pub fn heartbeat_received(&mut self, now: Timestamp, heartbeat: &Heartbeat) {
        self.learn(now, &heartbeat.own, true);
        for entry in &heartbeat.others {
            if entry.incarnation.router != self.own.incarnation.router {
                self.learn(now, entry, false);
            } else if entry.incarnation == self.own.incarnation && entry.suspect {
                self.doubters.insert(heartbeat.own.incarnation.router.clone());
            }
        }
    }

    /// Takes the platform's list. A router that is missing from it stays what it is.
    pub fn platform_list(&mut self, now: Timestamp, list: &[(RouterId, ListedState)]) {
        for (id, listed) in list {
            let Some(member) = self.members.get_mut(id) else {
                continue;
            };
            let quiet = now.since(member.progress) >= self.policy.suspect_after;
            let known = now.since(member.first) >= self.policy.list_lag;
            match listed {
                ListedState::Gone if quiet && known => member.state = MemberState::Gone,
                ListedState::Leaving if member.state == MemberState::Live => {
                    member.state = MemberState::Leaving;
                }
                ListedState::Live | ListedState::Leaving | ListedState::Gone => {}
            }
        }
    }

    /// Returns what the router `id` is taken to be.
    pub fn state(&self, id: &RouterId) -> Option<MemberState> {
        if *id == self.own.incarnation.router {
            let leaving = self.own.leaving;
            return Some(if leaving { MemberState::Leaving } else { MemberState::Live });
        }
        self.members.get(id).map(|member| member.state)
    }

    /// Returns the run of the router `id` that was heard of last.
    pub fn incarnation(&self, id: &RouterId) -> Option<&Incarnation> {
        self.members.get(id).map(|member| &member.entry.incarnation)
    }

    /// Returns whether there is evidence that the process of `run` does not exist any more: the
    /// platform lists it as gone, or a later run listens at its address. Silence is no evidence.
    pub fn is_gone(&self, run: &Incarnation) -> bool {
        let listed = self.members.get(&run.router).is_some_and(|member| {
            member.state == MemberState::Gone && member.entry.incarnation == *run
        });
        listed || self.replaced.contains(run)
    }

    /// Returns the routers that are live, this one included, by name.
    pub fn live(&self) -> Vec<RouterId> {
        let live = self.members.iter().filter(|(_, member)| member.state == MemberState::Live);
        let mut live: Vec<RouterId> = live.map(|(id, _)| id.clone()).collect();
        if !self.own.leaving {
            live.push(self.own.incarnation.router.clone());
        }
        live.sort();
        live
    }

    /// Returns the number of live routers, this one included.
    pub fn live_count(&self) -> usize {
        let live = self.members.values().filter(|member| member.state == MemberState::Live).count();
        live + usize::from(!self.own.leaving)
    }

    /// Returns the version of the configuration that each known router serves with.
    pub fn versions(&self) -> Vec<(RouterId, Version)> {
        let versions = self.members.iter().map(|(id, member)| (id.clone(), member.entry.version));
        let mut versions: Vec<_> = versions.collect();
        versions.sort();
        versions
    }

    fn learn(&mut self, now: Timestamp, entry: &MemberEntry, direct: bool) {
        let id = &entry.incarnation.router;
        let news = self.news();
        let fresh = Member {
            entry: entry.clone(),
            state: state_of(entry),
            first: now,
            progress: now,
            news,
            told: 0,
        };
        let Some(member) = self.members.get_mut(id) else {
            self.members.insert(id.clone(), fresh);
            return;
        };
        let (known, heard) = (member.entry.incarnation.number, entry.incarnation.number);
        if heard < known {
            return;
        }
        if heard > known {
            if member.entry.address == entry.address {
                self.replaced.insert(member.entry.incarnation.clone());
            }
            *member = fresh;
            return;
        }
        if member.state == MemberState::Gone || entry.counter < member.entry.counter {
            return;
        }
        let progress = entry.counter > member.entry.counter;
        if !progress {
            // Another router's suspicion counts if it has seen as much as this one.
            if entry.suspect && !direct && member.state == MemberState::Live {
                member.state = MemberState::Suspect;
                member.entry.suspect = true;
                member.news = news;
            }
            return;
        }
        let before = member.state;
        member.entry = entry.clone();
        member.progress = now;
        member.state = match state_of(entry) {
            // The list may know of a stop that the router itself has not been told yet.
            MemberState::Live if before == MemberState::Leaving => before,
            state => state,
        };
        if member.state != before {
            member.news = news;
        }
    }

    /// Suspects the routers that should have been heard of.
    fn suspect(&mut self, now: Timestamp) {
        let limit = self.policy.suspect_after;
        let silent = |member: &Member| {
            matches!(member.state, MemberState::Live | MemberState::Leaving)
                && now.since(member.progress) >= limit
        };
        if !self.members.values().any(silent) {
            return;
        }
        let watched: FastSet<RouterId> = self.watched().into_iter().collect();
        let news = self.news();
        for (id, member) in &mut self.members {
            if silent(member) && watched.contains(id) {
                member.state = MemberState::Suspect;
                member.entry.suspect = true;
                member.news = news;
            }
        }
    }

    /// Returns in how many heartbeats news are passed on: enough to reach every router with a
    /// fanout of [`MemberPolicy::targets`], three times over.
    fn news(&self) -> u32 {
        let size = self.members.len().max(1) as u32;
        3 * (size.ilog2() / 2 + 1) * self.policy.targets as u32
    }

    /// Returns the routers in the order of the ring, starting after this one.
    fn ring(&self) -> Vec<RouterId> {
        let score = |id: &RouterId| stable_hash(&["ring", id.as_str()]);
        let own = score(&self.own.incarnation.router);
        let gone = |id: &RouterId| self.state(id) == Some(MemberState::Gone);
        let known = self.members.keys().chain(&self.configured).collect::<FastSet<_>>();
        let mut ring: Vec<(u64, RouterId)> = known
            .into_iter()
            .filter(|id| !gone(id))
            .map(|id| (score(id).wrapping_sub(own), id.clone()))
            .collect();
        ring.sort();
        ring.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the peers that get a heartbeat now: those that follow on the ring, and one of the
    /// rest in turn, which heals a partition after which each side suspects the other.
    fn targets(&mut self) -> Vec<RouterId> {
        let ring = self.ring();
        let count = self.policy.targets;
        let mut targets: Vec<RouterId> = Vec::new();
        if ring.len() <= count {
            self.doubters.clear();
            return ring;
        }
        let live = |id: &&RouterId| self.state(id) != Some(MemberState::Suspect);
        targets.extend(ring.iter().filter(live).take(count - 1).cloned());
        let rest: Vec<&RouterId> = ring.iter().filter(|id| !targets.contains(id)).collect();
        let turn = self.own.counter as usize % rest.len().max(1);
        let next = rest.get(turn).map(|id| (*id).clone());
        let doubters = self.doubters.drain().filter(|id| ring.contains(id)).take(count);
        for id in next.into_iter().chain(doubters) {
            if !targets.contains(&id) {
                targets.push(id);
            }
        }
        targets
    }

    /// Returns the routers that should send heartbeats to this one.
    fn watched(&self) -> Vec<RouterId> {
        let mut ring = self.ring();
        if ring.len() <= self.policy.targets {
            return ring;
        }
        ring.reverse();
        let live = |id: &RouterId| self.state(id) != Some(MemberState::Suspect);
        let mut between = 0;
        ring.retain(|id| {
            let watched = between < self.policy.targets - 1;
            between += usize::from(live(id));
            watched
        });
        ring
    }

    fn heartbeat(&mut self) -> Heartbeat {
        let turn = self.own.counter;
        let mut members: Vec<&mut Member> = self.members.values_mut().collect();
        // News first, then what was passed on longest ago.
        members.sort_by(|a, b| {
            let key = |m: &Member| (std::cmp::Reverse(m.news), m.told);
            key(a).cmp(&key(b)).then_with(|| a.entry.incarnation.cmp(&b.entry.incarnation))
        });
        let mut others = Vec::new();
        for member in members.into_iter().filter(|m| m.state != MemberState::Gone) {
            if others.len() == self.policy.others {
                break;
            }
            member.news = member.news.saturating_sub(1);
            member.told = turn;
            others.push(member.entry.clone());
        }
        Heartbeat { own: self.own.clone(), others }
    }
}

const fn state_of(entry: &MemberEntry) -> MemberState {
    match entry {
        MemberEntry { suspect: true, .. } => MemberState::Suspect,
        MemberEntry { leaving: true, .. } => MemberState::Leaving,
        MemberEntry { .. } => MemberState::Live,
    }
}
