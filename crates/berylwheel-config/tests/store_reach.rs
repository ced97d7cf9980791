//! Probe intervals for an unreachable store.

use berylwheel_config::StoreReach;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

/// When another router sent its report, in milliseconds, and whether it could reach the store.
type Report = (u64, bool);

fn reach(reports: &[Report]) -> StoreReach {
    let mut reach = StoreReach::default();
    for (number, (ms, reaches)) in reports.iter().enumerate() {
        let router = format!("r{number}").parse().expect("router");
        reach.record(Timestamp::from_millis(*ms), &router, *reaches);
    }
    reach
}

/// A router that is the only one without the store, or has too few reports from others, must probe
/// often so that it notices the recovery in time. If all routers have lost the store, the number of
/// probes must not grow with the fleet.
#[test]
fn probes_are_shared_only_if_no_router_reaches_the_store() {
    let now = Timestamp::from_millis(10_000);
    let table: [(&str, &[Report], usize, u64); 6] = [
        ("no reports", &[], 64, 500),
        ("a single report", &[(9_500, false)], 64, 500),
        (
            "another router reaches the store",
            &[(9_500, false), (9_500, false), (9_900, true)],
            64,
            500,
        ),
        ("all of nine routers have lost the store", &[(9_500, false), (9_900, false)], 9, 1_350),
        ("all of 340 routers have lost the store", &[(9_500, false), (9_900, false)], 340, 4_000),
        ("an outdated report", &[(9_500, false), (9_900, false), (6_000, true)], 9, 1_350),
    ];
    for (case, reports, live, interval) in table {
        assert_eq!(reach(reports).max_probe_interval(now, live), Millis(interval), "{case}");
    }
}
