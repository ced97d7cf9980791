//! The peers to which a router sends, and those from which it expects heartbeats.

use berylwheel_types::RouterId;

use super::core::Members;
use crate::MemberState;

/// Maximum number of peers spread over the ring to which heartbeats go in turn. With the two that
/// each heartbeat takes of them, each is used again before its connection becomes idle.
const SPREAD_PEERS: usize = 12;

impl Members {
    /// Returns the peers to which heartbeats go: the successors on the ring and the peers spread
    /// over it. Connections to them are open, so what should reach all routers is sent to these,
    /// and each passes it on.
    ///
    /// ```
    /// use berylwheel_config::{MemberPolicy, Members};
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let mut members = Members::new("r0@1".parse().unwrap(), address, MemberPolicy::default());
    /// members.set_peers((1..1_000).map(|i| format!("r{i}").parse().unwrap()));
    /// assert!(members.links().len() < 20);
    /// ```
    pub fn links(&self) -> Vec<RouterId> {
        let mut links = self.successors();
        let spread = self.ring.spread(SPREAD_PEERS).into_iter();
        let others: Vec<RouterId> =
            spread.filter(|id| !links.contains(id) && self.in_ring(id)).cloned().collect();
        links.extend(others);
        links
    }

    /// Returns whether the router `id` counts as a neighbor on the ring; a suspect one does not.
    pub(super) fn in_ring(&self, id: &RouterId) -> bool {
        match self.state(id) {
            Some(state) => state != MemberState::Suspect,
            None => !self.grace_over,
        }
    }

    /// Returns the recipients of the current heartbeat. Half of them are the successors on the
    /// ring, which monitor this router. The others are the peers spread over the ring in turn: they
    /// spread new states and end the mutual suspicion of both sides after a partition.
    pub(super) fn select_targets(&mut self) -> Vec<RouterId> {
        let count = self.policy.fanout;
        if self.ring.len() <= count {
            return self.ring.iter().cloned().collect();
        }
        let mut targets = self.successors();
        let spread = self.ring.spread(SPREAD_PEERS + targets.len());
        let spread: Vec<&RouterId> =
            spread.into_iter().filter(|id| !targets.contains(id)).take(SPREAD_PEERS).collect();
        let wanted = count.saturating_sub(targets.len()).min(spread.len());
        let start = self.own.counter as usize * wanted;
        let in_turn = (start..start + wanted).map(|turn| spread[turn % spread.len()]);
        let others: Vec<RouterId> = in_turn.cloned().collect();
        targets.extend(others);
        let suspecting = std::mem::take(&mut self.suspecting_peers).into_iter();
        let is_extra = |id: &RouterId| self.ring.contains(id) && !targets.contains(id);
        let extra: Vec<RouterId> = suspecting.filter(is_extra).take(count).collect();
        targets.extend(extra);
        self.visits.add(targets.len());
        targets
    }

    /// Returns the next routers on the ring, which monitor this one.
    pub(super) fn successors(&self) -> Vec<RouterId> {
        let next = self.ring.iter().filter(|id| self.in_ring(id));
        next.take(self.policy.fanout / 2).cloned().collect()
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
        if self.ring.len() <= self.policy.fanout {
            return self.ring.iter().cloned().collect();
        }
        let mut expected = Vec::new();
        let mut neighbors = 0;
        for id in self.ring.iter().rev() {
            if neighbors == self.policy.fanout / 2 {
                break;
            }
            neighbors += usize::from(self.in_ring(id));
            expected.push(id.clone());
        }
        expected
    }
}
