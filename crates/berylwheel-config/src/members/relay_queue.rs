//! The order in which a router relays the entries of others.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use berylwheel_types::FastMap;
use berylwheel_types::RouterId;

/// The place of an entry: new states come first, then the entries relayed least recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// Number of heartbeats in which to relay the entry with priority.
    relays_left: Reverse<u32>,
    /// Number of the heartbeat in which it was last relayed.
    last_relayed: u64,
}

/// The entries of other routers in the order in which heartbeats relay them. A heartbeat takes the
/// first ones without looking at the others.
#[derive(Debug, Default)]
pub(crate) struct RelayQueue {
    order: BTreeSet<(Place, RouterId)>,
    places: FastMap<RouterId, Place>,
}

impl RelayQueue {
    /// Adds an entry that was never relayed, or makes a known one count as such.
    pub fn insert(&mut self, router: &RouterId, relays: u32) {
        self.place(router, Place { relays_left: Reverse(relays), last_relayed: 0 });
    }

    /// Relays a known entry with priority in the next `relays` heartbeats.
    pub fn prioritize(&mut self, router: &RouterId, relays: u32) {
        let last_relayed = self.places.get(router).map_or(0, |place| place.last_relayed);
        self.place(router, Place { relays_left: Reverse(relays), last_relayed });
    }

    pub fn remove(&mut self, router: &RouterId) {
        if let Some(place) = self.places.remove(router) {
            self.order.remove(&(place, router.clone()));
        }
    }

    /// Returns the first `limit` entries, and records that the heartbeat `round` relays them.
    pub fn take(&mut self, limit: usize, round: u64) -> Vec<RouterId> {
        let first: Vec<(Place, RouterId)> = self.order.iter().take(limit).cloned().collect();
        for (place, router) in &first {
            let relays_left = Reverse(place.relays_left.0.saturating_sub(1));
            self.place(router, Place { relays_left, last_relayed: round });
        }
        first.into_iter().map(|(_, router)| router).collect()
    }

    fn place(&mut self, router: &RouterId, place: Place) {
        if let Some(previous) = self.places.insert(router.clone(), place) {
            self.order.remove(&(previous, router.clone()));
        }
        self.order.insert((place, router.clone()));
    }
}
