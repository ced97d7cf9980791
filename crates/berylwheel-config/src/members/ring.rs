//! The order of the routers on the ring, and the peers that follow from it.

use berylwheel_types::RouterId;
use berylwheel_types::stable_hash;

/// The other routers in ring order, starting with the successor of this one.
///
/// All routers compute the same order from the same members, so the successors of one router expect
/// its heartbeats.
#[derive(Debug)]
pub(crate) struct Ring {
    own_score: u64,
    /// Sorted by the distance from this router.
    routers: Vec<(u64, RouterId)>,
}

impl Ring {
    pub fn new(own: &RouterId) -> Self {
        Self { own_score: score(own), routers: Vec::new() }
    }

    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Adds a router. Has no effect if it is present.
    pub fn insert(&mut self, router: &RouterId) {
        let entry = self.entry(router);
        if let Err(index) = self.routers.binary_search(&entry) {
            self.routers.insert(index, entry);
        }
    }

    pub fn remove(&mut self, router: &RouterId) {
        if let Ok(index) = self.routers.binary_search(&self.entry(router)) {
            self.routers.remove(index);
        }
    }

    pub fn contains(&self, router: &RouterId) -> bool {
        self.routers.binary_search(&self.entry(router)).is_ok()
    }

    /// Returns the routers, starting with the successor of this one.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &RouterId> {
        self.routers.iter().map(|(_, router)| router)
    }

    /// Returns at most `limit` routers that are spread over the ring: those at half of the ring, a
    /// quarter, an eighth and so on, then those halfway between them. Each router is at the same
    /// number of such places, and a message that is passed on reaches all in a logarithmic number
    /// of steps.
    pub fn spread(&self, limit: usize) -> Vec<&RouterId> {
        let len = self.routers.len();
        if len <= limit {
            return self.iter().collect();
        }
        let halves = (1..usize::BITS).map(|shift| len >> shift);
        let between = (2..usize::BITS).map(|shift| (3 * len) >> shift);
        let mut places: Vec<usize> = Vec::with_capacity(limit);
        for place in halves.chain(between) {
            if places.len() < limit && !places.contains(&place) {
                places.push(place);
            }
        }
        places.into_iter().map(|place| &self.routers[place].1).collect()
    }

    fn entry(&self, router: &RouterId) -> (u64, RouterId) {
        (score(router).wrapping_sub(self.own_score), router.clone())
    }
}

fn score(router: &RouterId) -> u64 {
    stable_hash(&["ring", router.as_str()])
}
