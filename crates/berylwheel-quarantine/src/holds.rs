//! The holds of a router, merged from its own decisions, its peers and the store.

use std::collections::BTreeMap;

use berylwheel_types::Millis;
use berylwheel_types::PartHold;
use berylwheel_types::PromptPartId;
use berylwheel_types::Timestamp;

/// Maximum time by which the stamp of a hold may be ahead of this router's clock.
const CLOCK_TOLERANCE: Millis = Millis(60_000);

/// Holds by their parts.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    by_parts: BTreeMap<Vec<PromptPartId>, PartHold>,
}

impl Holds {
    /// Returns the first hold that applies to a request with `parts`.
    pub(crate) fn find(&self, now: Timestamp, parts: &[PromptPartId]) -> Option<&PartHold> {
        if self.by_parts.is_empty() || parts.is_empty() {
            return None;
        }
        let covers = |hold: &&PartHold| hold.parts.iter().all(|part| parts.contains(part));
        self.active(now).find(covers)
    }

    /// Returns the holds in force.
    pub(crate) fn active(&self, now: Timestamp) -> impl Iterator<Item = &PartHold> {
        self.by_parts.values().filter(move |hold| !hold.released && now < hold.until)
    }

    /// Returns all holds, including those that were released.
    pub(crate) fn all(&self) -> Vec<PartHold> {
        self.by_parts.values().cloned().collect()
    }

    /// Adds a hold, or replaces its times. `since` and `ends` tell what it is based on.
    pub(crate) fn set(
        &mut self,
        now: Timestamp,
        parts: Vec<PromptPartId>,
        (since, ends): (Timestamp, u32),
        until: Timestamp,
    ) -> PartHold {
        let previous = self.by_parts.get(&parts);
        let stamp = previous.map_or(now, |hold| now.max(hold.stamp + Millis(1)));
        let hold = PartHold { parts: parts.clone(), stamp, since, until, ends, released: false };
        self.by_parts.insert(parts, hold.clone());
        hold
    }

    /// Releases the holds in force that name `part`, and returns them in their new state.
    pub(crate) fn release(&mut self, now: Timestamp, part: PromptPartId) -> Vec<PartHold> {
        let mut released = Vec::new();
        for hold in self.by_parts.values_mut() {
            if hold.released || now >= hold.until || !hold.parts.contains(&part) {
                continue;
            }
            hold.stamp = now.max(hold.stamp + Millis(1));
            hold.released = true;
            released.push(hold.clone());
        }
        released
    }

    /// Takes over a hold from a peer or the store if it is newer than the known state, and returns
    /// whether it was. Implausible ones are ignored.
    pub(crate) fn merge(
        &mut self,
        now: Timestamp,
        hold: PartHold,
        max_hold: Millis,
        max_parts: usize,
    ) -> bool {
        let PartHold { parts, stamp, until, .. } = &hold;
        let is_sorted = parts.is_sorted_by(|a, b| a < b);
        let is_plausible = !parts.is_empty()
            && parts.len() <= max_parts
            && is_sorted
            && *stamp <= now + CLOCK_TOLERANCE
            && *until <= now + max_hold + CLOCK_TOLERANCE
            && now < *until;
        if !is_plausible {
            return false;
        }
        let known = self.by_parts.get(parts);
        if known.is_some_and(|known| (known.stamp, known.released) >= (*stamp, hold.released)) {
            return false;
        }
        self.by_parts.insert(parts.clone(), hold);
        true
    }

    /// Forgets holds that have ended, and those that end first beyond `limit`.
    pub(crate) fn expire(&mut self, now: Timestamp, limit: usize) {
        self.by_parts.retain(|_, hold| now < hold.until);
        while self.by_parts.len() > limit {
            let first = self.by_parts.values().min_by_key(|hold| (!hold.released, hold.until));
            let Some(parts) = first.map(|hold| hold.parts.clone()) else { return };
            self.by_parts.remove(&parts);
        }
    }
}
