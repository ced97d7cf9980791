//! Measures false refusals: requests refused although the budget had enough unreserved tokens
//! across all routers.

use berylwheel_budget::HolderPolicy;

use crate::fixed_grants;
use crate::fleet::Fleet;
use crate::fleet::RequestState;
use crate::load;
use crate::load::MEAN_USED_TOKENS;
use crate::load::MIN_AMOUNT_TOKENS;
use crate::load::Request;
use crate::load::Workspace;
use crate::report;
use crate::report::Figure;
use crate::report::SEED;

pub const ROUTERS: usize = 9;
const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Tokens of each reservation in [`exhaustion_with_extensions`].
const EXTENSION_TOKENS: u64 = 100;

fn credits(workspaces: &[Workspace], hours: f64) -> Vec<u64> {
    workspaces.iter().map(|w| (w.rate * 3_600.0 * hours * MEAN_USED_TOKENS) as u64).collect()
}

#[derive(Default, Clone, Copy)]
struct Count {
    requests: u64,
    false_refusals: u64,
    small_requests: u64,
    small_refusals: u64,
}

impl Count {
    fn add(&mut self, large: bool, false_refusal: bool) {
        self.requests += 1;
        self.false_refusals += u64::from(false_refusal);
        self.small_requests += u64::from(!large);
        self.small_refusals += u64::from(!large && false_refusal);
    }

    fn share(self) -> f64 {
        self.false_refusals as f64 / self.requests.max(1) as f64
    }

    fn small_share(self) -> f64 {
        self.small_refusals as f64 / self.small_requests.max(1) as f64
    }
}

fn print_shares(scenario: &str, measured: Count, baseline: Count, target: f64) {
    let figure = |name: &str, value, baseline| Figure {
        name: format!("{name}.{scenario}"),
        value,
        unit: "share",
        baseline: Some(baseline),
        target: Some(target),
    };
    report::print(figure("false_refusal_share", measured.share(), baseline.share()));
    let small = figure("small_false_refusal_share", measured.small_share(), baseline.small_share());
    report::print(small);
}

/// Counts the requests that `selected` accepts by index, and their false refusals.
fn count(
    requests: &[Request],
    workspaces: &[Workspace],
    selected: impl Fn(usize) -> bool,
    is_false: impl Fn(usize) -> bool,
) -> Count {
    let mut count = Count::default();
    for (n, request) in requests.iter().enumerate().filter(|(n, _)| selected(*n)) {
        count.add(workspaces[request.workspace].large, is_false(n));
    }
    count
}

fn is_false_refusal(fleet: &Fleet, n: usize) -> bool {
    matches!(fleet.request_states[n], RequestState::Refused { false_refusal: true, .. })
}

/// Runs one hour without faults, on budgets that cover a day.
fn without_faults() {
    let workspaces = load::workspaces();
    let credits = credits(&workspaces, 24.0);
    let requests = load::requests(&workspaces, ROUTERS, HOUR_MS, SEED);
    let baseline = fixed_grants::run(&requests, &credits, ROUTERS);
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    fleet.schedule_requests(requests);
    fleet.run(HOUR_MS + MINUTE_MS, &mut |_, _| {});
    let measured = count(&fleet.requests, &workspaces, |_| true, |n| is_false_refusal(&fleet, n));
    let baseline_count =
        count(&fleet.requests, &workspaces, |_| true, |n| baseline[n] == Some(true));
    print_shares("calm", measured, baseline_count, 0.001);
}

/// Returns workspaces whose callers each connect to only three routers.
fn pinned_workspaces() -> Vec<Workspace> {
    let pin = |(n, workspace): (usize, Workspace)| Workspace {
        homes: (0..3).map(|home| (n + home * ROUTERS / 3) % ROUTERS).collect(),
        ..workspace
    };
    load::workspaces().into_iter().enumerate().map(pin).collect()
}

/// Runs one hour and then an hour of store outage, which begins when the budgets cover two more
/// hours.
fn outage(scenario: &str, workspaces: &[Workspace]) {
    let credits = credits(workspaces, 3.0);
    let requests = load::requests(workspaces, ROUTERS, 2 * HOUR_MS, SEED);
    let baseline = fixed_grants::run(&requests, &credits, ROUTERS);
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    fleet.schedule_requests(requests);
    fleet.run(HOUR_MS, &mut |_, _| {});
    fleet.store_available = false;
    fleet.run(2 * HOUR_MS + MINUTE_MS, &mut |_, _| {});
    let during_outage = |n: usize| fleet.requests[n].at >= HOUR_MS;
    let measured =
        count(&fleet.requests, workspaces, during_outage, |n| is_false_refusal(&fleet, n));
    let baseline_count =
        count(&fleet.requests, workspaces, during_outage, |n| baseline[n] == Some(true));
    print_shares(scenario, measured, baseline_count, 0.01);
}

