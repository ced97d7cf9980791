//! Fleet sizes of two users, kinds of work, and generation of the simulated requests.

use berylwheel_types::Rank;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The size of one user's fleet.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub name: &'static str,
    pub routers: usize,
    pub engines: usize,
    pub services: usize,
}

pub const SIZES: [Size; 2] = [
    Size { name: "sugandh", routers: 9, engines: 12, services: 3 },
    Size { name: "balise", routers: 9, engines: 18, services: 3 },
];

/// Requests that one engine or one plain service runs concurrently.
pub const ENGINE_SLOTS: usize = 36;
pub const SERVICE_SLOTS: usize = 18;

/// Time of an engine to the first token, and time per token.
pub const PREFILL_MS: u64 = 100;
pub const TOKEN_MS: u64 = 20;

/// Load and limits of one kind of work.
#[derive(Debug, Clone, Copy)]
pub struct KindOf {
    pub name: &'static str,
    pub rank: Rank,
    pub engine: bool,
    /// Offered load without a surge, as a share of the capacity of all engines or services.
    pub share: f64,
    /// Mean number of tokens of a response; for services the mean service time in units of
    /// [`TOKEN_MS`].
    pub tokens: u64,
    pub deadline_ms: u64,
    /// Share of a router's slots that requests of the kind may occupy concurrently.
    pub bound: f64,
}

const fn kind(name: &'static str, rank: Rank, engine: bool, share: f64, tokens: u64) -> KindOf {
    KindOf { name, rank, engine, share, tokens, deadline_ms: 30_000, bound: 0.4 }
}

/// The kinds of work. Without a surge they offer 60% of the engines' and 40% of the services'
/// capacity.
pub const KINDS: [KindOf; 6] = [
    KindOf { deadline_ms: 8_000, bound: 1.0, ..kind("chat", Rank::Urgent, true, 0.20, 120) },
    kind("draft", Rank::Normal, true, 0.12, 250),
    kind("summary", Rank::Normal, true, 0.10, 250),
    KindOf { deadline_ms: 120_000, bound: 1.0, ..kind("bulk", Rank::Batch, true, 0.18, 500) },
    KindOf { deadline_ms: 2_000, bound: 0.7, ..kind("lookup", Rank::Urgent, false, 0.25, 2) },
    KindOf { deadline_ms: 10_000, bound: 0.5, ..kind("booking", Rank::Normal, false, 0.15, 10) },
];

pub const CHAT: usize = 0;
pub const DRAFT: usize = 1;
pub const BULK: usize = 3;
pub const BOOKING: usize = 5;

/// Weights of the ten workspaces. The three largest send 70% of the requests.
pub const WORKSPACES: [f64; 10] = [30.0, 25.0, 15.0, 5.0, 5.0, 5.0, 4.0, 4.0, 4.0, 3.0];

/// Start and end of the surge, and the end of arrivals.
pub const SURGE: u64 = 30_000;
pub const AFTER: u64 = 90_000;
pub const END: u64 = 150_000;

/// The load and the fault of one run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Load factor of all kinds during the whole run.
    pub factor: f64,
    /// The index of a kind and its load factor during the surge.
    pub surge: Option<(usize, f64)>,
    /// The index of a kind whose requests get no response if they start during the surge.
    pub hang: Option<usize>,
    pub workspaces: Vec<f64>,
}

impl Scenario {
    pub fn calm() -> Self {
        Self { factor: 1.0, surge: None, hang: None, workspaces: WORKSPACES.to_vec() }
    }
}

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub at: u64,
    pub kind: usize,
    pub workspace: usize,
    pub router: usize,
    pub tokens: u64,
    /// The requested maximum of tokens. The router does not know the actual number in advance.
    pub cost: u64,
}

impl Request {
    pub fn kind(&self) -> &'static KindOf {
        &KINDS[self.kind]
    }

    pub fn deadline(&self) -> u64 {
        self.at + self.kind().deadline_ms
    }

    pub fn first_ms(&self) -> u64 {
        if self.kind().engine { PREFILL_MS } else { self.service_ms() }
    }

    pub fn service_ms(&self) -> u64 {
        let prefill = if self.kind().engine { PREFILL_MS } else { 0 };
        prefill + self.tokens * TOKEN_MS
    }
}

fn pick_weighted(rng: &mut SmallRng, weights: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

/// Returns the requests of a run in order of arrival.
///
/// Each kind has its own random number generator, so that a surge of one kind does not change the
/// requests of the others.
pub fn arrivals(size: &Size, scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    let weight = scenario.workspaces.iter().sum::<f64>() / WORKSPACES.iter().sum::<f64>();
    for (kind, of) in KINDS.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed * 100 + kind as u64);
        let (servers, slots) = match of.engine {
            true => (size.engines, ENGINE_SLOTS),
            false => (size.services, SERVICE_SLOTS),
        };
        let mean_ms = (of.tokens * TOKEN_MS + if of.engine { PREFILL_MS } else { 0 }) as f64;
        let calm = of.share * (servers * slots) as f64 / mean_ms * scenario.factor * weight;
        let mut at = 0.0;
        loop {
            let surge = (SURGE as f64..AFTER as f64).contains(&at);
            let factor = scenario.surge.filter(|(k, _)| surge && *k == kind).map_or(1.0, |s| s.1);
            at += -(1.0 - rng.random::<f64>()).ln() / (calm * factor);
            if at >= END as f64 {
                break;
            }
            let tokens = (of.tokens as f64 * rng.random_range(0.5..1.5)).ceil() as u64;
            requests.push(Request {
                at: at as u64,
                kind,
                workspace: pick_weighted(&mut rng, &scenario.workspaces),
                router: rng.random_range(0..size.routers),
                tokens,
                cost: (tokens as f64 * rng.random_range(1.0..2.0)).ceil() as u64,
            });
        }
    }
    requests.sort_by_key(|r| r.at);
    requests
}
