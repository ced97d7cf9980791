//! Measures the tokens that no router can spend after a crash or during a graceful shutdown.

use berylwheel_budget::HolderPolicy;

use crate::fleet::Fleet;
use crate::load;
use crate::load::MEAN_USED_TOKENS;
use crate::refusals::ROUTERS;
use crate::report;
use crate::report::Figure;
use crate::report::SEED;

const MINUTE_MS: u64 = 60_000;
const STOP_TIME_MS: u64 = 30 * MINUTE_MS;

/// Assumed delay until the platform's VM list reports a crashed VM as gone.
const LIST_DELAY_MS: u64 = 20_000;

/// Index of the router that crashes or shuts down.
const STOPPED_ROUTER: usize = 4;

fn warmed_up_fleet() -> Fleet {
    let workspaces = load::workspaces();
    let credits: Vec<u64> =
        workspaces.iter().map(|w| (w.rate * 3_600.0 * 8.0 * MEAN_USED_TOKENS) as u64).collect();
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    fleet.schedule_requests(load::requests(
        &workspaces,
        ROUTERS,
        STOP_TIME_MS + 10 * MINUTE_MS,
        SEED,
    ));
    fleet.run(STOP_TIME_MS, &mut |_, _| {});
    fleet
}

/// Returns the share of a budget's unspent tokens that the router's row holds, as the maximum over
/// all budgets.
fn max_stranded_share(fleet: &Fleet) -> f64 {
    let share = |workspace| {
        let (held, unspent) = fleet.held_and_unspent(STOPPED_ROUTER, workspace);
        held as f64 / unspent.max(1) as f64
    };
    (0..fleet.budgets.len()).map(share).fold(0.0, f64::max)
}

fn print(name: &str, value: f64, unit: &'static str, baseline: Option<f64>, target: Option<f64>) {
    report::print(Figure { name: name.into(), value, unit, baseline, target });
}

/// Baseline: the fixed grant of a crashed router stays stranded.
const BASELINE_SHARE: Option<f64> = Some(1.0 / ROUTERS as f64);

pub fn run() {
    let mut crashed = warmed_up_fleet();
    let usage = crashed.crash(STOPPED_ROUTER);
    let peak = max_stranded_share(&crashed);
    crashed.run(STOP_TIME_MS + LIST_DELAY_MS, &mut |_, _| {});
    crashed.reclaim(STOPPED_ROUTER, &usage);
    crashed.run(STOP_TIME_MS + LIST_DELAY_MS + 10, &mut |_, _| {});
    let reclaim_seconds = (crashed.elapsed() - STOP_TIME_MS) as f64 / 1_000.0;
    print("stranded_share.crash_peak", peak, "share", BASELINE_SHARE, None);
    print(
        "stranded_share.crash",
        max_stranded_share(&crashed),
        "share",
        BASELINE_SHARE,
        Some(0.005),
    );
    print("usable_again_s.crash", reclaim_seconds, "s", None, None);

    let mut stopped = warmed_up_fleet();
    let now = stopped.clock.now();
    if let Some(holder) = &mut stopped.holders[STOPPED_ROUTER] {
        holder.drain(now);
    }
    stopped.poll(STOPPED_ROUTER, &mut |_, _| {});
    let mut at = STOP_TIME_MS;
    while !stopped.holders[STOPPED_ROUTER].as_ref().is_some_and(|holder| holder.is_empty()) {
        at += 100;
        stopped.run(at, &mut |_, _| {});
    }
    print("stranded_share.stop", max_stranded_share(&stopped), "share", BASELINE_SHARE, Some(0.0));
    print("drain_s.stop", (at - STOP_TIME_MS) as f64 / 1_000.0, "s", None, None);
}
