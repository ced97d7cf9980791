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
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

const ROUTERS: usize = 8;
const ENGINES: usize = 18;
const SLOW_ENGINES: usize = 3;
const SLOTS: usize = 32;
const PREFIXES: usize = 400;
const CACHE_SIZE: usize = 40;

/// Mean service time of a request at an engine of full speed, and the share of it that a cached
/// prefix saves.
const SERVICE_MS: f64 = 2_000.0;
const PREFIX_SAVING: f64 = 0.3;

/// Mean time between arrivals at the whole fleet, about 60% of its capacity without cache hits.
const ARRIVAL_MS: f64 = 6.2;

const REPORT_EVERY: u64 = 100;
const WARM_UP: u64 = 30_000;
const END: u64 = 120_000;

/// Delays of reports in milliseconds, with their names in the figures.
const LAGS: [(u64, &str); 3] = [(100, "0.1s"), (1_000, "1s"), (5_000, "5s")];

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

    fn publish(&mut self, prefix: u64, held: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent { sequence: self.sequence, prefix, cached: held });
    }

    /// Marks a prefix as the most recently used and returns whether it was cached.
    fn touch(&mut self, prefix: u64) -> bool {
        let place = self.cache.iter().position(|p| *p == prefix);
        if let Some(place) = place {
            self.cache.remove(place);
        } else {
            self.publish(prefix, true);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE_SIZE
            && let Some(oldest) = self.cache.pop_front()
        {
            self.publish(oldest, false);
        }
        place.is_some()
    }
}

/// The load of an engine at one time and its cache events since the previous report.
#[derive(Debug)]
struct News {
    engine: usize,
    taken: u64,
    running: u32,
    queued: u32,
    events: Vec<CacheEvent>,
}

/// One router: its [`LoadBalancer`], and the state of the policies that do not use it.
struct Router {
    routes: LoadBalancer,
    reported: Vec<u32>,
    turn: usize,
}

