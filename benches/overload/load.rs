//! Fleet sizes of two users, kinds of work, and generation of the simulated requests.

use berylwheel_types::Rank;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The size of one user's fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    pub name: &'static str,
    pub routers: usize,
    pub engines: usize,
    pub services: usize,
}

pub const FLEET_SIZES: [FleetSize; 2] = [
    FleetSize { name: "sugandh", routers: 9, engines: 12, services: 3 },
    FleetSize { name: "balise", routers: 9, engines: 18, services: 3 },
];

/// Requests that one engine or one plain service runs concurrently.
pub const ENGINE_SLOTS: usize = 36;
pub const SERVICE_SLOTS: usize = 18;

/// Time of an engine to the first token, and time per token.
pub const PREFILL_MS: u64 = 100;
pub const TOKEN_MS: u64 = 20;

/// Load and limits of one kind of work.
#[derive(Debug, Clone, Copy)]
pub struct KindSpec {
    pub name: &'static str,
    pub rank: Rank,
    pub on_engine: bool,
    /// Offered load without a surge, as a share of the capacity of all engines or services.
    pub offered_load: f64,
    /// Mean number of tokens of a response; for services the mean service time in units of
    /// [`TOKEN_MS`].
    pub mean_tokens: u64,
    pub deadline_ms: u64,
    /// Share of a router's slots that requests of the kind may occupy concurrently.
    pub slot_share: f64,
}

const fn kind(
    name: &'static str,
    rank: Rank,
    on_engine: bool,
    offered_load: f64,
    mean_tokens: u64,
) -> KindSpec {
    KindSpec {
        name,
        rank,
        on_engine,
        offered_load,
        mean_tokens,
        deadline_ms: 30_000,
        slot_share: 0.4,
    }
}

/// The kinds of work. Without a surge they offer 60% of the engines' and 40% of the services'
/// capacity.
pub const KINDS: [KindSpec; 6] = [
    KindSpec { deadline_ms: 8_000, slot_share: 1.0, ..kind("chat", Rank::Urgent, true, 0.20, 120) },
    kind("draft", Rank::Normal, true, 0.12, 250),
    kind("summary", Rank::Normal, true, 0.10, 250),
    KindSpec {
        deadline_ms: 120_000,
        slot_share: 1.0,
        ..kind("bulk", Rank::Batch, true, 0.18, 500)
    },
    KindSpec {
        deadline_ms: 2_000,
        slot_share: 0.7,
        ..kind("lookup", Rank::Urgent, false, 0.25, 2)
    },
    KindSpec {
        deadline_ms: 10_000,
        slot_share: 0.5,
        ..kind("booking", Rank::Normal, false, 0.15, 10)
    },
];

pub const CHAT: usize = 0;
pub const DRAFT: usize = 1;
pub const BULK: usize = 3;
pub const BOOKING: usize = 5;

/// Weights of the ten workspaces. The three largest send 70% of the requests.
pub const WORKSPACE_WEIGHTS: [f64; 10] = [30.0, 25.0, 15.0, 5.0, 5.0, 5.0, 4.0, 4.0, 4.0, 3.0];

/// Start and end of the surge, and the end of arrivals.
pub const SURGE_START_MS: u64 = 30_000;
pub const SURGE_END_MS: u64 = 90_000;
pub const END_MS: u64 = 150_000;

/// The load and the fault of one run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Load factor of all kinds during the whole run.
    pub load_factor: f64,
    /// The index of a kind and its load factor during the surge.
    pub surge: Option<(usize, f64)>,
    /// The index of a kind whose requests get no response if they start during the surge.
    pub hanging_kind: Option<usize>,
    pub workspace_weights: Vec<f64>,
}

impl Scenario {
    pub fn calm() -> Self {
        Self {
            load_factor: 1.0,
            surge: None,
            hanging_kind: None,
            workspace_weights: WORKSPACE_WEIGHTS.to_vec(),
        }
    }
}

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub arrival_ms: u64,
    pub kind_index: usize,
    pub workspace: usize,
    pub router: usize,
    pub tokens: u64,
    /// The requested maximum of tokens. The router does not know the actual number in advance.
    pub max_tokens: u64,
}

impl Request {
    pub fn kind(&self) -> &'static KindSpec {
        &KINDS[self.kind_index]
    }

    pub fn deadline_ms(&self) -> u64 {
        self.arrival_ms + self.kind().deadline_ms
    }

    pub fn first_token_ms(&self) -> u64 {
        if self.kind().on_engine { PREFILL_MS } else { self.service_ms() }
    }

    pub fn service_ms(&self) -> u64 {
        let prefill = if self.kind().on_engine { PREFILL_MS } else { 0 };
        prefill + self.tokens * TOKEN_MS
    }
}

fn pick_weighted(rng: &mut SmallRng, weights: &[f64]) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

/// Returns the requests of a run in order of arrival.
///
/// Each kind has its own random number generator, so that a surge of one kind does not change the
/// requests of the others.
pub fn generate_requests(size: &FleetSize, scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    let weight_factor =
        scenario.workspace_weights.iter().sum::<f64>() / WORKSPACE_WEIGHTS.iter().sum::<f64>();
    for (kind_index, spec) in KINDS.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed * 100 + kind_index as u64);
        let (servers, slots) = match spec.on_engine {
            true => (size.engines, ENGINE_SLOTS),
            false => (size.services, SERVICE_SLOTS),
        };
        let mean_ms =
            (spec.mean_tokens * TOKEN_MS + if spec.on_engine { PREFILL_MS } else { 0 }) as f64;
        let base_rate = spec.offered_load * (servers * slots) as f64 / mean_ms
            * scenario.load_factor
            * weight_factor;
        let mut arrival_ms = 0.0;
        loop {
            let in_surge = (SURGE_START_MS as f64..SURGE_END_MS as f64).contains(&arrival_ms);
            let factor =
                scenario.surge.filter(|(k, _)| in_surge && *k == kind_index).map_or(1.0, |s| s.1);
            arrival_ms += -(1.0 - rng.random::<f64>()).ln() / (base_rate * factor);
            if arrival_ms >= END_MS as f64 {
                break;
            }
            let tokens = (spec.mean_tokens as f64 * rng.random_range(0.5..1.5)).ceil() as u64;
            requests.push(Request {
                arrival_ms: arrival_ms as u64,
                kind_index,
                workspace: pick_weighted(&mut rng, &scenario.workspace_weights),
                router: rng.random_range(0..size.routers),
                tokens,
                max_tokens: (tokens as f64 * rng.random_range(1.0..2.0)).ceil() as u64,
            });
        }
    }
    requests.sort_by_key(|r| r.arrival_ms);
    requests
}
