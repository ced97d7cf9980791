//! Generation of the request load.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A workspace with one budget.
#[derive(Debug, Clone)]
pub struct Workspace {
    pub large: bool,
    /// Requests per second over the whole fleet.
    pub rate: f64,
    /// Routers that receive its requests; all routers if empty.
    pub homes: Vec<usize>,
}

/// A request. Times are in milliseconds; `amount` is the reservation and `used` the usage in
/// tokens.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub at: u64,
    pub router: usize,
    pub workspace: usize,
    pub amount: u64,
    pub used: u64,
    pub duration: u64,
}

/// Expected usage of a request in tokens, from the distributions in [`requests`].
pub const MEAN_USED_TOKENS: f64 = 275.0 + 550.0 * 0.6;

/// Smallest reservation that [`requests`] generates, in tokens.
pub const MIN_AMOUNT_TOKENS: u64 = 150;

/// Returns ten workspaces, of which three have a high request rate.
pub fn workspaces() -> Vec<Workspace> {
    let rate = |n: usize| if n < 3 { 2.0 + n as f64 } else { 0.02 * (n - 2) as f64 };
    (0..10).map(|n| Workspace { large: n < 3, rate: rate(n), homes: Vec::new() }).collect()
}

/// Generates Poisson arrivals over `span` milliseconds, sorted by time.
pub fn requests(workspaces: &[Workspace], routers: usize, span: u64, seed: u64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (workspace, settings) in workspaces.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at += -uniform.ln() * 1_000.0 / settings.rate;
            if at >= span as f64 {
                break;
            }
            let prompt = rng.random_range(50..=500);
            let max_output = rng.random_range(100..=1_000);
            let used = prompt + (max_output as f64 * rng.random_range(0.2..1.0)) as u64;
            let router = match settings.homes.as_slice() {
                [] => rng.random_range(0..routers),
                homes => homes[rng.random_range(0..homes.len())],
            };
            requests.push(Request {
                at: at as u64,
                router,
                workspace,
                amount: prompt + max_output,
                used,
                duration: 500 + 5 * used,
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
