//! Limits on how many failing servers are ejected at the same time.

use berylwheel_types::BackendId;
use berylwheel_types::Timestamp;

use crate::routes::Routes;
use crate::state::State;
use crate::subset::Subset;

impl Routes {
    /// Returns the groups of servers to which the ejection limit applies: each subset, and all
    /// servers that this router uses.
    fn ejection_groups(&self) -> Vec<Vec<&State>> {
        let stays = |s: &&State| s.present && s.used && !self.is_leaving(&s.server.id);
        let all = self.states.values().filter(stays).collect();
        let subset = |subset: &Subset| {
            subset.members.iter().filter_map(|id| self.states.get(id)).filter(stays).collect()
        };
        std::iter::once(all).chain(self.pools.values().map(subset)).collect()
    }

    /// Returns whether ejecting `server` keeps every group that contains it within its limit.
    pub(crate) fn may_eject(&self, now: Timestamp, server: &BackendId) -> bool {
        let mut groups = self.ejection_groups();
        groups.retain(|group| group.iter().any(|s| s.server.id == *server));
        let out = |group: &[&State]| group.iter().filter(|s| s.health.is_ejected(now)).count();
        !groups.is_empty() && groups.iter().all(|group| out(group) < ejection_limit(group.len()))
    }

    /// Readmits servers, those whose ejection ends first, while a group exceeds its ejection limit.
    /// This happens when a group shrinks because servers shut down or are removed.
    pub(crate) fn limit_ejections(&mut self, now: Timestamp) {
        loop {
            let mut surplus = None;
            for group in self.ejection_groups() {
                let out = group.iter().filter(|s| s.health.is_ejected(now));
                if out.clone().count() > ejection_limit(group.len()) {
                    let first = out.min_by_key(|s| (s.health.until(), &s.server.id));
                    surplus = first.map(|s| s.server.id.clone());
                    break;
                }
            }
            let Some(state) = surplus.and_then(|id| self.states.get_mut(&id)) else { return };
            state.health.readmit(now);
        }
    }
}

/// Returns how many servers of a group may be ejected: a third, or one of two. Without the
/// exception for two, a failing server would stay in use until retries against it used up the retry
/// budget.
const fn ejection_limit(group: usize) -> usize {
    if group == 2 { 1 } else { group / 3 }
}
