//! Plays engines of unequal and shifting speed against the previous and the present choice of
//! servers. Time is simulated.
//!
//! A third of the 60 engines each works at 0.6, 1.0 and 1.6 times the usual speed. For 15% of the
//! time, changing every 600 ms, work on a machine takes 2.5 times as long. An engine reads one
//! prompt after the other. Each router sends what it measures to four others a second.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use berylwheel_route::LoadBalancer;
use berylwheel_route::LoadReport;
use berylwheel_route::Outcome;
use berylwheel_route::RoutePolicy;
use berylwheel_route::RouteQuery;
use berylwheel_route::Server;
use berylwheel_route::SpeedUse;
use berylwheel_route::Work;
use berylwheel_route::WorkSample;
use berylwheel_router::extended_limit;
use berylwheel_types::BackendId;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::stable_hash;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ENGINES: usize = 60;
const SLOTS: u32 = 64;
/// Prompt tokens that an engine of the usual speed reads in a millisecond.
const PROMPT_SPEED: f64 = 51.1;
/// Time to generate an answer of 100 tokens at an idle engine of the usual speed.
const ANSWER_MS: f64 = 509.0;
const BASE_MS: f64 = 10.0;
const PREFIXES: u64 = 400;
const CACHED_PREFIXES: usize = 40;
/// Part of a prompt that is not read if its prefix is in the cache.
const PREFIX_SHARE: f64 = 0.5;
const TARGET_MS: u64 = 800;
const DEADLINE_MS: u64 = 12_000;
const ATTEMPTS: u32 = 3;
/// Number of the attempt of a request whose answer has begun.
const ANSWERED: u32 = u32::MAX;
/// Time between arrivals at the whole fleet, which keeps the engines about half busy.
const INTERARRIVAL_MS: f64 = 4.6;
const WARM_UP_MS: u64 = 20_000;
const END_MS: u64 = 60_000;
const SHIFT_MS: u64 = 600;
const SLOW_PERCENT: u64 = 15;
const SLOW_TIMES: f64 = 2.5;

/// A load with engines of unequal speed.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub routers: usize,
    /// Speeds of the engines, in turn.
    pub speeds: [f64; 3],
    /// Whether the machines are slow for 15% of the time.
    pub shifting: bool,
    /// Whether engines state how long work takes on their machine at the moment.
    pub stating: bool,
    pub seed: u64,
}

/// What became of the requests after the warm-up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcomes {
    pub requests: u64,
    pub in_target: u64,
    /// Moves to another server after a silence.
    pub moved: u64,
    /// Prompt tokens of moved requests, which another server reads again.
    pub read_again: u64,
    /// The longest queue of prompts at an engine. Routers that all follow the same news make it long.
    pub longest_queue: usize,
    /// Requests answered by the engines of each speed.
    pub by_speed: [u64; 3],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrival,
    Heartbeat,
    Retry(usize),
    PromptRead { engine: usize, request: usize, attempt: u32 },
    Silent { request: usize, attempt: u32 },
    Answered { engine: usize, request: usize },
}

#[derive(Debug)]
struct Request {
    router: usize,
    prompt: u64,
    prefix: u64,
    arrived: u64,
    sent: u64,
    attempt: u32,
    engine: usize,
    tried: Vec<BackendId>,
}

#[derive(Debug, Default)]
struct Engine {
    reading: Option<usize>,
    queue: VecDeque<usize>,
    generating: u32,
    cached: VecDeque<u64>,
}

struct Play {
    scenario: Scenario,
    now: u64,
    rng: SmallRng,
    /// Separate from `rng`, so that both choices get the same requests.
    peer_rng: SmallRng,
    ids: Vec<BackendId>,
    kind: KindId,
    engines: Vec<Engine>,
    routers: Vec<LoadBalancer>,
    requests: Vec<Request>,
    steps: BinaryHeap<Reverse<(u64, Step)>>,
    outcomes: Outcomes,
}

/// Plays a load. `measured` tells whether routers measure the speed of servers, or choose as before.
pub fn play(scenario: Scenario, measured: bool) -> Outcomes {
    Play::new(scenario, measured).run()
}

