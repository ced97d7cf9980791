//! Selection among the servers that are eligible for a request.

use std::cmp::Reverse;

use berylwheel_types::stable_hash;

use crate::RoutePolicy;
use crate::state::ServerState;

/// Time that an idle server takes for a request, relative to what its load adds to it once the server
/// is full. A full server takes about twice as long as an idle one.
const IDLE_TIME: f64 = 1.0;
/// Maximum factor of a server that prefix affinity chooses, relative to the least factor of the
/// prefix's homes. Reading a prefix again at a server that is faster than that costs less.
const AFFINITY_FACTOR: f64 = 2.5;

/// One in this many choices ignores the measured factors. Of idle servers the slowest would otherwise
/// get no work at all, so that nothing would be learned of its recovery until the evidence has aged.
const UNMEASURED_CHOICES: u64 = 8;

/// An eligible server with its estimated load.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub state: &'a ServerState,
    /// Estimated number of requests at the server, from all routers.
    pub load: f64,
    /// Concurrency limit, reduced during slow start, and divided by `factor`.
    pub capacity: f64,
    /// How much longer than expected the server takes for such requests.
    pub factor: f64,
    /// Whether the server can take one more request.
    pub has_room: bool,
}

impl Candidate<'_> {
    /// Returns the load relative to capacity after one more request.
    fn relative_load(&self) -> f64 {
        (self.load + 1.0) / self.capacity
    }

    /// Returns the time that the server is expected to take, relative to that of an idle server with
    /// a factor of 1. Servers with the same factor differ by their load only.
    fn relative_time(&self) -> f64 {
        self.factor * IDLE_TIME + self.relative_load()
    }

    /// Returns the load as if the server had a factor of 1.
    fn unmeasured_load(&self) -> f64 {
        self.relative_load() / self.factor
    }
}

/// Selects a candidate that has room.
///
/// Prefers a server that has cached the prefix, then one of the prefix's home servers, as long as
/// its load is within the affinity bound. Otherwise takes the one of two random candidates with the
/// shorter expected time. `draws` are the random numbers for these.
pub(crate) fn choose<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    prefix: u64,
    policy: &RoutePolicy,
    draws: [u64; 2],
) -> Option<&'b Candidate<'a>> {
    let measured = !(draws[0] >> 32).is_multiple_of(UNMEASURED_CHOICES);
    if prefix != 0
        && let Some(chosen) = choose_by_prefix(candidates, prefix, policy, measured)
    {
        return Some(chosen);
    }
    let available: Vec<&Candidate> = candidates.iter().filter(|c| c.has_room).collect();
    choose_by_load(&available, draws, measured)
}

fn choose_by_load<'a, 'b>(
    available: &[&'b Candidate<'a>],
    draws: [u64; 2],
    measured: bool,
) -> Option<&'b Candidate<'a>> {
    if available.len() < 2 {
        return available.first().copied();
    }
    let index_below = |draw: u64, count: usize| (draw % count as u64) as usize;
    let first = index_below(draws[0], available.len());
    let second = (first + 1 + index_below(draws[1], available.len() - 1)) % available.len();
    let (first, second) = (available[first], available[second]);
    let cost = |c: &Candidate| if measured { c.relative_time() } else { c.unmeasured_load() };
    Some(if cost(second) < cost(first) { second } else { first })
}

fn choose_by_prefix<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    prefix: u64,
    policy: &RoutePolicy,
    measured: bool,
) -> Option<&'b Candidate<'a>> {
    let load: f64 = candidates.iter().map(|c| c.load).sum();
    let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
    // Rounded up so that an idle server can always take one request.
    let bound = |c: &Candidate| {
        let limit = (policy.affinity_bound * (load + 1.0) * c.capacity / capacity).ceil();
        limit + policy.affinity_slack
    };
    let fits = |c: &&Candidate| c.has_room && c.load + 1.0 <= bound(c);

    let text = format!("{prefix:x}");
    let mut homes: Vec<(u64, &Candidate)> =
        candidates.iter().map(|c| (stable_hash(&[&text, c.state.server.id.as_str()]), c)).collect();
    homes.sort_unstable_by_key(|(score, _)| Reverse(*score));
    homes.truncate(policy.affinity_homes);
    let least_factor = homes.iter().map(|(_, c)| c.factor).fold(f64::MAX, f64::min);
    let limit = if measured { least_factor * AFFINITY_FACTOR } else { f64::MAX };
    let fits = |c: &&Candidate| fits(c) && c.factor <= limit;

    let cached = candidates
        .iter()
        .filter(|c| c.state.cached.contains(prefix))
        .filter(fits)
        .min_by(|a, b| a.relative_time().total_cmp(&b.relative_time()));
    if cached.is_some() {
        return cached;
    }
    let mut homes = homes.into_iter().map(|(_, c)| c).filter(fits);
    if policy.affinity_first {
        return homes.next();
    }
    homes.min_by(|a, b| a.relative_time().total_cmp(&b.relative_time()))
}
