//! Membership of the fleet, as seen by one router.

use std::net::SocketAddr;

use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use berylwheel_types::VisitCounter;
use berylwheel_types::stable_hash;

use crate::Heartbeat;
use crate::ListedState;
use crate::MemberEntry;
use crate::MemberPolicy;
use crate::MemberState;

#[derive(Debug)]
struct Member {
    entry: MemberEntry,
    state: MemberState,
    /// When this run was first heard of.
    first_seen: Timestamp,
    /// When its heartbeat counter last advanced.
    last_progress: Timestamp,
    /// Since when heartbeats from this router are expected. Its silence is counted from then, since
    /// it may learn of a change of the ring later than this router.
    expected_since: Option<Timestamp>,
    /// Number of heartbeats in which to relay this entry with priority.
    relays_left: u32,
    /// The number of the heartbeat in which the entry was last relayed.
    last_relayed: u64,
}

/// The other routers known to one router, and their states.
///
/// Each router sends heartbeats to its successors on a ring, and these detect its failure.
/// Suspicions are relayed in the heartbeats of all routers. At 340 routers, five seconds of
/// heartbeats cannot carry the counters of the whole fleet, so a router monitors only its
/// predecessors on the ring and relies on relayed suspicions for the rest.
///
/// ```
/// use berylwheel_config::{MemberPolicy, Members};
/// use berylwheel_types::Timestamp;
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let mut members = Members::new("r1@1".parse().unwrap(), address, MemberPolicy::default());
/// members.set_peers(["r2".parse().unwrap()]);
/// let heartbeats = members.poll(Timestamp::from_millis(0));
/// assert_eq!(heartbeats[0].0.as_str(), "r2");
/// assert_eq!(members.live_count(), 2);
/// ```
#[derive(Debug)]
pub struct Members {
    own: MemberEntry,
    policy: MemberPolicy,
    configured_peers: FastSet<RouterId>,
    members: FastMap<RouterId, Member>,
    /// Runs that are known to have ended because a later run replaced them.
    replaced_runs: FastSet<Incarnation>,
    /// Routers that suspect this one and get an extra heartbeat.
    suspecting_peers: FastSet<RouterId>,
    next_heartbeat: Timestamp,
    /// When configured routers that were never heard of stop counting as live.
    grace_end: Option<Timestamp>,
    grace_over: bool,
    visits: VisitCounter,
}

impl Members {
    /// Returns the membership of a router that has just started and listens for peers at `address`.
    pub fn new(own_run: Incarnation, address: SocketAddr, policy: MemberPolicy) -> Self {
        let own = MemberEntry {
            incarnation: own_run,
            address,
            counter: 0,
            version: Version(0),
            leaving: false,
            suspect: false,
        };
        Self {
            own,
            policy,
            configured_peers: FastSet::default(),
            members: FastMap::default(),
            replaced_runs: FastSet::default(),
            suspecting_peers: FastSet::default(),
            next_heartbeat: Timestamp::from_millis(0),
            grace_end: None,
            grace_over: false,
            visits: VisitCounter::default(),
        }
    }

    /// Returns the number of member entries examined since the start.
    ///
    /// ```
    /// use berylwheel_config::{MemberPolicy, Members};
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let members = Members::new("r1@1".parse().unwrap(), address, MemberPolicy::default());
    /// assert_eq!(members.visits(), 0);
    /// ```
    pub fn visits(&self) -> u64 {
        self.visits.total()
    }

