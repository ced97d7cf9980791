//! Compares routing policies that choose a backend server on delayed load reports. Time is
//! simulated with a manual clock.
//!
//! Eight routers send work to 18 engines, of which three run at 60% of the speed of the others.
//! Every 100 ms each engine reports its load and its cache events, which the routers receive after
//! the lag; one cache event in 50 is lost. Each request has one of 400 prefixes, and an engine
//! caches the 40 most recently used.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use berylwheel_route::CacheEvent;
use berylwheel_route::LoadBalancer;
use berylwheel_route::LoadReport;
use berylwheel_route::Outcome;
use berylwheel_route::RoutePolicy;
use berylwheel_route::RouteQuery;
use berylwheel_route::Server;
use berylwheel_types::BackendId;
use berylwheel_types::ManualClock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

const ROUTERS: usize = 8;
const ENGINES: usize = 18;
const SLOW_ENGINES: usize = 3;
const ENGINE_SLOTS: usize = 32;
const PREFIXES: usize = 400;
const CACHE_PREFIXES: usize = 40;

/// Mean service time of a request at an engine of full speed, and the share of it that a cached
/// prefix saves.
const SERVICE_MS: f64 = 2_000.0;
const PREFIX_SAVING: f64 = 0.3;

/// Mean time between arrivals at the whole fleet, about 60% of its capacity without cache hits.
const INTERARRIVAL_MS: f64 = 6.2;

const REPORT_INTERVAL_MS: u64 = 100;
const WARM_UP_MS: u64 = 30_000;
const END_MS: u64 = 120_000;

/// Delays of reports in milliseconds, with their names in the figures.
const REPORT_LAGS_MS: [(u64, &str); 3] = [(100, "0.1s"), (1_000, "1s"), (5_000, "5s")];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    RoundRobin,
    LeastReported,
    TwoChoicesReported,
    TwoChoices,
    AffinityUnbounded,
    TwoChoicesAffinity,
}

impl Policy {
    /// All policies. The first one is the baseline.
    const ALL: [Self; 6] = [
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoicesReported,
        Self::TwoChoices,
        Self::AffinityUnbounded,
        Self::TwoChoicesAffinity,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastReported => "least_reported",
            Self::TwoChoicesReported => "two_choices_reported",
            Self::TwoChoices => "two_choices",
            Self::AffinityUnbounded => "affinity_unbounded",
            Self::TwoChoicesAffinity => "two_choices_affinity",
        }
    }

    const fn uses_prefix(self) -> bool {
        matches!(self, Self::AffinityUnbounded | Self::TwoChoicesAffinity)
    }
}

/// A simulated engine with slots, a FIFO queue and an LRU cache of prefixes.
#[derive(Debug, Default)]
struct Engine {
    running: usize,
    queue: VecDeque<(usize, u64)>,
    cache: VecDeque<u64>,
    sequence: u64,
    events: Vec<CacheEvent>,
}

impl Engine {
    fn load(&self) -> usize {
        self.running + self.queue.len()
    }

    fn publish_event(&mut self, prefix: u64, cached: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent { sequence: self.sequence, prefix, cached });
    }

    /// Marks a prefix as the most recently used and returns whether it was cached.
    fn use_prefix(&mut self, prefix: u64) -> bool {
        let position = self.cache.iter().position(|p| *p == prefix);
        if let Some(index) = position {
            self.cache.remove(index);
        } else {
            self.publish_event(prefix, true);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE_PREFIXES
            && let Some(oldest) = self.cache.pop_front()
        {
            self.publish_event(oldest, false);
        }
        position.is_some()
    }
}

/// The load of an engine at one time and its cache events since the previous report.
#[derive(Debug)]
struct LoadSnapshot {
    engine: usize,
    taken_at: u64,
    running: u32,
    queued: u32,
    events: Vec<CacheEvent>,
}

/// One router: its [`LoadBalancer`], and the state of the policies that do not use it.
struct Router {
    balancer: LoadBalancer,
    reported_load: Vec<u32>,
    round_robin: usize,
}

struct Fleet {
    policy: Policy,
    lag: u64,
    clock: ManualClock,
    rng: SmallRng,
    engine_ids: Vec<BackendId>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    /// Completions of running requests: time, engine, router.
    completions: BinaryHeap<Reverse<(u64, usize, usize)>>,
    snapshots: VecDeque<LoadSnapshot>,
    prefix_hits: u64,
    served: u64,
    imbalances: Vec<f64>,
}

