//! Measures false refusals: requests refused although the budget had enough unreserved tokens
//! across all routers.

use berylwheel_budget::HolderPolicy;

use crate::fixed;
use crate::fleet::Fate;
use crate::fleet::Fleet;
use crate::load;
use crate::load::LEAST_AMOUNT;
use crate::load::MEAN_USED;
use crate::load::Request;
use crate::load::Workspace;
use crate::report;
use crate::report::Figure;
use crate::report::SEED;

pub const ROUTERS: usize = 9;
const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;

/// Tokens of each reservation in [`last_extended`].
const EXTENSION: u64 = 100;

fn credits(workspaces: &[Workspace], hours: f64) -> Vec<u64> {
    workspaces.iter().map(|w| (w.rate * 3_600.0 * hours * MEAN_USED) as u64).collect()
}

#[derive(Default, Clone, Copy)]
struct Count {
    requests: u64,
    falsely: u64,
    small: u64,
    small_falsely: u64,
}

impl Count {
    fn add(&mut self, large: bool, falsely: bool) {
        self.requests += 1;
        self.falsely += u64::from(falsely);
        self.small += u64::from(!large);
        self.small_falsely += u64::from(!large && falsely);
    }

    fn share(self) -> f64 {
        self.falsely as f64 / self.requests.max(1) as f64
    }

    fn small_share(self) -> f64 {
        self.small_falsely as f64 / self.small.max(1) as f64
    }
}

fn print(scenario: &str, ours: Count, baseline: Count, target: f64) {
    let figure = |name: &str, value, baseline| Figure {
        name: format!("{name}.{scenario}"),
        value,
        unit: "share",
        baseline: Some(baseline),
        target: Some(target),
    };
    report::print(figure("false_refusal_share", ours.share(), baseline.share()));
    let small = figure("small_false_refusal_share", ours.small_share(), baseline.small_share());
    report::print(small);
}

/// Counts the requests that `selected` accepts by index, and their false refusals.
fn count(
    requests: &[Request],
    workspaces: &[Workspace],
    counts: impl Fn(usize) -> bool,
    falsely: impl Fn(usize) -> bool,
) -> Count {
    let mut count = Count::default();
    for (n, request) in requests.iter().enumerate().filter(|(n, _)| counts(*n)) {
        count.add(workspaces[request.workspace].large, falsely(n));
    }
    count
}

fn refused_falsely(fleet: &Fleet, n: usize) -> bool {
    matches!(fleet.fates[n], Fate::Refused { falsely: true, .. })
}

/// Runs one hour without faults, on budgets that cover a day.
fn calm() {
    let workspaces = load::workspaces();
    let credits = credits(&workspaces, 24.0);
    let requests = load::requests(&workspaces, ROUTERS, HOUR, SEED);
    let baseline = fixed::run(&requests, &credits, ROUTERS);
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    fleet.add_all(requests);
    fleet.run(HOUR + MINUTE, &mut |_, _| {});
    let ours = count(&fleet.requests, &workspaces, |_| true, |n| refused_falsely(&fleet, n));
    let base = count(&fleet.requests, &workspaces, |_| true, |n| baseline[n] == Some(true));
    print("calm", ours, base, 0.001);
}

/// Returns workspaces whose callers each connect to only three routers.
fn pinned() -> Vec<Workspace> {
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
    let requests = load::requests(workspaces, ROUTERS, 2 * HOUR, SEED);
    let baseline = fixed::run(&requests, &credits, ROUTERS);
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    fleet.add_all(requests);
    fleet.run(HOUR, &mut |_, _| {});
    fleet.store_up = false;
    fleet.run(2 * HOUR + MINUTE, &mut |_, _| {});
    let late = |n: usize| fleet.requests[n].at >= HOUR;
    let ours = count(&fleet.requests, workspaces, late, |n| refused_falsely(&fleet, n));
    let base = count(&fleet.requests, workspaces, late, |n| baseline[n] == Some(true));
    print(scenario, ours, base, 0.01);
}

/// Spends the last 5% of a budget for ten hours, until it covers no further request.
fn last(scenario: &str, workspaces: &[Workspace]) {
    let credits = credits(workspaces, 0.5);
    let requests = load::requests(workspaces, ROUTERS, HOUR, SEED);
    let baseline = fixed::run(&requests, &credits, ROUTERS);
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    fleet.add_all(requests);
    let mut spent = vec![0; workspaces.len()];
    let mut counts = Vec::new();
    let mut unspent = credits.clone();
    fleet.run(HOUR + MINUTE, &mut |fleet, n| {
        let Request { workspace, used, .. } = fleet.requests[n];
        if fleet.fates[n] == Fate::Served {
            spent[workspace] += used;
            unspent[workspace] -= used;
        }
        if unspent[workspace] >= LEAST_AMOUNT {
            counts.push(n);
        }
    });
    counts.sort_unstable();
    let counted = |n: usize| counts.binary_search(&n).is_ok();
    let ours = count(&fleet.requests, workspaces, counted, |n| refused_falsely(&fleet, n));
    let base = count(&fleet.requests, workspaces, counted, |n| baseline[n] == Some(true));
    print(scenario, ours, base, 0.02);
    let left: u64 = unspent.iter().sum();
    report::print(Figure {
        name: format!("unspent_share.{scenario}"),
        value: left as f64 / credits.iter().sum::<u64>() as f64,
        unit: "share",
        baseline: None,
        target: None,
    });
}

/// Spends the same last 5% with reservations that are extended during the stream.
///
/// Each part of a stream is a separate reservation; the stream is cut off when one is refused.
fn last_extended() {
    let workspaces = load::workspaces();
    let credits = credits(&workspaces, 0.5);
    let requests = load::requests(&workspaces, ROUTERS, HOUR, SEED);
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    // For each part: the index of the stream, and the tokens that remain after the part.
    let mut parts: Vec<(usize, u64)> = Vec::new();
    for (stream, request) in requests.iter().enumerate() {
        let first = request.used.min(EXTENSION);
        let duration = 500 + 5 * first;
        fleet.add(Request { amount: EXTENSION, used: first, duration, ..*request });
        parts.push((stream, request.used - first));
    }
    let mut unspent = credits.clone();
    let mut count = Count::default();
    let mut cut = 0u64;
    fleet.run(HOUR + 10 * MINUTE, &mut |fleet, n| {
        let (stream, rest) = parts[n];
        let part = fleet.requests[n];
        let large = workspaces[part.workspace].large;
        let first = n < requests.len();
        match fleet.fates[n] {
            Fate::Served => {
                unspent[part.workspace] -= part.used;
                if first {
                    count.add(large, false);
                }
                if rest > 0 {
                    let used = rest.min(EXTENSION);
                    let at = fleet.elapsed();
                    fleet.add(Request { at, used, duration: 5 * used, ..part });
                    parts.push((stream, rest - used));
                }
            }
            Fate::Refused { falsely, .. } if first && unspent[part.workspace] >= EXTENSION => {
                count.add(large, falsely);
            }
            Fate::Refused { .. } => cut += u64::from(!first),
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
        value: cut as f64 / count.requests.max(1) as f64,
        unit: "share",
        baseline: Some(0.0),
        target: Some(0.0),
    });
}

pub fn run() {
    calm();
    outage("outage", &load::workspaces());
    outage("outage_pinned", &pinned());
    last("last", &load::workspaces());
    last("last_pinned", &pinned());
    last_extended();
}
