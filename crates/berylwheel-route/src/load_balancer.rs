//! Server selection for one router.

use std::net::SocketAddr;

use berylwheel_types::BackendId;
use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::CacheEvent;
use crate::ColdLimit;
use crate::ColdPool;
use crate::ColdSource;
use crate::LoadReport;
use crate::Outcome;
use crate::RouteDump;
use crate::RoutePolicy;
use crate::RouteQuery;
use crate::Server;
use crate::ServerDump;
use crate::choice::Candidate;
use crate::choice::choose;
use crate::evacuation::Evacuation;
use crate::speed::Speeds;
use crate::standing::Standing;
use crate::state::ServerState;
use crate::subset::Pool;
use crate::subset::Subset;

/// Selects backend servers for the requests of one router.
///
/// ```
/// use berylwheel_route::{LoadBalancer, Outcome, RoutePolicy, RouteQuery, Server};
/// use berylwheel_types::{Timestamp, Tokens};
///
/// let now = Timestamp::from_millis(0);
/// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
/// balancer.set_servers(now, vec![Server {
///     id: "e1".parse().unwrap(),
///     address: "127.0.0.1:9000".parse().unwrap(),
///     kinds: vec![],
///     models: vec!["m1".parse().unwrap()],
///     concurrency: 1,
///     domain: "d1".parse().unwrap(),
/// }]);
/// let query = RouteQuery {
///     kind: "chat".parse().unwrap(),
///     model: Some("m1".parse().unwrap()),
///     prefix: 0,
///     exclude: vec![],
///     prompt_tokens: Tokens(900),
/// };
/// let server = balancer.pick(now, &query).unwrap();
/// balancer.request_started(now, &server.id);
/// assert!(!balancer.can_start(now, &query));
/// balancer.request_ended(now, &server.id, Outcome::Ok);
/// assert!(balancer.can_start(now, &query));
/// balancer.set_leaving(now, &server.id);
/// assert_eq!(balancer.pick(now, &query), None);
/// ```
#[derive(Debug)]
pub struct LoadBalancer {
    pub(crate) router: RouterId,
    pub(crate) policy: RoutePolicy,
    rng: SmallRng,
    routers: usize,
    configured: bool,
    pub(crate) states: FastMap<BackendId, ServerState>,
    pub(crate) subsets: FastMap<Pool, Subset>,
    /// What is known of servers besides their configuration and load. Outlasts the removal of a
    /// server, since an outdated list may bring it back.
    pub(crate) standings: FastMap<BackendId, Standing>,
    pub(crate) evacuation: Evacuation,
    pub(crate) speeds: Speeds,
    /// The end of the pause that ends last, or later.
    pub(crate) last_pause_end: Timestamp,
    /// Number of load probes that may be sent now, up to the number allowed in one second.
    probe_credit: f64,
    /// Servers that are cold, and this router's part of what they can handle.
    pub(crate) cold: ColdLimit,
    pub(crate) cold_pools: FastMap<KindId, ColdPool>,
    last_probe: Timestamp,
    /// The most recent time passed to a method, used by the dump.
    pub(crate) last_time: Timestamp,
}

impl LoadBalancer {
    /// Returns an instance without servers. The same seed and calls give the same choices.
    pub fn new(router: RouterId, policy: RoutePolicy, seed: u64) -> Self {
        Self {
            cold: ColdLimit::new(router.clone()),
            cold_pools: FastMap::default(),
            router,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            routers: 1,
            configured: false,
            states: FastMap::default(),
            subsets: FastMap::default(),
            standings: FastMap::default(),
            evacuation: Evacuation::default(),
            speeds: Speeds::default(),
            last_pause_end: Timestamp::default(),
            probe_credit: 0.0,
            last_probe: Timestamp::default(),
            last_time: Timestamp::default(),
        }
    }

