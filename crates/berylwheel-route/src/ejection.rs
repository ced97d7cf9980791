//! Limits on how many failing servers are ejected at the same time.

use berylwheel_types::BackendId;
use berylwheel_types::Timestamp;

use crate::load_balancer::LoadBalancer;
use crate::state::ServerState;
use crate::subset::Subset;

impl LoadBalancer {
    /// Returns the groups of servers to which the ejection limit applies: each subset, and all
    /// servers that this router uses.
    fn ejection_groups(&self) -> Vec<Vec<&ServerState>> {
        let is_counted =
            |s: &&ServerState| s.present && s.in_subset && !self.is_leaving(&s.server.id);
        let all = self.states.values().filter(is_counted).collect();
        let subset = |subset: &Subset| {
            subset.members.iter().filter_map(|id| self.states.get(id)).filter(is_counted).collect()
        };
        std::iter::once(all).chain(self.subsets.values().map(subset)).collect()
    }

    /// Returns whether ejecting `server` keeps every group that contains it within its limit.
    pub(crate) fn may_eject(&self, now: Timestamp, server: &BackendId) -> bool {
        let mut groups = self.ejection_groups();
        groups.retain(|group| group.iter().any(|s| s.server.id == *server));
        let ejected =
            |group: &[&ServerState]| group.iter().filter(|s| s.health.is_ejected(now)).count();
        !groups.is_empty()
            && groups.iter().all(|group| ejected(group) < ejection_limit(group.len()))
    }

    /// Readmits servers, those whose ejection ends first, while a group exceeds its ejection limit.
    /// This happens when a group shrinks because servers shut down or are removed.
    pub(crate) fn limit_ejections(&mut self, now: Timestamp) {
        loop {
            let mut excess = None;
            for group in self.ejection_groups() {
                let ejected = group.iter().filter(|s| s.health.is_ejected(now));
                if ejected.clone().count() > ejection_limit(group.len()) {
                    let first = ejected.min_by_key(|s| (s.health.ejection_end(), &s.server.id));
                    excess = first.map(|s| s.server.id.clone());
                    break;
                }
            }
            let Some(state) = excess.and_then(|id| self.states.get_mut(&id)) else { return };
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