/// Spends the last 5% of a budget for ten hours, until it covers no further request.
fn exhaustion(scenario: &str, workspaces: &[Workspace]) {
    let credits = credits(workspaces, 0.5);
    let requests = load::requests(workspaces, ROUTERS, HOUR_MS, SEED);
    let baseline = fixed_grants::run(&requests, &credits, ROUTERS);
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    fleet.schedule_requests(requests);
    let mut spent = vec![0; workspaces.len()];
    let mut counted = Vec::new();
    let mut unspent = credits.clone();
    fleet.run(HOUR_MS + MINUTE_MS, &mut |fleet, n| {
        let Request { workspace, used, .. } = fleet.requests[n];
        if fleet.request_states[n] == RequestState::Served {
            spent[workspace] += used;
            unspent[workspace] -= used;
        }
        if unspent[workspace] >= MIN_AMOUNT_TOKENS {
            counted.push(n);
        }
    });
    counted.sort_unstable();
    let is_counted = |n: usize| counted.binary_search(&n).is_ok();
    let measured = count(&fleet.requests, workspaces, is_counted, |n| is_false_refusal(&fleet, n));
    let baseline_count =
        count(&fleet.requests, workspaces, is_counted, |n| baseline[n] == Some(true));
    print_shares(scenario, measured, baseline_count, 0.02);
    let total_unspent: u64 = unspent.iter().sum();
    report::print(Figure {
        name: format!("unspent_share.{scenario}"),
        value: total_unspent as f64 / credits.iter().sum::<u64>() as f64,
        unit: "share",
        baseline: None,
        target: None,
    });
}

/// Spends the same last 5% with reservations that are extended during the stream.
///
/// Each part of a stream is a separate reservation; the stream is cut off when one is refused.
fn exhaustion_with_extensions() {
    let workspaces = load::workspaces();
    let credits = credits(&workspaces, 0.5);
    let requests = load::requests(&workspaces, ROUTERS, HOUR_MS, SEED);
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    // For each part: the index of the stream, and the tokens that remain after the part.
    let mut parts: Vec<(usize, u64)> = Vec::new();
    for (stream, request) in requests.iter().enumerate() {
        let first = request.used.min(EXTENSION_TOKENS);
        let duration = 500 + 5 * first;
        fleet.schedule_request(Request {
            amount: EXTENSION_TOKENS,
            used: first,
            duration,
            ..*request
        });
        parts.push((stream, request.used - first));
    }
    let mut unspent = credits.clone();
    let mut count = Count::default();
    let mut cut_streams = 0u64;
    fleet.run(HOUR_MS + 10 * MINUTE_MS, &mut |fleet, n| {
        let (stream, remaining) = parts[n];
        let part = fleet.requests[n];
        let large = workspaces[part.workspace].large;
        let first = n < requests.len();
        match fleet.request_states[n] {
            RequestState::Served => {
                unspent[part.workspace] -= part.used;
                if first {
                    count.add(large, false);
                }
                if remaining > 0 {
                    let used = remaining.min(EXTENSION_TOKENS);
                    let at = fleet.elapsed();
                    fleet.schedule_request(Request { at, used, duration: 5 * used, ..part });
                    parts.push((stream, remaining - used));
                }
            }
            RequestState::Refused { false_refusal, .. }
                if first && unspent[part.workspace] >= EXTENSION_TOKENS =>
            {
                count.add(large, false_refusal);
            }
            RequestState::Refused { .. } => cut_streams += u64::from(!first),
            _ => {}
        }
    });
    report::print(Figure {
        name: "false_refusal_share.last_extended".into(),
        value: count.share(),
        unit: "share",
        baseline: None,
        target: None,
    });
    report::print(Figure {
        name: "answers_cut_share.last_extended".into(),
        value: cut_streams as f64 / count.requests.max(1) as f64,
        unit: "share",
        baseline: Some(0.0),
        target: Some(0.0),
    });
}

pub fn run() {
    without_faults();
    outage("outage", &load::workspaces());
    outage("outage_pinned", &pinned_workspaces());
    exhaustion("last", &load::workspaces());
    exhaustion("last_pinned", &pinned_workspaces());
    exhaustion_with_extensions();
}