impl Play {
    fn new(scenario: Scenario, measured: bool) -> Self {
        let kind: KindId = "chat".parse().expect("a kind");
        let ids: Vec<BackendId> =
            (0..ENGINES).map(|n| format!("engine-{n}").parse().expect("an id")).collect();
        let server = |id: &BackendId| Server {
            id: id.clone(),
            address: "127.0.0.1:9000".parse().expect("an address"),
            kinds: vec![kind.clone()],
            models: vec![],
            concurrency: SLOTS,
            domain: "d1".parse().expect("a domain"),
        };
        let servers: Vec<Server> = ids.iter().map(server).collect();
        // The policy of a router on a platform.
        let policy = RoutePolicy {
            subset_size: usize::MAX,
            affinity_slack: 6.0,
            affinity_homes: 3,
            affinity_first: true,
            slow_start: Millis(1_000),
            probe_rate: 0,
            measure_speed: if measured { SpeedUse::Always } else { SpeedUse::Never },
            ..RoutePolicy::default()
        };
        let router = |n: usize| {
            let name = format!("r{n}").parse().expect("a name");
            let seed = scenario.seed.wrapping_add(n as u64);
            let mut balancer = LoadBalancer::new(name, policy.clone(), seed);
            balancer.set_servers(Timestamp::from_millis(0), servers.clone());
            balancer.set_routers(scenario.routers);
            balancer
        };
        Self {
            scenario,
            now: 0,
            rng: SmallRng::seed_from_u64(scenario.seed),
            peer_rng: SmallRng::seed_from_u64(!scenario.seed),
            routers: (0..scenario.routers).map(router).collect(),
            ids,
            kind,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            steps: BinaryHeap::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn schedule(&mut self, delay: f64, step: Step) {
        self.steps.push(Reverse((self.now + (delay.ceil() as u64).max(1), step)));
    }

    /// Returns how many times as long as usual work takes on a machine at a time.
    fn slowness(&self, engine: usize, ms: u64) -> f64 {
        let phase = [engine as u64, ms / SHIFT_MS, self.scenario.seed].map(|n| n.to_string());
        let draw = stable_hash(&[&phase[0], &phase[1], &phase[2]]) % 100;
        if self.scenario.shifting && draw < SLOW_PERCENT { SLOW_TIMES } else { 1.0 }
    }

    /// Returns the time that work takes from now on, if it would take `usual` at the usual speed.
    fn duration(&self, engine: usize, usual: f64) -> f64 {
        let mut left = usual / self.scenario.speeds[engine % 3];
        let mut ms = self.now;
        loop {
            let end = (ms / SHIFT_MS + 1) * SHIFT_MS;
            let slowness = self.slowness(engine, ms);
            let possible = (end - ms) as f64 / slowness;
            if left <= possible {
                return (ms - self.now) as f64 + left * slowness;
            }
            left -= possible;
            ms = end;
        }
    }

    fn run(mut self) -> Outcomes {
        self.schedule(1.0, Step::Arrival);
        self.schedule(1_000.0, Step::Heartbeat);
        while let Some(Reverse((at, step))) = self.steps.pop() {
            self.now = at;
            match step {
                Step::Arrival => self.arrive(),
                Step::Heartbeat => self.exchange(),
                Step::Retry(request) => self.place(request),
                Step::PromptRead { engine, request, attempt } => {
                    self.prompt_read(engine, request, attempt);
                }
                Step::Silent { request, attempt } => self.handle_silence(request, attempt),
                Step::Answered { engine, request } => self.answered(engine, request),
            }
        }
        self.outcomes
    }

    fn arrive(&mut self) {
        if self.now < END_MS {
            let wait = -INTERARRIVAL_MS * (1.0 - self.rng.random::<f64>()).ln();
            self.steps.push(Reverse((self.now + wait.round() as u64, Step::Arrival)));
        }
        // Prompt lengths from 500 to 30,000 tokens, short ones more often.
        let prompt = (500.0 * 60.0_f64.powf(self.rng.random())) as u64;
        let prefix = ((PREFIXES as f64).powf(self.rng.random()) as u64).max(1);
        self.requests.push(Request {
            router: self.rng.random_range(0..self.routers.len()),
            prompt,
            prefix,
            arrived: self.now,
            sent: self.now,
            attempt: 0,
            engine: 0,
            tried: Vec::new(),
        });
        self.place(self.requests.len() - 1);
    }

    fn query(&self, request: usize) -> RouteQuery {
        let Request { prompt, prefix, tried, .. } = &self.requests[request];
        RouteQuery {
            kind: self.kind.clone(),
            model: None,
            prefix: *prefix,
            exclude: tried.clone(),
            prompt_tokens: Tokens(*prompt),
        }
    }

    fn place(&mut self, request: usize) {
        let (now, query) = (Timestamp::from_millis(self.now), self.query(request));
        let router = &mut self.routers[self.requests[request].router];
        let Some(server) = router.pick(now, &query) else {
            return self.schedule(20.0, Step::Retry(request));
        };
        let expected = router.expected_time(&server.id, &query).map(|expected| expected.first);
        router.request_started(now, &server.id);
        let engine = self.ids.iter().position(|id| *id == server.id).expect("a known engine");
        let state = &mut self.requests[request];
        state.engine = engine;
        state.sent = self.now;
        state.attempt += 1;
        let (attempt, left) =
            (state.attempt, (state.arrived + DEADLINE_MS).saturating_sub(self.now));
        let limit = extended_limit(Millis(2 * TARGET_MS), expected, Millis(left));
        self.schedule(limit.0 as f64, Step::Silent { request, attempt });
        self.engines[engine].queue.push_back(request);
        if self.now >= WARM_UP_MS {
            let length = self.engines[engine].queue.len();
            self.outcomes.longest_queue = self.outcomes.longest_queue.max(length);
        }
        self.read_next(engine);
    }

    fn read_next(&mut self, engine: usize) {
        if self.engines[engine].reading.is_some() {
            return;
        }
        let Some(request) = self.engines[engine].queue.pop_front() else { return };
        let Request { prompt, prefix, attempt, .. } = self.requests[request];
        let cached = &mut self.engines[engine].cached;
        let hit = cached.iter().position(|known| *known == prefix);
        if let Some(index) = hit {
            cached.remove(index);
        }
        cached.push_back(prefix);
        if cached.len() > CACHED_PREFIXES {
            cached.pop_front();
        }
        let unread = if hit.is_some() { 1.0 - PREFIX_SHARE } else { 1.0 };
        let usual = BASE_MS + prompt as f64 * unread / PROMPT_SPEED;
        self.engines[engine].reading = Some(request);
        let duration = self.duration(engine, usual);
        self.schedule(duration, Step::PromptRead { engine, request, attempt });
    }

    fn sample(&self, request: usize, unfinished: bool) -> WorkSample {
        let state = &self.requests[request];
        let stated = (self.slowness(state.engine, self.now) * 100.0) as u32;
        WorkSample {
            work: Work::Prompt(Tokens(state.prompt)),
            took: Millis(self.now - state.sent),
            unfinished,
            stated: (self.scenario.stating && !unfinished).then_some(stated),
        }
    }

    fn prompt_read(&mut self, engine: usize, request: usize, attempt: u32) {
        let state = &self.requests[request];
        if state.attempt != attempt || self.engines[engine].reading != Some(request) {
            return;
        }
        self.engines[engine].reading = None;
        self.engines[engine].generating += 1;
        let (now, id, sample) = (
            Timestamp::from_millis(self.now),
            self.ids[engine].clone(),
            self.sample(request, false),
        );
        let state = &mut self.requests[request];
        state.attempt = ANSWERED;
        let report = LoadReport {
            at: now,
            in_flight: self.engines[engine].generating,
            queued: self.engines[engine].queue.len() as u32,
            ..LoadReport::default()
        };
        let router = &mut self.routers[state.router];
        router.apply_report(now, &id, report);
        router.record_work(now, &id, &self.kind, None, sample);
        if state.arrived >= WARM_UP_MS {
            self.outcomes.requests += 1;
            self.outcomes.in_target += u64::from(self.now - state.arrived <= TARGET_MS);
            self.outcomes.by_speed[engine % 3] += 1;
        }
        let load = f64::from(self.engines[engine].generating) / f64::from(SLOTS);
        let generation = self.duration(engine, ANSWER_MS * (1.0 + load));
        self.schedule(generation, Step::Answered { engine, request });
        self.read_next(engine);
    }

    fn answered(&mut self, engine: usize, request: usize) {
        self.engines[engine].generating -= 1;
        let (now, state) = (Timestamp::from_millis(self.now), &self.requests[request]);
        self.routers[state.router].request_ended(now, &self.ids[engine], Outcome::Ok);
    }

    fn handle_silence(&mut self, request: usize, attempt: u32) {
        let state = &self.requests[request];
        if state.attempt != attempt || attempt >= ATTEMPTS {
            return;
        }
        let (now, engine, number) = (Timestamp::from_millis(self.now), state.engine, state.router);
        let (id, sample) = (self.ids[engine].clone(), self.sample(request, true));
        self.routers[number].record_work(now, &id, &self.kind, None, sample);
        self.requests[request].tried.push(id.clone());
        if !self.routers[number].can_start(now, &self.query(request)) {
            self.requests[request].tried.pop();
            return;
        }
        self.routers[number].request_ended(now, &id, Outcome::TimedOut);
        if self.requests[request].arrived >= WARM_UP_MS {
            self.outcomes.moved += 1;
            self.outcomes.read_again += self.requests[request].prompt;
        }
        self.engines[engine].queue.retain(|queued| *queued != request);
        if self.engines[engine].reading == Some(request) {
            self.engines[engine].reading = None;
            self.read_next(engine);
        }
        self.place(request);
    }

    /// Sends what each router has measured to some others.
    fn exchange(&mut self) {
        if self.now < END_MS {
            self.schedule(1_000.0, Step::Heartbeat);
        }
        let now = Timestamp::from_millis(self.now);
        for from in 0..self.routers.len() {
            let entries = self.routers[from].take_shared_speeds(now);
            for _ in 0..4 {
                let to = self.peer_rng.random_range(0..self.routers.len());
                if to != from {
                    self.routers[to].apply_shared_speeds(now, &entries);
                }
            }
        }
    }
}
