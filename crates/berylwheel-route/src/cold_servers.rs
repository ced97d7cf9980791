//! Cold servers in the selection of servers.

use berylwheel_types::BackendId;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastMap;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;

use crate::ColdChange;
use crate::ColdPool;
use crate::ColdSource;
use crate::Server;
use crate::load_balancer::LoadBalancer;
use crate::state::ServerState;

impl LoadBalancer {
    /// Replaces the pools whose servers get fewer requests while they are cold.
    ///
    /// ```
    /// use berylwheel_route::{ColdPool, LoadBalancer, RoutePolicy};
    /// use berylwheel_types::{FastMap, Millis, Timestamp};
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let pool = ColdPool { rate: "6.6".parse().unwrap(), time: Millis(3_000) };
    /// let pools: FastMap<_, _> = [("chat".parse().unwrap(), pool)].into_iter().collect();
    /// balancer.set_cold_pools(Timestamp::from_millis(0), pools);
    /// ```
    pub fn set_cold_pools(&mut self, now: Timestamp, pools: FastMap<KindId, ColdPool>) {
        self.cold_pools = pools;
        let (pools, states) = (&self.cold_pools, &self.states);
        self.cold.set_rates(now, |id| match states.get(id) {
            Some(state) => cold_pool(pools, &state.server).rate.value(),
            None => 0.0,
        });
    }

    /// Sets the routers in the store's list, which share what cold servers can handle. Each of them
    /// reads it again within `list_age`. Until the first call, and later than `list_age` after the
    /// last one, nothing is sent to a cold server.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// use berylwheel_types::{Millis, Timestamp};
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let (now, list_age) = (Timestamp::from_millis(0), Millis(12_000));
    /// balancer.set_listed_routers(now, vec!["r1".parse().unwrap()], list_age);
    /// assert_eq!(balancer.dump().listed_routers, Some(1));
    /// ```
    pub fn set_listed_routers(&mut self, now: Timestamp, routers: Vec<RouterId>, list_age: Millis) {
        self.cold.set_routers(now, routers, list_age);
    }

    /// Records that this router's entry was added to the list of routers.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// use berylwheel_types::Timestamp;
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// balancer.entry_written(Timestamp::from_millis(0));
    /// balancer.entry_confirmed(Timestamp::from_millis(0));
    /// ```
    pub fn entry_written(&mut self, now: Timestamp) {
        self.cold.entry_written(now);
    }

    /// Records that a write or renewal of this router's entry, sent at `sent_at`, succeeded. For
    /// some seconds from then, other routers find this one in the list.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// use berylwheel_types::Timestamp;
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// balancer.entry_confirmed(Timestamp::from_millis(0));
    /// ```
    pub fn entry_confirmed(&mut self, sent_at: Timestamp) {
        self.cold.entry_confirmed(sent_at);
    }

    /// Applies a report of a server on how long it stays cold, zero if it is not cold.
    ///
    /// ```
    /// use berylwheel_route::{ColdSource, LoadBalancer, RoutePolicy};
    /// use berylwheel_types::{Millis, Timestamp};
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let (now, server) = (Timestamp::from_millis(0), "e1".parse().unwrap());
    /// balancer.apply_cold_report(now, &server, Millis(3_000), ColdSource::Entry);
    /// assert_eq!(balancer.poll_cold(now), [], "the server is not known");
    /// ```
    pub fn apply_cold_report(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        remaining: Millis,
        source: ColdSource,
    ) {
        let Some(state) = self.states.get(server) else { return };
        self.last_time = now;
        let rate = cold_pool(&self.cold_pools, &state.server).rate.value();
        self.cold.report(now, server, remaining, source, rate);
    }

    /// Makes a server count as cold for the time that its pool's settings state, if they limit cold
    /// servers.
    ///
    /// ```
    /// use berylwheel_route::{ColdSource, LoadBalancer, RoutePolicy};
    /// use berylwheel_types::Timestamp;
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let (now, server) = (Timestamp::from_millis(0), "e1".parse().unwrap());
    /// balancer.mark_cold(now, &server, ColdSource::New);
    /// assert_eq!(balancer.poll_cold(now), [], "the server is not known");
    /// ```
    pub fn mark_cold(&mut self, now: Timestamp, server: &BackendId, source: ColdSource) {
        let Some(state) = self.states.get(server) else { return };
        let pool = cold_pool(&self.cold_pools, &state.server);
        self.apply_cold_report(now, server, pool.time, source);
    }

    /// Makes the servers of a failure domain count as cold, for use when its evacuation ends.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// use berylwheel_types::Timestamp;
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let now = Timestamp::from_millis(0);
    /// balancer.mark_domain_cold(now, &"d1".parse().unwrap());
    /// assert_eq!(balancer.poll_cold(now), [], "there are no servers");
    /// ```
    pub fn mark_domain_cold(&mut self, now: Timestamp, domain: &FailureDomain) {
        let members = self.states.values().filter(|state| state.server.domain == *domain);
        let members: Vec<BackendId> = members.map(|state| state.server.id.clone()).collect();
        for server in members {
            self.mark_cold(now, &server, ColdSource::Restored);
        }
    }

    /// Returns the fraction of a server's capacity to use. Slow start also begins at the end of a
    /// pause and of a cold state.
    pub(crate) fn weight(&self, now: Timestamp, state: &ServerState) -> f64 {
        let id = &state.server.id;
        let end = self.pause_end(id).max(self.cold.slow_start(id));
        state.weight(now, &self.policy, end)
    }

    /// Returns whether the requests to any server are limited because it is cold.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// use berylwheel_types::Timestamp;
    /// let balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// assert!(!balancer.has_cold(Timestamp::from_millis(0)));
    /// ```
    pub fn has_cold(&self, now: Timestamp) -> bool {
        self.cold.has_limited(now)
    }

    /// Returns the servers that became cold or stopped being cold since the last call.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// use berylwheel_types::Timestamp;
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// assert_eq!(balancer.poll_cold(Timestamp::from_millis(0)), []);
    /// ```
    pub fn poll_cold(&mut self, now: Timestamp) -> Vec<ColdChange> {
        self.cold.poll(now)
    }

    /// Returns the number of requests that were sent to cold servers.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// let balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// assert_eq!(balancer.cold_requests(), 0);
    /// ```
    pub fn cold_requests(&self) -> u64 {
        self.cold.turns()
    }
}

/// Returns the limits of the first pool of a server that has some.
fn cold_pool(pools: &FastMap<KindId, ColdPool>, server: &Server) -> ColdPool {
    let limited = |kind| pools.get(kind).filter(|pool| pool.rate.value() > 0.0);
    server.kinds.iter().find_map(limited).copied().unwrap_or_default()
}
