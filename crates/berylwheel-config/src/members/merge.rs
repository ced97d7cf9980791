//! What a router learns of the others, from heartbeats, silence and the list of routers.

use std::net::SocketAddr;

use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;

use super::core::Member;
use super::core::Members;
use crate::MemberEntry;
use crate::MemberState;

/// Minimum interval between a heartbeat and the next one when a state has changed in between.
const NEWS_INTERVAL: Millis = Millis(250);

impl Members {
    /// Handles the runs that the list of routers names, with their peer addresses. A run that was not
    /// heard of yet counts as live: heartbeats need minutes to tell of all routers of a large fleet
    /// that has just started, and routers that know different runs disagree about the homes of
    /// budgets.
    ///
    /// ```
    /// use berylwheel_config::{MemberPolicy, MemberState, Members};
    /// use berylwheel_types::Timestamp;
    /// let (now, address) = (Timestamp::from_millis(0), "127.0.0.1:7000".parse().unwrap());
    /// let mut members = Members::new("r1@1".parse().unwrap(), address, MemberPolicy::default());
    /// members.handle_listed_runs(now, &[("r2@5".parse().unwrap(), address)]);
    /// assert_eq!(members.state(&"r2".parse().unwrap()), Some(MemberState::Live));
    /// ```
    pub fn handle_listed_runs(&mut self, now: Timestamp, listed: &[(Incarnation, SocketAddr)]) {
        self.visits.add(listed.len());
        for (run, address) in listed {
            let known = self.members.get(&run.router).map(|m| m.entry.incarnation.number);
            if run.router == self.own.incarnation.router || known >= Some(run.number) {
                continue;
            }
            let entry = MemberEntry {
                incarnation: run.clone(),
                address: *address,
                counter: 0,
                version: Version::default(),
                leaving: false,
                suspect: false,
            };
            self.merge_entry(now, &entry, false);
            // The others read the same list, so relaying it would only delay news.
            self.relays.insert(&run.router, 0);
        }
    }

    /// Sets the state of a member, and lets the next heartbeat follow soon if it has changed.
    pub(super) fn set_state(&mut self, now: Timestamp, id: &RouterId, state: MemberState) {
        let Some(member) = self.members.get_mut(id) else { return };
        let previous = std::mem::replace(&mut member.state, state);
        if previous == state {
            return;
        }
        self.live_members += usize::from(state == MemberState::Live);
        self.live_members -= usize::from(previous == MemberState::Live);
        self.live_changes += 1;
        self.hasten_heartbeat(now);
    }

    pub(super) fn hasten_heartbeat(&mut self, now: Timestamp) {
        let soon = now.max(self.last_heartbeat + NEWS_INTERVAL);
        self.next_heartbeat = self.next_heartbeat.min(soon);
    }

    /// Merges an entry of a heartbeat. `direct` tells whether it is the entry of the sender.
    pub(super) fn merge_entry(&mut self, now: Timestamp, entry: &MemberEntry, direct: bool) {
        let id = &entry.incarnation.router;
        let Some(member) = self.members.get_mut(id) else {
            return self.insert_member(now, entry);
        };
        let (known, received) = (member.entry.incarnation.number, entry.incarnation.number);
        if received < known {
            return;
        }
        if received > known {
            if member.entry.address == entry.address || member.state == MemberState::Gone {
                self.replaced_runs.insert(member.entry.incarnation.clone());
            }
            self.live_members -= usize::from(member.state == MemberState::Live);
            self.insert_member(now, entry);
            return self.hasten_heartbeat(now);
        }
        if member.state == MemberState::Gone || entry.counter < member.entry.counter {
            return;
        }
        let progressed = entry.counter > member.entry.counter;
        if !progressed {
            // Another router's suspicion is valid only if it has seen the same counter.
            if entry.suspect && !direct && member.state == MemberState::Live {
                self.suspect(now, id);
            }
            return;
        }
        let previous = member.state;
        member.entry = entry.clone();
        member.last_progress = now;
        let state = match entry_state(entry) {
            // The platform's list may announce a stop before the router itself is told.
            MemberState::Live if previous == MemberState::Leaving => previous,
            state => state,
        };
        if state != previous {
            self.set_state(now, id, state);
            self.relays.prioritize(id, self.relay_count());
        }
    }

    /// Adds a router that was not heard of before, or a new run of a known one.
    fn insert_member(&mut self, now: Timestamp, entry: &MemberEntry) {
        let id = &entry.incarnation.router;
        let state = entry_state(entry);
        let member = Member { entry: entry.clone(), state, first_seen: now, last_progress: now };
        self.members.insert(id.clone(), member);
        self.unheard.remove(id);
        self.ring.insert(id);
        self.expected_since.remove(id);
        self.relays.insert(id, self.relay_count());
        self.live_members += usize::from(state == MemberState::Live);
        self.live_changes += 1;
    }

    fn suspect(&mut self, now: Timestamp, id: &RouterId) {
        self.set_state(now, id, MemberState::Suspect);
        if let Some(member) = self.members.get_mut(id) {
            member.entry.suspect = true;
        }
        self.relays.prioritize(id, self.relay_count());
    }

    /// Marks the monitored routers that have been silent for too long as suspect.
    pub(super) fn mark_suspects(&mut self, now: Timestamp) {
        let limit = self.policy.suspect_after;
        let expected = self.expected_senders();
        self.visits.add(expected.len());
        self.expected_since.retain(|id, _| expected.contains(id));
        for id in &expected {
            let Some(member) = self.members.get(id) else { continue };
            let expected_since = *self.expected_since.entry(id.clone()).or_insert(now);
            let running = matches!(member.state, MemberState::Live | MemberState::Leaving);
            if running && now.since(expected_since.max(member.last_progress)) >= limit {
                self.suspect(now, id);
            }
        }
    }

    /// Returns the number of heartbeats in which a router relays a new state. If every router
    /// relays a message to `ln n + c` random others, one misses it with a probability of `e^-c`.
    fn relay_count(&self) -> u32 {
        (self.members.len().max(1) as u32).ilog2() + 3
    }
}

const fn entry_state(entry: &MemberEntry) -> MemberState {
    match entry {
        MemberEntry { suspect: true, .. } => MemberState::Suspect,
        MemberEntry { leaving: true, .. } => MemberState::Leaving,
        MemberEntry { .. } => MemberState::Live,
    }
}
