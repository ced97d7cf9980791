//! The watchers of a domain, and the tree along which the messages of each are passed on.

use berylwheel_types::RouterId;
use berylwheel_types::stable_hash;

/// Returns the place of `own` among the watchers of `members`, or `None` if it is none of them.
pub(super) fn watcher_rank(members: &[RouterId], own: &RouterId, watchers: usize) -> Option<usize> {
    let score = |router: &RouterId| stable_hash(&["store watcher", router.as_str()]);
    let own_score = (score(own), own);
    let before = members.iter().filter(|router| (score(router), *router) < own_score).count();
    (before < watchers && members.contains(own)).then_some(before)
}

/// Returns the routers to which `own` sends the messages of `origin`. The order of the routers in
/// the tree depends on the origin, so that one router does not stand above another in all trees.
pub(super) fn children(
    members: &[RouterId],
    origin: &RouterId,
    own: &RouterId,
    fanout: usize,
) -> Vec<RouterId> {
    let score = |router: &&RouterId| stable_hash(&["relay", origin.as_str(), router.as_str()]);
    let mut order: Vec<&RouterId> = members.iter().filter(|router| *router != origin).collect();
    order.sort_by_cached_key(|router| (score(router), *router));
    let first = match order.iter().position(|router| *router == own) {
        Some(place) => (place + 1) * fanout,
        None if own == origin => 0,
        None => return Vec::new(),
    };
    order.into_iter().skip(first).take(fanout).cloned().collect()
}
