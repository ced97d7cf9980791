//! Measures store calls and bytes by the number of routers and of active budgets.

use std::collections::BTreeSet;

use berylwheel_budget::HolderPolicy;
use berylwheel_budget::page_of;
use berylwheel_types::Millis;
use berylwheel_types::stable_hash;

use crate::fleet::Fleet;
use crate::load;
use crate::load::Request;
use crate::load::Workspace;
use crate::report;
use crate::report::Figure;
use crate::report::SEED;

/// Limits of the whole store for writes and reads per second, and of each router for bytes per
/// second.
const WRITES_TARGET_PER_S: f64 = 300.0;
const READS_TARGET_PER_S: f64 = 2_000.0;
const BYTES_TARGET_PER_S: f64 = 20.0 * 1_024.0;

/// Minimum number of budgets for the settings of the target size: each page has three home routers,
/// and the ledger uses the page count and settlement interval of that size.
const TARGET_SIZE_BUDGETS: usize = 100_000;
const HOME_ROUTERS: usize = 3;

/// Interval at which the baseline settles each page.
const BASELINE_SETTLE_MS: u64 = 2_000;

fn home_routers(budget: usize, pages: u32, routers: usize) -> Vec<usize> {
    let page = page_of(&format!("w{budget}/main").parse().expect("a budget id"), pages);
    let mut ranked: Vec<usize> = (0..routers).collect();
    ranked.sort_by_key(|router| stable_hash(&[&page.to_string(), &format!("r{router}")]));
    ranked.truncate(HOME_ROUTERS);
    ranked
}

/// Returns one request per budget and router; those of the same page arrive at the same time.
///
/// They warm up the grants: without them, the first requests of each budget would each request a
/// grant, for an hour at the larger sizes.
fn first_requests(
    workspaces: &[Workspace],
    routers: usize,
    pages: u32,
    spread_ms: u64,
) -> Vec<Request> {
    let mut requests = Vec::new();
    let all_routers: Vec<usize> = (0..routers).collect();
    for (workspace, settings) in workspaces.iter().enumerate() {
        let page = page_of(&format!("w{workspace}/main").parse().expect("a budget id"), pages);
        let at = u64::from(page.0) * spread_ms / u64::from(pages);
        let homes = if settings.homes.is_empty() { &all_routers } else { &settings.homes };
        requests.extend(homes.iter().map(|router| Request {
            at,
            router: *router,
            workspace,
            amount: 800,
            used: 600,
            duration: 3_500,
        }));
    }
    requests
}

fn measure(routers: usize, budgets: usize, warm_up_ms: u64, measured_ms: u64) {
    let target_size = budgets >= TARGET_SIZE_BUDGETS;
    let mut policy = HolderPolicy::default();
    if target_size {
        policy.pages = 4_096;
        policy.settle_min = Millis(60_000);
    }
    // At least 50 requests a second in total, and at least one a minute for each budget.
    let rate = (50.0 / budgets as f64).max(1.0 / 60.0);
    let pages = policy.pages;
    let homes = |n| if target_size { home_routers(n, pages, routers) } else { Vec::new() };
    let workspace = |n| Workspace { large: false, rate, homes: homes(n) };
    let workspaces: Vec<_> = (0..budgets).map(workspace).collect();
    let credits = vec![(rate * 3_600.0 * 24.0 * load::MEAN_USED_TOKENS) as u64; budgets];
    let mut fleet = Fleet::new(routers, &credits, policy);
    fleet.schedule_requests(first_requests(&workspaces, routers, pages, warm_up_ms / 2));
    fleet.schedule_requests(load::requests(&workspaces, routers, warm_up_ms + measured_ms, SEED));
    fleet.run(warm_up_ms, &mut |_, _| {});
    let before = fleet.traffic;
    let mut settled = BTreeSet::new();
    fleet.run(warm_up_ms + measured_ms, &mut |fleet, n| {
        let request = fleet.requests[n];
        let page = page_of(&fleet.budgets[request.workspace], pages);
        settled.insert((fleet.elapsed() / BASELINE_SETTLE_MS, request.router, page));
    });
    let seconds = measured_ms as f64 / 1_000.0;
    let per_second = |count: u64| count as f64 / seconds;
    let baseline = per_second(settled.len() as u64);
    let after = fleet.traffic;
    let print = |name: &str, value, unit, baseline, target| {
        report::print(Figure {
            name: format!("{name}.r{routers}.b{budgets}"),
            value,
            unit,
            baseline,
            target: Some(target),
        });
    };
    let writes = per_second(after.writes - before.writes);
    let reads = per_second(after.reads - before.reads);
    let bytes = per_second(after.bytes - before.bytes) / routers as f64;
    print("store_writes_s", writes, "1/s", Some(baseline), WRITES_TARGET_PER_S);
    print("store_reads_s", reads, "1/s", Some(baseline), READS_TARGET_PER_S);
    print("control_bytes_s", bytes, "B/s per router", None, BYTES_TARGET_PER_S);
}

pub fn run() {
    for routers in [3, 9, 27] {
        measure(routers, 10, 600_000, 120_000);
        measure(routers, 1_000, 600_000, 120_000);
        measure(routers, 100_000, 120_000, 60_000);
    }
}