struct Fleet {
    policy: Policy,
    lag: u64,
    clock: ManualClock,
    random: SmallRng,
    ids: Vec<BackendId>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    /// Completions of running requests: time, engine, router.
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    news: VecDeque<News>,
    hits: u64,
    served: u64,
    ratios: Vec<f64>,
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
            concurrency: SLOTS as u32,
            domain: "d1".parse().unwrap(),
        };
        let router = |n: usize| {
            let mut rules = RoutePolicy::default();
            if policy == Policy::AffinityUnbounded {
                rules.affinity_bound = f64::MAX;
            }
            let me = format!("r{n}").parse().unwrap();
            let mut routes = LoadBalancer::new(me, rules, seed.wrapping_add(n as u64));
            routes.set_servers(clock.now(), (0..ENGINES).map(server).collect());
            routes.set_routers(ROUTERS);
            Router { routes, reported: vec![0; ENGINES], turn: n * ENGINES / ROUTERS }
        };
        Self {
            policy,
            lag,
            routers: (0..ROUTERS).map(router).collect(),
            clock,
            random: SmallRng::seed_from_u64(seed),
            ids: (0..ENGINES).map(engine_id).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            ends: BinaryHeap::new(),
            news: VecDeque::new(),
            hits: 0,
            served: 0,
            ratios: Vec::new(),
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    /// Draws a prefix. The n-th one is requested 1/n times as often as the first; 0 is never drawn,
    /// since it means that a request has no prefix.
    fn prefix(&mut self) -> u64 {
        let top = (PREFIXES as f64).ln();
        ((self.random.random::<f64>() * top).exp() as u64).clamp(1, PREFIXES as u64)
    }

    fn choose(&mut self, router: usize, prefix: u64) -> Option<usize> {
        let policy = self.policy;
        let router = &mut self.routers[router];
        match policy {
            Policy::RoundRobin => {
                router.turn = (router.turn + 1) % ENGINES;
                Some(router.turn)
            }
            Policy::LeastReported => {
                let least = router.reported.iter().min()?;
                let equal: Vec<usize> =
                    (0..ENGINES).filter(|n| router.reported[*n] == *least).collect();
                Some(equal[self.random.random_range(0..equal.len())])
            }
            Policy::TwoChoicesReported => {
                let one = self.random.random_range(0..ENGINES);
                let two = (one + self.random.random_range(1..ENGINES)) % ENGINES;
                [one, two].into_iter().min_by_key(|n| router.reported[*n])
            }
            Policy::TwoChoices | Policy::AffinityUnbounded | Policy::TwoChoicesAffinity => {
                let ask = RouteQuery {
                    kind: "chat".parse().unwrap(),
                    model: Some("m1".parse().unwrap()),
                    prefix: if policy.uses_prefix() { prefix } else { 0 },
                    exclude: vec![],
                };
                let id = router.routes.pick(self.clock.now(), &ask)?.id;
                self.ids.iter().position(|other| *other == id)
            }
        }
    }

    fn arrive(&mut self) {
        let router = self.random.random_range(0..ROUTERS);
        let prefix = self.prefix();
        // If the policy chooses no engine, the request is queued at a random one, so that all
        // policies serve the same requests.
        let chosen = self.choose(router, prefix);
        let engine = chosen.unwrap_or_else(|| self.random.random_range(0..ENGINES));
        self.routers[router].routes.request_started(self.clock.now(), &self.ids[engine]);
        self.engines[engine].queue.push_back((router, prefix));
        self.start(engine);
    }

    fn start(&mut self, engine: usize) {
        while self.engines[engine].running < SLOTS {
            let Some((router, prefix)) = self.engines[engine].queue.pop_front() else { return };
            let hit = self.engines[engine].touch(prefix);
            let now = self.clock.now().as_millis();
            if now >= WARM_UP {
                self.served += 1;
                self.hits += u64::from(hit);
            }
            let speed = if engine < SLOW_ENGINES { 0.6 } else { 1.0 };
            let saved = if hit { PREFIX_SAVING } else { 0.0 };
            let span = self.exponential(SERVICE_MS * (1.0 - saved) / speed);
            self.ends.push(Reverse((now + 1 + span as u64, engine, router)));
            self.engines[engine].running += 1;
        }
    }

    fn end_due(&mut self, now: u64) {
        while let Some(Reverse((at, engine, router))) = self.ends.peek().copied() {
            if at > now {
                return;
            }
            self.ends.pop();
            self.engines[engine].running -= 1;
            self.routers[router].routes.request_ended(
                self.clock.now(),
                &self.ids[engine],
                Outcome::Ok,
            );
            self.start(engine);
        }
    }

    fn take_news(&mut self, taken: u64) {
        for (n, engine) in self.engines.iter_mut().enumerate() {
            let (running, queued) = (engine.running as u32, engine.queue.len() as u32);
            let events = std::mem::take(&mut engine.events);
            self.news.push_back(News { engine: n, taken, running, queued, events });
        }
    }

    fn deliver_due(&mut self, now: u64) {
        while self.news.front().is_some_and(|news| news.taken + self.lag <= now) {
            let Some(news) = self.news.pop_front() else { return };
            let report = LoadReport {
                at: Timestamp::from_millis(news.taken),
                in_flight: news.running,
                queued: news.queued,
                ..LoadReport::default()
            };
            let id = &self.ids[news.engine];
            for router in &mut self.routers {
                router.reported[news.engine] = news.running + news.queued;
                router.routes.apply_report(self.clock.now(), id, report.clone());
                for event in &news.events {
                    if self.random.random_range(0..50) > 0 {
                        router.routes.apply_cache_event(self.clock.now(), id, *event);
                    }
                }
            }
        }
    }

    fn sample(&mut self) {
        let most = self.engines.iter().map(Engine::load).max().unwrap_or(0);
        let all: usize = self.engines.iter().map(Engine::load).sum();
        self.ratios.push((most * ENGINES) as f64 / all.max(1) as f64);
    }

    /// Runs the simulation and returns the load imbalance (maximum over mean load of the engines,
    /// averaged over time) and the share of requests whose prefix was cached.
    fn run(mut self) -> (f64, f64) {
        let mut next = 0.0;
        for now in 0..END {
            self.end_due(now);
            self.deliver_due(now);
            while next <= now as f64 {
                self.arrive();
                next += self.exponential(ARRIVAL_MS);
            }
            if now % REPORT_EVERY == 0 {
                self.take_news(now);
                if now >= WARM_UP {
                    self.sample();
                }
            }
            self.clock.advance(Millis(1));
        }
        let imbalance = self.ratios.iter().sum::<f64>() / self.ratios.len() as f64;
        (imbalance, self.hits as f64 / self.served as f64)
    }
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Prints the load imbalance and the prefix hit share of each policy at each lag, as one JSON
/// object per line. The baseline is round robin at the same lag.
pub fn run(seed: u64) {
    for (lag, lag_name) in LAGS {
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
                    "value": rounded(value),
                    "unit": unit,
                    "baseline": rounded(base),
                    "target": null,
                    "seed": seed,
                });
                println!("{line}");
            }
        }
    }
}
