//! Subsetting: the servers that a router sends requests to.

use berylwheel_types::BackendId;
use berylwheel_types::FastMap;
use berylwheel_types::KindId;
use berylwheel_types::ModelId;
use berylwheel_types::RouterId;
use berylwheel_types::stable_hash;

use crate::RouteQuery;
use crate::load_balancer::LoadBalancer;
use crate::state::ServerState;

/// A pool of interchangeable servers: those of one model, or of one plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Pool {
    Model(ModelId),
    Kind(KindId),
}

impl Pool {
    /// Returns the pool whose servers can handle `query`.
    pub fn for_query(query: &RouteQuery) -> Self {
        match &query.model {
            Some(model) => Self::Model(model.clone()),
            None => Self::Kind(query.kind.clone()),
        }
    }
}

/// The part of a pool that one router uses.
#[derive(Debug)]
pub(crate) struct Subset {
    pub members: Vec<BackendId>,
    /// Number of servers in the whole pool.
    pub pool_size: usize,
}

impl LoadBalancer {
    /// Sets the subsets from the configured servers whose failure domains are not evacuated.
    pub(crate) fn update_subsets(&mut self) {
        let is_usable = |state: &&ServerState| {
            let domain = &state.server.domain;
            state.present && !self.is_evacuated(domain)
        };
        let usable = self.states.values().filter(is_usable);
        self.subsets = subsets_by_pool(&self.router, usable, self.policy.subset_size);
        for state in self.states.values_mut() {
            state.in_subset = false;
        }
        for id in self.subsets.values().flat_map(|subset| &subset.members) {
            if let Some(state) = self.states.get_mut(id) {
                state.in_subset = true;
            }
        }
    }
}

/// Returns the subset of `router` in each pool of the given servers.
fn subsets_by_pool<'a>(
    router: &RouterId,
    usable: impl Iterator<Item = &'a ServerState>,
    limit: usize,
) -> FastMap<Pool, Subset> {
    let mut pools: FastMap<Pool, Vec<BackendId>> = FastMap::default();
    for state in usable {
        let server = &state.server;
        let models = server.models.iter().cloned().map(Pool::Model);
        // A plain service has no models, so its pools are those of its kinds.
        let kinds = server.kinds.iter().filter(|_| server.models.is_empty());
        for pool in models.chain(kinds.cloned().map(Pool::Kind)) {
            pools.entry(pool).or_default().push(server.id.clone());
        }
    }
    let subset = |all: Vec<BackendId>| Subset {
        members: subset_of(router, &all, limit),
        pool_size: all.len(),
    };
    pools.into_iter().map(|(pool, all)| (pool, subset(all))).collect()
}

/// Returns the at most `limit` servers that `router` uses, selected by rendezvous hashing and
/// sorted by name.
///
/// Each pair of router and server has a fixed score, so adding or removing a server changes at most
/// one member of each subset.
///
/// ```
/// use berylwheel_route::subset_of;
/// use berylwheel_types::BackendId;
/// let servers: Vec<BackendId> = ["a", "b", "c"].iter().map(|s| s.parse().unwrap()).collect();
/// assert_eq!(subset_of(&"r1".parse().unwrap(), &servers, 2).len(), 2);
/// assert_eq!(subset_of(&"r1".parse().unwrap(), &servers, 9), servers);
/// ```
pub fn subset_of(router: &RouterId, servers: &[BackendId], limit: usize) -> Vec<BackendId> {
    let score = |server: &BackendId| stable_hash(&[router.as_str(), server.as_str()]);
    let mut scored: Vec<(u64, &BackendId)> = servers.iter().map(|s| (score(s), s)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.truncate(limit);
    let mut chosen: Vec<BackendId> = scored.into_iter().map(|(_, s)| s.clone()).collect();
    chosen.sort_unstable();
    chosen
}