    /// Replaces the configured servers.
    ///
    /// Requests at a removed server stay counted until they end. A server whose address changes is
    /// treated as new: it goes through slow start and is no longer leaving. The servers of the
    /// first call skip slow start, since they were running before this router. Any later server
    /// that is new or has a new address counts as cold for the time in its pool's settings.
    pub fn set_servers(&mut self, now: Timestamp, servers: Vec<Server>) {
        self.last_time = now;
        let start_time = self.configured.then_some(now);
        self.configured = true;
        let mut previous: FastSet<BackendId> = FastSet::default();
        for (id, state) in &mut self.states {
            if std::mem::replace(&mut state.present, false) {
                previous.insert(id.clone());
            }
        }
        let (mut moved, mut added) = (Vec::new(), Vec::new());
        for server in servers {
            let Some(state) = self.states.get_mut(&server.id) else {
                added.push(server.id.clone());
                self.states.insert(server.id.clone(), ServerState::new(server, start_time));
                continue;
            };
            if state.server.address != server.address {
                state.reset(now);
                moved.push(server.id.clone());
            } else if !previous.contains(&server.id) {
                state.reset(now);
                added.push(server.id.clone());
                self.speeds.forget(now, &server.id);
            }
            state.present = true;
            state.server = server;
        }
        self.states.retain(|_, state| state.present || state.load.own_count() > 0);
        for server in &moved {
            self.clear_notice(server);
            self.speeds.forget(now, server);
        }
        for server in added.iter().chain(&moved).filter(|_| start_time.is_some()) {
            self.mark_cold(now, server, ColdSource::New);
        }
        let states = &self.states;
        self.speeds.retain(|id| states.contains_key(id));
        self.prune_standings(now);
        self.update_subsets();
        self.limit_ejections(now);
    }

    /// Resets the state of a server whose process has been replaced by a new one.
    pub fn server_restarted(&mut self, now: Timestamp, server: &BackendId) {
        self.last_time = now;
        self.renew_standing(now, server);
        self.speeds.forget(now, server);
        if let Some(state) = self.states.get_mut(server) {
            state.reset(now);
        }
        self.mark_cold(now, server, ColdSource::New);
    }

    /// Returns whether a server is configured.
    pub fn is_present(&self, server: &BackendId) -> bool {
        self.states.get(server).is_some_and(|state| state.present)
    }

    /// Returns the address of a server, including one that was removed while requests run there.
    pub fn address(&self, server: &BackendId) -> Option<SocketAddr> {
        self.states.get(server).map(|state| state.server.address)
    }

    /// Sets the number of live routers that share the servers, including this one.
    pub fn set_routers(&mut self, live: usize) {
        self.routers = live.max(1);
    }

    /// Applies a load report of a server. A report that is older than the last one is ignored.
    pub fn apply_report(&mut self, now: Timestamp, server: &BackendId, report: LoadReport) {
        let Some(state) = self.states.get_mut(server) else { return };
        self.last_time = now;
        if !state.load.record_report(now, &report) {
            return;
        }
        let at = report.at.min(now);
        if report.draining {
            state.draining_at = state.draining_at.max(Some(at));
        } else if state.draining_at.is_some_and(|since| at > since) {
            // A server never cancels draining, so this report is from a new process.
            state.draining_at = None;
            state.start_time = Some(now);
            self.speeds.forget(now, server);
        }
        state.loaded_models = report.loaded;
        self.limit_ejections(now);
    }

    /// Applies a change of a server's prefix cache.
    pub fn apply_cache_event(&mut self, _now: Timestamp, server: &BackendId, event: CacheEvent) {
        if let Some(state) = self.states.get_mut(server) {
            state.cached.apply(event);
        }
    }

    /// Returns whether [`LoadBalancer::pick`] would find a server.
    pub fn can_start(&self, now: Timestamp, query: &RouteQuery) -> bool {
        self.candidates(now, query).iter().any(|c| c.has_room)
    }