fn engine_id(n: usize) -> BackendId {
    format!("e{n}").parse().unwrap()
}

impl Fleet {
    fn new(policy: Policy, lag: u64, seed: u64) -> Self {
        let clock = ManualClock::new(Timestamp::from_millis(0));
        let server = |n| Server {
            id: engine_id(n),
            address: "127.0.0.1:9000".parse().unwrap(),
            kinds: vec![],
            models: vec!["m1".parse().unwrap()],
            concurrency: ENGINE_SLOTS as u32,
            domain: "d1".parse().unwrap(),
        };
        let router = |n: usize| {
            let mut route_policy = RoutePolicy::default();
            if policy == Policy::AffinityUnbounded {
                route_policy.affinity_bound = f64::MAX;
            }
            let router_id = format!("r{n}").parse().unwrap();
            let mut balancer =
                LoadBalancer::new(router_id, route_policy, seed.wrapping_add(n as u64));
            balancer.set_servers(clock.now(), (0..ENGINES).map(server).collect());
            balancer.set_routers(ROUTERS);
            Router { balancer, reported_load: vec![0; ENGINES], round_robin: n * ENGINES / ROUTERS }
        };
        Self {
            policy,
            lag,
            routers: (0..ROUTERS).map(router).collect(),
            clock,
            rng: SmallRng::seed_from_u64(seed),
            engine_ids: (0..ENGINES).map(engine_id).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            completions: BinaryHeap::new(),
            snapshots: VecDeque::new(),
            prefix_hits: 0,
            served: 0,
            imbalances: Vec::new(),
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Draws a prefix. The n-th one is requested 1/n times as often as the first; 0 is never drawn,
    /// since it means that a request has no prefix.
    fn draw_prefix(&mut self) -> u64 {
        let log_max = (PREFIXES as f64).ln();
        ((self.rng.random::<f64>() * log_max).exp() as u64).clamp(1, PREFIXES as u64)
    }

    fn choose_engine(&mut self, router: usize, prefix: u64) -> Option<usize> {
        let policy = self.policy;
        let router = &mut self.routers[router];
        match policy {
            Policy::RoundRobin => {
                router.round_robin = (router.round_robin + 1) % ENGINES;
                Some(router.round_robin)
            }
            Policy::LeastReported => {
                let least = router.reported_load.iter().min()?;
                let least_loaded: Vec<usize> =
                    (0..ENGINES).filter(|n| router.reported_load[*n] == *least).collect();
                Some(least_loaded[self.rng.random_range(0..least_loaded.len())])
            }
            Policy::TwoChoicesReported => {
                let first = self.rng.random_range(0..ENGINES);
                let second = (first + self.rng.random_range(1..ENGINES)) % ENGINES;
                [first, second].into_iter().min_by_key(|n| router.reported_load[*n])
            }
            Policy::TwoChoices | Policy::AffinityUnbounded | Policy::TwoChoicesAffinity => {
                let query = RouteQuery {
                    kind: "chat".parse().unwrap(),
                    model: Some("m1".parse().unwrap()),
                    prefix: if policy.uses_prefix() { prefix } else { 0 },
                    exclude: vec![],
                    prompt_tokens: Tokens(1_000),
                };
                let id = router.balancer.pick(self.clock.now(), &query)?.id;
                self.engine_ids.iter().position(|other| *other == id)
            }
        }
    }

    fn arrive(&mut self) {
        let router = self.rng.random_range(0..ROUTERS);
        let prefix = self.draw_prefix();
        // If the policy chooses no engine, the request is queued at a random one, so that all
        // policies serve the same requests.
        let chosen = self.choose_engine(router, prefix);
        let engine = chosen.unwrap_or_else(|| self.rng.random_range(0..ENGINES));
        self.routers[router].balancer.request_started(self.clock.now(), &self.engine_ids[engine]);
        self.engines[engine].queue.push_back((router, prefix));
        self.start_requests(engine);
    }

    fn start_requests(&mut self, engine: usize) {
        while self.engines[engine].running < ENGINE_SLOTS {
            let Some((router, prefix)) = self.engines[engine].queue.pop_front() else { return };
            let hit = self.engines[engine].use_prefix(prefix);
            let now = self.clock.now().as_millis();
            if now >= WARM_UP_MS {
                self.served += 1;
                self.prefix_hits += u64::from(hit);
            }
            let speed = if engine < SLOW_ENGINES { 0.6 } else { 1.0 };
            let saving = if hit { PREFIX_SAVING } else { 0.0 };
            let service_ms = self.exponential(SERVICE_MS * (1.0 - saving) / speed);
            self.completions.push(Reverse((now + 1 + service_ms as u64, engine, router)));
            self.engines[engine].running += 1;
        }
    }

    fn complete_requests(&mut self, now: u64) {
        while let Some(Reverse((at, engine, router))) = self.completions.peek().copied() {
            if at > now {
                return;
            }
            self.completions.pop();
            self.engines[engine].running -= 1;
            self.routers[router].balancer.request_ended(
                self.clock.now(),
                &self.engine_ids[engine],
                Outcome::Ok,
            );
            self.start_requests(engine);
        }
    }

    fn take_snapshots(&mut self, taken_at: u64) {
        for (n, engine) in self.engines.iter_mut().enumerate() {
            let (running, queued) = (engine.running as u32, engine.queue.len() as u32);
            let events = std::mem::take(&mut engine.events);
            self.snapshots.push_back(LoadSnapshot { engine: n, taken_at, running, queued, events });
        }
    }

    fn deliver_reports(&mut self, now: u64) {
        while self.snapshots.front().is_some_and(|snapshot| snapshot.taken_at + self.lag <= now) {
            let Some(snapshot) = self.snapshots.pop_front() else { return };
            let report = LoadReport {
                at: Timestamp::from_millis(snapshot.taken_at),
                in_flight: snapshot.running,
                queued: snapshot.queued,
                ..LoadReport::default()
            };
            let id = &self.engine_ids[snapshot.engine];
            for router in &mut self.routers {
                router.reported_load[snapshot.engine] = snapshot.running + snapshot.queued;
                router.balancer.apply_report(self.clock.now(), id, report.clone());
                for event in &snapshot.events {
                    if self.rng.random_range(0..50) > 0 {
                        router.balancer.apply_cache_event(self.clock.now(), id, *event);
                    }
                }
            }
        }
    }

    fn record_imbalance(&mut self) {
        let max_load = self.engines.iter().map(Engine::load).max().unwrap_or(0);
        let total_load: usize = self.engines.iter().map(Engine::load).sum();
        self.imbalances.push((max_load * ENGINES) as f64 / total_load.max(1) as f64);
    }

    /// Runs the simulation and returns the load imbalance (maximum over mean load of the engines,
    /// averaged over time) and the share of requests whose prefix was cached.
    fn run(mut self) -> (f64, f64) {
        let mut next_arrival = 0.0;
        for now in 0..END_MS {
            self.complete_requests(now);
            self.deliver_reports(now);
            while next_arrival <= now as f64 {
                self.arrive();
                next_arrival += self.exponential(INTERARRIVAL_MS);
            }
            if now % REPORT_INTERVAL_MS == 0 {
                self.take_snapshots(now);
                if now >= WARM_UP_MS {
                    self.record_imbalance();
                }
            }
            self.clock.advance(Millis(1));
        }
        let imbalance = self.imbalances.iter().sum::<f64>() / self.imbalances.len() as f64;
        (imbalance, self.prefix_hits as f64 / self.served as f64)
    }
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Prints the load imbalance and the prefix hit share of each policy at each lag, as one JSON
/// object per line. The baseline is round robin at the same lag.
pub fn run(seed: u64) {
    for (lag, lag_name) in REPORT_LAGS_MS {
        let mut baseline = None;
        for policy in Policy::ALL {
            let result = Fleet::new(policy, lag, seed).run();
            let base = *baseline.get_or_insert(result);
            let figures = [
                ("load_imbalance", "maximum over mean load", result.0, base.0),
                ("prefix_hit_share", "share of requests", result.1, base.1),
            ];
            for (figure, unit, value, base) in figures {
                let line = json!({
                    "figure": format!("{figure}.{}.{lag_name}", policy.name()),
                    "value": round(value),
                    "unit": unit,
                    "baseline": round(base),
                    "target": null,
                    "seed": seed,
                });
                println!("{line}");
            }
        }
    }
}
