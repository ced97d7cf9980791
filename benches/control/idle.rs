//! The cost of the control thread of one router in which no request arrives.

#[path = "../../crates/berylwheel-router/tests/common/mod.rs"]
mod lone_router;

use crate::figure::elapsed_nanos;
use crate::figure::print_figure;
use lone_router::Fleet;

/// Numbers of routers in the fleet.
const SIZES: [usize; 4] = [9, 67, 295, 1_000];
/// Target of the design page for a quiet router among 295, as a share of a core.
const CORE_SHARE_TARGET: f64 = 0.015;
const WARM_UP_SECONDS: u64 = 30;
const MEASURED_SECONDS: u64 = 60;

/// Prints processor time and visited entries a second, and the power with which the processor time
/// grows from the smallest to the largest fleet.
pub fn print_idle_costs() {
    let shares = SIZES.map(|size| {
        let mut fleet = Fleet::new(size);
        fleet.hear_of_all();
        fleet.run(WARM_UP_SECONDS);
        let (visits, start) = (fleet.router.visits(), elapsed_nanos());
        fleet.run(MEASURED_SECONDS);
        let seconds = MEASURED_SECONDS as f64;
        let share = (elapsed_nanos() - start) as f64 / 1e9 / seconds;
        let visits = (fleet.router.visits() - visits) as f64 / seconds;
        let target = (size == 295).then_some(CORE_SHARE_TARGET);
        print_figure(&format!("idle_core_share.{size}"), share, "cores", None, target);
        print_figure(&format!("idle_visits_s.{size}"), visits, "1/s", None, None);
        share
    });
    let growth = (shares[3] / shares[0]).ln() / (SIZES[3] as f64 / SIZES[0] as f64).ln();
    print_figure("idle_core_share.growth", growth, "1", None, Some(0.0));
}