    /// Selects a server for a request, or returns `None` if no eligible server has room.
    ///
    /// This does not count the request; call [`LoadBalancer::request_started`] when it is sent.
    pub fn pick(&mut self, now: Timestamp, query: &RouteQuery) -> Option<Server> {
        self.last_time = now;
        let draws = [self.rng.random(), self.rng.random()];
        self.speeds.refresh(now);
        let candidates = self.candidates(now, query);
        let chosen = choose(&candidates, query.prefix, &self.policy, draws);
        chosen.map(|candidate| candidate.state.server.clone())
    }

    /// Returns how many such requests this router may run concurrently. Each eligible server counts
    /// with this router's share of its limit, or with what other routers leave free if that is
    /// more.
    pub fn capacity(&self, now: Timestamp, query: &RouteQuery) -> u32 {
        let share = self.share(query);
        let allowed = |c: &Candidate| {
            let limit = f64::from(c.state.server.concurrency);
            let others = c.load - f64::from(c.state.load.own_count());
            let allowed = (limit - others).max((limit * share).floor()) as u32;
            if self.cold.is_limited(now, &c.state.server.id) { allowed.min(1) } else { allowed }
        };
        self.candidates(now, query).iter().map(allowed).fold(0, u32::saturating_add)
    }

    /// Returns the fraction of a server's concurrency limit that this router may always use.
    fn share(&self, query: &RouteQuery) -> f64 {
        let subset = self.subsets.get(&Pool::for_query(query));
        let subset_share =
            subset.map_or(1.0, |s| s.members.len() as f64 / s.pool_size.max(1) as f64);
        1.0 / (self.routers as f64 * subset_share).max(1.0)
    }

