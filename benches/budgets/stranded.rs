//! Measures the tokens that no router can spend after a crash or during a graceful shutdown.

use berylwheel_budget::HolderPolicy;

use crate::fleet::Fleet;
use crate::load;
use crate::load::MEAN_USED;
use crate::refusals::ROUTERS;
use crate::report;
use crate::report::Figure;
use crate::report::SEED;

const MINUTE: u64 = 60_000;
const START: u64 = 30 * MINUTE;

/// Assumed delay until the platform's VM list reports a crashed VM as gone.
const LIST_LAG: u64 = 20_000;

/// Index of the router that crashes or shuts down.
const ENDING: usize = 4;

fn fleet() -> Fleet {
    let workspaces = load::workspaces();
    let credits: Vec<u64> =
        workspaces.iter().map(|w| (w.rate * 3_600.0 * 8.0 * MEAN_USED) as u64).collect();
    let mut fleet = Fleet::new(ROUTERS, &credits, HolderPolicy::default());
    fleet.add_all(load::requests(&workspaces, ROUTERS, START + 10 * MINUTE, SEED));
    fleet.run(START, &mut |_, _| {});
    fleet
}

/// Returns the share of a budget's unspent tokens that the router's row holds, as the maximum over
/// all budgets.
fn stranded(fleet: &Fleet) -> f64 {
    let share = |workspace| {
        let (row, unspent) = fleet.row_and_unspent(ENDING, workspace);
        row as f64 / unspent.max(1) as f64
    };
    (0..fleet.budgets.len()).map(share).fold(0.0, f64::max)
}

fn print(name: &str, value: f64, unit: &'static str, baseline: Option<f64>, target: Option<f64>) {
    report::print(Figure { name: name.into(), value, unit, baseline, target });
}

/// Baseline: the fixed grant of a crashed router stays stranded.
const BASELINE: Option<f64> = Some(1.0 / ROUTERS as f64);

pub fn run() {
    let mut crashed = fleet();
    let usage = crashed.crash(ENDING);
    let peak = stranded(&crashed);
    crashed.run(START + LIST_LAG, &mut |_, _| {});
    crashed.reclaim(ENDING, &usage);
    crashed.run(START + LIST_LAG + 10, &mut |_, _| {});
    let usable = (crashed.elapsed() - START) as f64 / 1_000.0;
    print("stranded_share.crash_peak", peak, "share", BASELINE, None);
    print("stranded_share.crash", stranded(&crashed), "share", BASELINE, Some(0.005));
    print("usable_again_s.crash", usable, "s", None, None);

    let mut stopped = fleet();
    let now = stopped.clock.now();
    if let Some(holder) = &mut stopped.holders[ENDING] {
        holder.drain(now);
    }
    stopped.poll(ENDING, &mut |_, _| {});
    let mut at = START;
    while !stopped.holders[ENDING].as_ref().is_some_and(|holder| holder.is_empty()) {
        at += 100;
        stopped.run(at, &mut |_, _| {});
    }
    print("stranded_share.stop", stranded(&stopped), "share", BASELINE, Some(0.0));
    print("drain_s.stop", (at - START) as f64 / 1_000.0, "s", None, None);
}
