//! Whole fleets under requests with a part that crashes servers, and under other ends of servers.

mod fleet;

use fleet::Fleet;
use fleet::Scenario;

/// Requests with the part that may reach servers later than `contact_ms` after the fifth end.
const LATE_LIMIT: usize = 3;

fn scenarios(routers: usize, seeds: std::ops::Range<u64>) -> impl Iterator<Item = Scenario> {
    seeds.map(move |seed| Scenario::new(routers, seed))
}

/// Guards against a bad part that goes on reaching servers, at the sizes of the deployments.
#[test]
fn crashing_part_stops_reaching_servers_in_fleets_of_all_sizes() {
    for (routers, seeds) in [(7, 0..20), (9, 20..40), (67, 40..44), (295, 44..46)] {
        for scenario in scenarios(routers, seeds) {
            for resumable in [false, true] {
                let scenario = Scenario { resumable, ..scenario };
                let figures = Fleet::play(scenario);
                assert!(figures.after_contact <= LATE_LIMIT, "{scenario:?}: {figures:?}");
                assert_eq!(figures.sound_refused, 0, "{scenario:?}: {figures:?}");
                assert!(figures.last_router_ms.is_some(), "{scenario:?}: {figures:?}");
            }
        }
    }
}

/// Guards against a fast flow of such requests, of which several are at servers at the same time.
#[test]
fn flood_of_requests_with_a_crashing_part_is_stopped() {
    for scenario in scenarios(9, 100..120) {
        let scenario = Scenario { bad_rate: 12.0, ..scenario };
        let figures = Fleet::play(scenario);
        assert!(figures.after_contact <= LATE_LIMIT, "{scenario:?}: {figures:?}");
        assert_eq!(figures.sound_refused, 0, "{scenario:?}: {figures:?}");
    }
}

/// Guards against reports that leave out the crashing part of a long prompt because of its id.
#[test]
fn crashing_part_is_found_in_prompts_of_many_parts() {
    for scenario in scenarios(9, 600..604) {
        for (own_parts, own_start) in [(24, 1 << 20), (24, 1 << 50), (200, 1 << 20)] {
            let scenario = Scenario { own_parts, own_start, ..scenario };
            let figures = Fleet::play(scenario);
            assert!(figures.after_contact <= LATE_LIMIT, "{scenario:?}: {figures:?}");
            assert_eq!(figures.sound_refused, 0, "{scenario:?}: {figures:?}");
        }
    }
}

/// Guards against refusing sound requests because servers end for other reasons, alone or by racks.
#[test]
fn other_ends_of_servers_refuse_no_sound_request() {
    for (routers, seeds) in [(9, 200..230), (67, 230..236)] {
        for scenario in scenarios(routers, seeds) {
            for (interval, count) in [(400, 1), (2_000, 6), (5_000, scenario.servers / 3)] {
                let other_ends = Some((interval, count));
                let scenario = Scenario { bad_rate: 0.01, other_ends, ..scenario };
                let figures = Fleet::play(scenario);
                assert_eq!(figures.sound_refused, 0, "{scenario:?}: {figures:?}");
            }
        }
    }
}

/// Guards against losing sight of the bad part among other ends of servers.
#[test]
fn crashing_part_is_found_among_other_ends() {
    for scenario in scenarios(9, 300..320) {
        let scenario = Scenario { other_ends: Some((2_000, 2)), ..scenario };
        let figures = Fleet::play(scenario);
        assert!(figures.after_contact <= LATE_LIMIT, "{scenario:?}: {figures:?}");
        assert_eq!(figures.sound_refused, 0, "{scenario:?}: {figures:?}");
    }
}

/// Guards against forgetting the part when all routers lose power.
#[test]
fn crashing_part_stays_quarantined_when_all_routers_lose_power() {
    for scenario in scenarios(9, 400..410) {
        let before = Fleet::play(scenario);
        let figures = Fleet::play(Scenario { power_loss: Some(40_000), ..scenario });
        assert_eq!(figures.ended, before.ended, "{scenario:?}: {figures:?}");
    }
}

/// Guards against a router that was cut off when the others learned of the part.
#[test]
fn router_that_was_cut_off_learns_of_the_part_when_it_is_back() {
    for scenario in scenarios(9, 500..510) {
        let cut = Some((4, 9_000, 45_000));
        let figures = Fleet::play(Scenario { cut, ..scenario });
        let learned_at = figures.last_router_ms.expect("all routers refuse the part in the end");
        assert!(learned_at <= 45_000 - 9_000 + 2_000, "{scenario:?}: {figures:?}");
    }
}