    fn candidates(&self, now: Timestamp, query: &RouteQuery) -> Vec<Candidate<'_>> {
        let Some(subset) = self.subsets.get(&Pool::for_query(query)) else { return Vec::new() };
        let eligible = subset.members.iter().filter_map(|id| self.states.get(id)).filter(|state| {
            let id = &state.server.id;
            state.supports(query)
                && !query.exclude.contains(id)
                && self.accepts_requests(now, state)
                && !state.health.is_ejected(now)
                && !state.is_misdirected(now, &self.policy)
                && self.cold.may_send(now, id)
        });
        let eligible: Vec<&ServerState> = eligible.collect();
        let limit = self.policy.report_expiry;
        let reported: Vec<u32> =
            eligible.iter().filter_map(|s| s.load.others(now, limit)).collect();
        let total: f64 = reported.iter().map(|others| f64::from(*others)).sum();
        let mean = total / reported.len().max(1) as f64;
        let share = self.share(query);
        let mut candidates = Vec::with_capacity(eligible.len());
        for state in eligible {
            let own = state.load.own_count();
            let load = f64::from(own) + state.load.estimate_others(now, &self.policy, mean);
            let concurrency = f64::from(state.server.concurrency);
            // A router may use its own share even if the other routers fill the server. Under
            // either condition its own requests stay within the limit, since the load includes
            // them.
            let has_room = load < concurrency
                || f64::from(own) < (concurrency * share).floor()
                || state.load.needs_new_report(now, self.policy.report_decay);
            let factor = self.speeds.request_factor(&state.server.id, query.prompt_tokens);
            let capacity = concurrency * self.weight(now, state) / factor;
            candidates.push(Candidate { state, load, capacity, factor, has_room });
        }
        candidates
    }

    /// Records that a request was sent to a server.
    pub fn request_started(&mut self, now: Timestamp, server: &BackendId) {
        if let Some(state) = self.states.get_mut(server) {
            self.last_time = now;
            self.cold.take_turn(now, server, state.load.own_count() == 0);
            state.load.request_started(now);
        }
    }

    /// Records the outcome of a request at a server, and ejects the server if it keeps failing.
    pub fn request_ended(&mut self, now: Timestamp, server: &BackendId, outcome: Outcome) {
        let Some(state) = self.states.get_mut(server) else { return };
        self.last_time = now;
        state.load.request_ended(now);
        self.cold.request_ended(server, outcome != Outcome::Misdirected);
        if outcome == Outcome::Misdirected {
            state.misdirected_at = Some(now);
        }
        if outcome == Outcome::Ok {
            self.end_pauses(server);
        }
        let Some(state) = self.states.get_mut(server) else { return };
        let should_eject = state.health.record_outcome(now, outcome, &self.policy);
        if !state.present && state.load.own_count() == 0 {
            self.states.remove(server);
            return;
        }
        if should_eject && self.may_eject(now, server) {
            let Some(state) = self.states.get_mut(server) else { return };
            state.health.eject(now, &self.policy);
        }
    }

    /// Ejects a server that refuses connections: no process listens at its address.
    pub fn server_refused(&mut self, now: Timestamp, server: &BackendId) {
        self.last_time = now;
        let is_known = self.states.get(server).is_some_and(|s| !s.health.is_ejected(now));
        if is_known
            && self.may_eject(now, server)
            && let Some(state) = self.states.get_mut(server)
        {
            state.health.eject(now, &self.policy);
        }
    }

    /// Returns the servers to probe for their load now, those that are longest overdue first.
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<BackendId> {
        self.last_time = now;
        if self.policy.probe_rate == 0 {
            return Vec::new();
        }
        let rate = f64::from(self.policy.probe_rate);
        let earned = now.since(self.last_probe).0 as f64 * rate / 1_000.0;
        self.probe_credit = (self.probe_credit + earned).min(rate);
        self.last_probe = now;
        let is_overdue = |s: &&ServerState| {
            let is_used = s.present && s.in_subset && !self.is_paused(now, &s.server.id);
            is_used && s.probe_due <= now
        };
        let overdue = self.states.values().filter(is_overdue);
        let mut due: Vec<(Timestamp, BackendId)> =
            overdue.map(|s| (s.probe_due, s.server.id.clone())).collect();
        due.sort_unstable();
        due.truncate(self.probe_credit as usize);
        self.probe_credit -= due.len() as f64;
        let interval = self.policy.probe_interval.0;
        for (_, id) in &due {
            // Jitter, so that the routers of a fleet do not probe one server at the same time.
            let wait = interval - self.rng.random_range(0..=interval / 10);
            if let Some(state) = self.states.get_mut(id) {
                state.probe_due = now + Millis(wait);
            }
        }
        due.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the routing state for operators, as of the most recent time passed to a method.
    pub fn dump(&self) -> RouteDump {
        let now = self.last_time;
        let mut servers: Vec<ServerDump> = self
            .states
            .values()
            .map(|state| ServerDump {
                id: state.server.id.clone(),
                address: state.server.address,
                present: state.present,
                domain: state.server.domain.clone(),
                evacuated: self.is_evacuated(&state.server.domain),
                used: state.in_subset,
                in_flight: state.load.own_count(),
                others: state.load.others(now, self.policy.report_expiry),
                concurrency: state.server.concurrency,
                report_age: state.load.report_age(now),
                failures: state.health.failures(),
                ejected_until: state.health.ejection_end().filter(|until| *until > now),
                leaving: self.is_leaving(&state.server.id),
                leaving_source: self.leaving_since(&state.server.id).map(|(source, _)| source),
                leaving_since: self.leaving_since(&state.server.id).map(|(_, since)| since),
                paused_since: self.last_pause(&state.server.id).map(|pause| pause.since),
                paused_until: self.last_pause(&state.server.id).map(|pause| pause.until),
                cold_until: self.cold.cold_until(now, &state.server.id).map(|(until, _)| until),
                cold_source: self.cold.cold_until(now, &state.server.id).map(|(_, why)| why),
                weight: self.weight(now, state),
                prefixes: state.cached.len(),
                speed: self.speeds.dump(now, &state.server.id),
            })
            .collect();
        servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        RouteDump {
            routers: self.routers,
            listed_routers: self.cold.listed_routers(),
            cold_requests: self.cold.turns(),
            evacuated: self.evacuated_domains(),
            servers,
            speeds: self.speeds.dump_pools(),
        }
    }
}
