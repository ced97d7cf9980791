//! Who probes a lost store how often.

use berylwheel_config::PeerReach;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

/// When another router was heard, in milliseconds, and whether it reached the store.
type Told = (u64, bool);

fn reach(told: &[Told]) -> PeerReach {
    let mut reach = PeerReach::default();
    for (number, (ms, reaches)) in told.iter().enumerate() {
        let router = format!("r{number}").parse().expect("router");
        reach.heard(Timestamp::from_millis(*ms), &router, *reaches);
    }
    reach
}

/// Guards against a router that alone has lost the store, or knows too little of the others, and finds
/// out late that it is back; and against a fleet that probes more often the larger it is.
#[test]
fn probes_are_shared_only_when_all_have_lost_the_store() {
    let now = Timestamp::from_millis(10_000);
    let table: [(&str, &[Told], usize, u64); 6] = [
        ("no other is known", &[], 64, 500),
        ("one other is not enough", &[(9_500, false)], 64, 500),
        ("another reaches it", &[(9_500, false), (9_500, false), (9_900, true)], 64, 500),
        ("nine have lost it", &[(9_500, false), (9_900, false)], 9, 1_350),
        ("a large fleet", &[(9_500, false), (9_900, false)], 340, 4_000),
        ("what was told long ago", &[(9_500, false), (9_900, false), (6_000, true)], 9, 1_350),
    ];
    for (what, told, live, pause) in table {
        assert_eq!(reach(told).probe_pause(now, live), Millis(pause), "{what}");
    }
}