    /// Sets the routers that the settings name.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = RouterId>) {
        self.configured_peers =
            peers.into_iter().filter(|id| *id != self.own.incarnation.router).collect();
    }

    /// Sets the configuration version that this router serves.
    pub fn set_version(&mut self, version: Version) {
        self.own.version = version;
    }

    /// Marks this router as shutting down in its heartbeats.
    pub fn set_leaving(&mut self) {
        self.own.leaving = true;
    }

    /// Returns an unscheduled heartbeat for every other live router, for example to announce that
    /// this router is shutting down.
    ///
    /// ```
    /// use berylwheel_config::{MemberPolicy, Members};
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let mut members = Members::new("r1@1".parse().unwrap(), address, MemberPolicy::default());
    /// members.set_peers(["r2".parse().unwrap()]);
    /// members.set_leaving();
    /// let heartbeats = members.announce();
    /// assert_eq!((heartbeats.len(), heartbeats[0].1.own.leaving), (1, true));
    /// ```
    pub fn announce(&mut self) -> Vec<(RouterId, Heartbeat)> {
        self.own.counter += 1;
        let mut live = self.live();
        live.retain(|id| *id != self.own.incarnation.router);
        live.into_iter().map(|to| (to, self.build_heartbeat())).collect()
    }

    /// Returns the heartbeats that are due, with their recipients.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(RouterId, Heartbeat)> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + self.policy.heartbeat_interval;
        let MemberPolicy { startup_grace, suspect_after, .. } = self.policy;
        let grace = Millis(suspect_after.0 + startup_grace.0 * self.configured_peers.len() as u64);
        self.grace_over = now >= *self.grace_end.get_or_insert(now + grace);
        self.mark_suspects(now);
        self.own.counter += 1;
        let targets = self.select_targets();
        targets.into_iter().map(|to| (to, self.build_heartbeat())).collect()
    }

    /// Handles a heartbeat from another router.
    pub fn handle_heartbeat(&mut self, now: Timestamp, heartbeat: &Heartbeat) {
        self.merge_entry(now, &heartbeat.own, true);
        for entry in &heartbeat.others {
            if entry.incarnation.router != self.own.incarnation.router {
                self.merge_entry(now, entry, false);
            } else if entry.incarnation == self.own.incarnation && entry.suspect {
                self.suspecting_peers.insert(heartbeat.own.incarnation.router.clone());
            }
        }
    }

    /// Handles the platform's VM list. A router that is missing from it keeps its state.
    pub fn handle_vm_list(&mut self, now: Timestamp, list: &[(RouterId, ListedState)]) {
        for (id, listed) in list {
            let Some(member) = self.members.get_mut(id) else {
                continue;
            };
            let silent = now.since(member.last_progress) >= self.policy.suspect_after;
            let list_current = now.since(member.first_seen) >= self.policy.max_lag;
            match listed {
                ListedState::Gone if silent && list_current => member.state = MemberState::Gone,
                ListedState::Leaving if member.state == MemberState::Live => {
                    member.state = MemberState::Leaving;
                }
                ListedState::Live | ListedState::Leaving | ListedState::Gone => {}
            }
        }
    }

    /// Returns the state of the router `id`, or `None` if it was never heard of.
    pub fn state(&self, id: &RouterId) -> Option<MemberState> {
        if *id == self.own.incarnation.router {
            let leaving = self.own.leaving;
            return Some(if leaving { MemberState::Leaving } else { MemberState::Live });
        }
        self.members.get(id).map(|member| member.state)
    }

    /// Returns the latest known run of the router `id`.
    pub fn incarnation(&self, id: &RouterId) -> Option<&Incarnation> {
        self.members.get(id).map(|member| &member.entry.incarnation)
    }

    /// Returns whether the process of `run` is known to have ended: the platform lists its VM as
    /// gone, or a later run listens at its address. Missing heartbeats alone are not sufficient,
    /// since the process may be paused or partitioned.
    pub fn is_gone(&self, run: &Incarnation) -> bool {
        let listed = self.members.get(&run.router).is_some_and(|member| {
            member.state == MemberState::Gone && member.entry.incarnation == *run
        });
        listed || self.replaced_runs.contains(run)
    }

    /// Returns the live routers, including this one, sorted by name. After the start, configured
    /// routers that were not heard of yet are included for a while: a router that knows only few
    /// others would take too large a share of budgets and servers.
    pub fn live(&self) -> Vec<RouterId> {
        self.visits.add(self.members.len());
        let members = self.members.iter().filter(|(_, m)| m.state == MemberState::Live);
        let own = Some(&self.own.incarnation.router).filter(|_| !self.own.leaving);
        let live = members.map(|(id, _)| id).chain(self.unheard_peers()).chain(own);
        let mut live: Vec<RouterId> = live.cloned().collect();
        live.sort();
        live
    }

    /// Returns the number of routers in [`Members::live`].
    pub fn live_count(&self) -> usize {
        self.visits.add(self.members.len());
        let live = self.members.values().filter(|member| member.state == MemberState::Live);
        live.count() + self.unheard_peers().count() + usize::from(!self.own.leaving)
    }

    fn unheard_peers(&self) -> impl Iterator<Item = &RouterId> {
        let unheard = |id: &&RouterId| !self.grace_over && !self.members.contains_key(*id);
        self.visits.add(self.configured_peers.len());
        self.configured_peers.iter().filter(unheard)
    }

    /// Returns the configuration version that each known router serves.
    pub fn versions(&self) -> Vec<(RouterId, Version)> {
        self.visits.add(self.members.len());
        let versions = self.members.iter().map(|(id, member)| (id.clone(), member.entry.version));
        let mut versions: Vec<_> = versions.collect();
        versions.sort();
        versions
    }

    /// Merges an entry of a heartbeat. `direct` tells whether it is the entry of the sender.
    fn merge_entry(&mut self, now: Timestamp, entry: &MemberEntry, direct: bool) {
        let id = &entry.incarnation.router;
        let relays = self.relay_count();
        let new_member = Member {
            entry: entry.clone(),
            state: entry_state(entry),
            first_seen: now,
            last_progress: now,
            expected_since: None,
            relays_left: relays,
            last_relayed: 0,
        };
        let Some(member) = self.members.get_mut(id) else {
            self.members.insert(id.clone(), new_member);
            return;
        };
        let (known, received) = (member.entry.incarnation.number, entry.incarnation.number);
        if received < known {
            return;
        }
        if received > known {
            if member.entry.address == entry.address || member.state == MemberState::Gone {
                self.replaced_runs.insert(member.entry.incarnation.clone());
            }
            *member = new_member;
            return;
        }
        if member.state == MemberState::Gone || entry.counter < member.entry.counter {
            return;
        }
        let progressed = entry.counter > member.entry.counter;
        if !progressed {
            // Another router's suspicion is valid only if it has seen the same counter.
            if entry.suspect && !direct && member.state == MemberState::Live {
                member.state = MemberState::Suspect;
                member.entry.suspect = true;
                member.relays_left = relays;
            }
            return;
        }
        let previous = member.state;
        member.entry = entry.clone();
        member.last_progress = now;
        member.state = match entry_state(entry) {
            // The platform's list may announce a stop before the router itself is told.
            MemberState::Live if previous == MemberState::Leaving => previous,
            state => state,
        };
        if member.state != previous {
            member.relays_left = relays;
        }
    }

    /// Marks the monitored routers that have been silent for too long as suspect.
    fn mark_suspects(&mut self, now: Timestamp) {
        let limit = self.policy.suspect_after;
        let expected: FastSet<RouterId> = self.expected_senders().into_iter().collect();
        let relays = self.relay_count();
        self.visits.add(self.members.len());
        for (id, member) in &mut self.members {
            if !expected.contains(id) {
                member.expected_since = None;
                continue;
            }
            let since = (*member.expected_since.get_or_insert(now)).max(member.last_progress);
            let running = matches!(member.state, MemberState::Live | MemberState::Leaving);
            if running && now.since(since) >= limit {
                member.state = MemberState::Suspect;
                member.entry.suspect = true;
                member.relays_left = relays;
            }
        }
    }

    /// Returns the number of heartbeats in which a router relays a new state. If every router
    /// relays a message to `ln n + c` random others, one misses it with a probability of `e^-c`.
    fn relay_count(&self) -> u32 {
        (self.members.len().max(1) as u32).ilog2() + 3
    }

    /// Returns whether the router `id` counts as a neighbor on the ring; a suspect one does not.
    fn in_ring(&self, id: &RouterId) -> bool {
        match self.state(id) {
            Some(state) => state != MemberState::Suspect,
            None => !self.grace_over,
        }
    }

    /// Returns the other routers in ring order, starting with the successor of this one.
    fn ring(&self) -> Vec<RouterId> {
        let score = |id: &RouterId| stable_hash(&["ring", id.as_str()]);
        let own = score(&self.own.incarnation.router);
        let is_gone = |id: &RouterId| self.state(id) == Some(MemberState::Gone);
        let known = self.members.keys().chain(&self.configured_peers).collect::<FastSet<_>>();
        self.visits.add(known.len());
        let mut ring: Vec<(u64, RouterId)> = known
            .into_iter()
            .filter(|id| !is_gone(id))
            .map(|id| (score(id).wrapping_sub(own), id.clone()))
            .collect();
        ring.sort();
        ring.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the recipients of the current heartbeat. Half of them are the successors on the
    /// ring, which monitor this router. The others are random: they spread new states and end the
    /// mutual suspicion of both sides after a partition.
    fn select_targets(&mut self) -> Vec<RouterId> {
        let ring = self.ring();
        let count = self.policy.fanout;
        if ring.len() <= count {
            return ring;
        }
        let successors = ring.iter().filter(|id| self.in_ring(id)).take(count / 2);
        let mut targets: Vec<RouterId> = successors.cloned().collect();
        let rest: Vec<&RouterId> = ring.iter().filter(|id| !targets.contains(id)).collect();
        let round = self.own.counter.to_string();
        let own = self.own.incarnation.router.as_str();
        self.visits.add(rest.len());
        let score = |id: &&&RouterId| stable_hash(&["turn", own, id.as_str(), &round]);
        let mut random: Vec<&&RouterId> = rest.iter().collect();
        random.sort_by_key(score);
        let random = random.into_iter().take(count - targets.len()).map(|id| (*id).clone());
        let suspecting = self.suspecting_peers.drain().filter(|id| ring.contains(id)).take(count);
        let extra: FastSet<RouterId> = random.chain(suspecting).collect();
        targets.extend(extra.into_iter().filter(|id| !targets.contains(id)).collect::<Vec<_>>());
        targets
    }

    /// Returns the predecessors on the ring, from which this router expects every heartbeat.
    ///
    /// ```
    /// use berylwheel_config::{MemberPolicy, Members};
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let mut members = Members::new("r1@1".parse().unwrap(), address, MemberPolicy::default());
    /// members.set_peers(["r2".parse().unwrap()]);
    /// assert_eq!(members.expected_senders()[0].as_str(), "r2");
    /// ```
    pub fn expected_senders(&self) -> Vec<RouterId> {
        let mut ring = self.ring();
        if ring.len() <= self.policy.fanout {
            return ring;
        }
        ring.reverse();
        let mut neighbors = 0;
        ring.retain(|id| {
            let expected = neighbors < self.policy.fanout / 2;
            neighbors += usize::from(self.in_ring(id));
            expected
        });
        ring
    }

    fn build_heartbeat(&mut self) -> Heartbeat {
        let round = self.own.counter;
        self.visits.add(self.members.len());
        let mut members: Vec<&mut Member> = self.members.values_mut().collect();
        // New states first, then the entries that were relayed least recently.
        members.sort_by(|a, b| {
            let key = |m: &Member| (std::cmp::Reverse(m.relays_left), m.last_relayed);
            key(a).cmp(&key(b)).then_with(|| a.entry.incarnation.cmp(&b.entry.incarnation))
        });
        let mut others = Vec::new();
        for member in members.into_iter().filter(|m| m.state != MemberState::Gone) {
            if others.len() == self.policy.relay_limit {
                break;
            }
            member.relays_left = member.relays_left.saturating_sub(1);
            member.last_relayed = round;
            others.push(member.entry.clone());
        }
        Heartbeat { own: self.own.clone(), others }
    }
}

const fn entry_state(entry: &MemberEntry) -> MemberState {
    match entry {
        MemberEntry { suspect: true, .. } => MemberState::Suspect,
        MemberEntry { leaving: true, .. } => MemberState::Leaving,
        MemberEntry { .. } => MemberState::Live,
    }
}
