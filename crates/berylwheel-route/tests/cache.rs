//! Cache events that are delayed, duplicated or lost.

mod support;

use berylwheel_route::CacheEvent;
use proptest::prelude::*;
use support::at;
use support::balancer_with_engines;
use support::id;
use support::picked_names;
use support::proptest_config;
use support::query;

struct EventCase {
    name: &'static str,
    /// Events of `e0` in order of arrival: sequence, prefix, cached.
    events: &'static [(u64, u64, bool)],
    /// Number of prefixes known to be cached at `e0` afterwards.
    cached_count: usize,
}

const CASES: &[EventCase] = &[
    EventCase {
        name: "in order",
        events: &[(1, 7, true), (2, 8, true), (3, 7, false)],
        cached_count: 1,
    },
    EventCase {
        name: "first sequence number above 1",
        events: &[(90, 7, true), (91, 8, true)],
        cached_count: 2,
    },
    EventCase {
        name: "duplicate",
        events: &[(1, 7, true), (2, 7, false), (1, 7, true)],
        cached_count: 0,
    },
    EventCase { name: "gap", events: &[(1, 7, true), (2, 8, true), (4, 9, true)], cached_count: 1 },
    EventCase {
        name: "gap filled by a delayed event",
        events: &[(1, 7, true), (3, 9, true), (2, 8, true)],
        cached_count: 1,
    },
    EventCase {
        name: "eviction of an unknown prefix",
        events: &[(1, 7, false), (2, 7, true)],
        cached_count: 1,
    },
];

/// Guards against prefixes that stay recorded as cached although a lost event may have evicted
/// them.
#[test]
fn sequence_gap_clears_cached_prefixes() {
    for case in CASES {
        let mut balancer = balancer_with_engines(1, 1);
        for (sequence, prefix, cached) in case.events.iter().copied() {
            balancer.apply_cache_event(at(0), &id("e0"), CacheEvent { sequence, prefix, cached });
        }
        assert_eq!(balancer.dump().servers[0].prefixes, case.cached_count, "{}", case.name);
    }
}

proptest! {
    #![proptest_config(proptest_config(512))]

    /// Guards against stale cache state after lost or delayed events: whichever are lost, a prefix
    /// that is recorded as cached after the last event is really cached.
    #[test]
    fn recorded_prefixes_are_cached(
        changes in prop::collection::vec((1..6_u64, any::<bool>()), 1..60),
        lost in prop::collection::vec(any::<bool>(), 60),
        late in prop::collection::vec(prop::option::weighted(0.2, 0..60_usize), 60),
    ) {
        let event = |n: usize| {
            let (prefix, cached) = changes[n];
            CacheEvent { sequence: n as u64 + 1, prefix, cached }
        };
        // Only e1 publishes events. A prefix recorded as cached there goes to e1, others to their
        // home.
        let mut balancer = balancer_with_engines(2, 1_000);
        let homes: Vec<String> =
            (1..6).map(|p| picked_names(&mut balancer, at(0), &query("m1", p), 1)).collect();
        let mut actual = [false; 6];
        for (n, (prefix, cached)) in changes.iter().enumerate() {
            actual[*prefix as usize] = *cached;
            if lost[n] && n + 1 < changes.len() {
                continue;
            }
            balancer.apply_cache_event(at(0), &id("e1"), event(n));
            if let Some(old) = late[n].filter(|old| *old < n) {
                balancer.apply_cache_event(at(0), &id("e1"), event(old));
            }
        }
        for (home, prefix) in homes.iter().zip(1..6_u64) {
            let server = picked_names(&mut balancer, at(0), &query("m1", prefix), 1);
            let recorded = server == "e1" && home == "e0";
            prop_assert!(!recorded || actual[prefix as usize], "prefix {prefix} is not cached");
        }
    }
}

/// Guards against ignoring all further events of a server that restarts its sequence numbers at 1.
#[test]
fn events_apply_again_after_a_sequence_restart() {
    let mut balancer = balancer_with_engines(1, 1);
    let mut event = |sequence, prefix| {
        balancer.apply_cache_event(at(0), &id("e0"), CacheEvent { sequence, prefix, cached: true });
        balancer.dump().servers[0].prefixes
    };
    assert_eq!(event(500, 1), 1);
    assert_eq!((1..=15).map(|n| event(n, 100 + n)).max(), Some(1));
    assert_eq!(event(16, 200), 1);
    assert_eq!(event(17, 201), 2);
}

/// Guards against memory use that grows with the number of events from a server.
#[test]
fn cached_prefixes_are_bounded() {
    let mut balancer = balancer_with_engines(1, 1);
    for n in 1..5_000 {
        balancer.apply_cache_event(
            at(0),
            &id("e0"),
            CacheEvent { sequence: n, prefix: n, cached: true },
        );
    }
    assert_eq!(balancer.dump().servers[0].prefixes, 1_024);
}
