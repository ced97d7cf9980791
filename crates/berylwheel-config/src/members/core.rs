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

use super::relay_queue::RelayQueue;
use super::ring::Ring;
use crate::Heartbeat;
use crate::ListedState;
use crate::MemberEntry;
use crate::MemberPolicy;
use crate::MemberState;

#[derive(Debug)]
pub(super) struct Member {
    pub(super) entry: MemberEntry,
    pub(super) state: MemberState,
    /// When this run was first heard of.
    pub(super) first_seen: Timestamp,
    /// When its heartbeat counter last advanced.
    pub(super) last_progress: Timestamp,
}

/// The other routers known to one router, and their states.
///
/// Each router sends heartbeats to its successors on a ring, and these detect its failure.
/// Suspicions are relayed in the heartbeats of all routers. At 340 routers, five seconds of
/// heartbeats cannot carry the counters of the whole fleet, so a router monitors only its
/// predecessors on the ring and relies on relayed suspicions for the rest.
///
/// A router sends heartbeats to the same few peers while the members stay the same, so that their
/// connections stay open. The cost of a poll and of a heartbeat does not grow with the fleet.
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
    pub(super) own: MemberEntry,
    pub(super) policy: MemberPolicy,
    pub(super) configured_peers: FastSet<RouterId>,
    pub(super) members: FastMap<RouterId, Member>,
    /// The other routers that are known and not gone.
    pub(super) ring: Ring,
    pub(super) relays: RelayQueue,
    /// Configured routers that were never heard of.
    pub(super) unheard: FastSet<RouterId>,
    /// Number of members that are live.
    pub(super) live_members: usize,
    /// Number of changes of the live routers and their runs.
    pub(super) live_changes: u64,
    /// Since when heartbeats from a predecessor are expected. Its silence is counted from then,
    /// since it may learn of a change of the ring later than this router.
    pub(super) expected_since: FastMap<RouterId, Timestamp>,
    /// Runs that are known to have ended because a later run replaced them.
    pub(super) replaced_runs: FastSet<Incarnation>,
    /// Routers that suspect this one and get an extra heartbeat.
    pub(super) suspecting_peers: FastSet<RouterId>,
    pub(super) next_heartbeat: Timestamp,
    pub(super) last_heartbeat: Timestamp,
    /// When configured routers that were never heard of stop counting as live.
    pub(super) grace_end: Option<Timestamp>,
    pub(super) grace_over: bool,
    pub(super) visits: VisitCounter,
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
            ring: Ring::new(&own.incarnation.router),
            relays: RelayQueue::default(),
            unheard: FastSet::default(),
            live_members: 0,
            live_changes: 0,
            expected_since: FastMap::default(),
            last_heartbeat: Timestamp::from_millis(0),
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

    /// Sets the routers that the settings or the store name.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = RouterId>) {
        let peers: FastSet<RouterId> =
            peers.into_iter().filter(|id| *id != self.own.incarnation.router).collect();
        self.visits.add(peers.len() + self.configured_peers.len());
        let removed: Vec<RouterId> = self.configured_peers.difference(&peers).cloned().collect();
        let added: Vec<RouterId> = peers.difference(&self.configured_peers).cloned().collect();
        self.configured_peers = peers;
        for id in removed {
            if self.unheard.remove(&id) {
                self.ring.remove(&id);
                self.live_changes += 1;
            }
        }
        for id in added {
            if !self.members.contains_key(&id) {
                self.ring.insert(&id);
                self.unheard.insert(id);
                self.live_changes += 1;
            }
        }
    }

    /// Sets the configuration version that this router serves.
    pub fn set_version(&mut self, version: Version) {
        self.own.version = version;
    }

    /// Marks this router as shutting down in its heartbeats.
    pub fn set_leaving(&mut self) {
        self.own.leaving = true;
        self.live_changes += 1;
    }

    /// Returns an unscheduled heartbeat for each of the linked peers, for example to announce that
    /// this router is shutting down. They relay it at once.
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
        let links = self.links();
        links.into_iter().map(|to| (to, self.build_heartbeat())).collect()
    }

    /// Returns the heartbeats that are due, with their recipients.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(RouterId, Heartbeat)> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + self.policy.heartbeat_interval;
        self.last_heartbeat = now;
        let MemberPolicy { startup_grace, suspect_after, .. } = self.policy;
        let grace = Millis(suspect_after.0 + startup_grace.0 * self.configured_peers.len() as u64);
        let grace_over = now >= *self.grace_end.get_or_insert(now + grace);
        if self.grace_over != grace_over {
            self.grace_over = grace_over;
            self.live_changes += 1;
        }
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
            let Some(member) = self.members.get(id) else {
                continue;
            };
            let silent = now.since(member.last_progress) >= self.policy.suspect_after;
            let list_current = now.since(member.first_seen) >= self.policy.max_lag;
            match listed {
                ListedState::Gone if silent && list_current => {
                    self.set_state(now, id, MemberState::Gone);
                    self.ring.remove(id);
                    self.relays.remove(id);
                }
                ListedState::Leaving if member.state == MemberState::Live => {
                    self.set_state(now, id, MemberState::Leaving);
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

    /// Returns the peer address of the router `id`, if it was heard of.
    pub fn address(&self, id: &RouterId) -> Option<SocketAddr> {
        self.members.get(id).map(|member| member.entry.address)
    }

    /// Returns a number that changes whenever [`Members::live`] or the run of a live router does.
    pub fn live_changes(&self) -> u64 {
        self.live_changes
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
        let unheard = if self.grace_over { 0 } else { self.unheard.len() };
        self.live_members + unheard + usize::from(!self.own.leaving)
    }

    fn unheard_peers(&self) -> impl Iterator<Item = &RouterId> {
        self.unheard.iter().filter(|_| !self.grace_over)
    }

    /// Returns the configuration version that each known router serves.
    pub fn versions(&self) -> Vec<(RouterId, Version)> {
        self.visits.add(self.members.len());
        let versions = self.members.iter().map(|(id, member)| (id.clone(), member.entry.version));
        let mut versions: Vec<_> = versions.collect();
        versions.sort();
        versions
    }

    fn build_heartbeat(&mut self) -> Heartbeat {
        let relayed = self.relays.take(self.policy.relay_limit, self.own.counter);
        self.visits.add(relayed.len());
        let others = relayed.iter().filter_map(|id| self.members.get(id));
        let others = others.map(|member| member.entry.clone()).collect();
        Heartbeat { own: self.own.clone(), others }
    }
}
