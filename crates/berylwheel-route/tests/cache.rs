//! Cache events that come late, twice and with gaps.

mod support;

use berylwheel_route::CacheEvent;
use proptest::prelude::*;
use support::ask;
use support::at;
use support::chosen;
use support::config;
use support::engines;
use support::id;

struct Fault {
    name: &'static str,
    /// Events of `e0` in the order of arrival: sequence, prefix, held.
    events: &'static [(u64, u64, bool)],
    /// How many prefixes `e0` is known to hold.
    known: usize,
}

const FAULTS: &[Fault] = &[
    Fault { name: "in order", events: &[(1, 7, true), (2, 8, true), (3, 7, false)], known: 1 },
    Fault { name: "starts late", events: &[(90, 7, true), (91, 8, true)], known: 2 },
    Fault { name: "twice", events: &[(1, 7, true), (2, 7, false), (1, 7, true)], known: 0 },
    Fault { name: "gap", events: &[(1, 7, true), (2, 8, true), (4, 9, true)], known: 1 },
    Fault {
        name: "gap filled late",
        events: &[(1, 7, true), (3, 9, true), (2, 8, true)],
        known: 1,
    },
    Fault { name: "eviction of an unknown", events: &[(1, 7, false), (2, 7, true)], known: 1 },
];

/// Guards against prefixes that are believed held although their eviction may have been missed.
#[test]
fn a_gap_makes_what_is_held_unknown() {
    for fault in FAULTS {
        let mut routes = engines(1, 1);
        for (sequence, prefix, held) in fault.events.iter().copied() {
            routes.cache_event(at(0), &id("e0"), CacheEvent { sequence, prefix, held });
        }
        assert_eq!(routes.dump().servers[0].prefixes, fault.known, "{}", fault.name);
    }
}

proptest! {
    #![proptest_config(config(512))]

    /// Guards against a lost or late event that leaves a wrong belief: whatever is lost, what is
    /// known to be held after the last event is held.
    #[test]
    fn known_prefixes_are_held(
        changes in prop::collection::vec((1..6_u64, any::<bool>()), 1..60),
        lost in prop::collection::vec(any::<bool>(), 60),
        late in prop::collection::vec(prop::option::weighted(0.2, 0..60_usize), 60),
    ) {
        let event = |n: usize| {
            let (prefix, held) = changes[n];
            CacheEvent { sequence: n as u64 + 1, prefix, held }
        };
        // Only e1 publishes; a prefix with a known holder goes there, others to their home.
        let mut routes = engines(2, 1_000);
        let homes: Vec<String> =
            (1..6).map(|p| chosen(&mut routes, at(0), &ask("m1", p), 1)).collect();
        let mut truth = [false; 6];
        for (n, (prefix, held)) in changes.iter().enumerate() {
            truth[*prefix as usize] = *held;
            if lost[n] && n + 1 < changes.len() {
                continue;
            }
            routes.cache_event(at(0), &id("e1"), event(n));
            if let Some(old) = late[n].filter(|old| *old < n) {
                routes.cache_event(at(0), &id("e1"), event(old));
            }
        }
        for (home, prefix) in homes.iter().zip(1..6_u64) {
            let server = chosen(&mut routes, at(0), &ask("m1", prefix), 1);
            let known = server == "e1" && home == "e0";
            prop_assert!(!known || truth[prefix as usize], "prefix {prefix} is not held");
        }
    }
}

/// Guards against a server that is disbelieved for ever after it starts to count anew.
#[test]
fn a_server_that_counts_anew_is_believed_again() {
    let mut routes = engines(1, 1);
    let mut event = |sequence, prefix| {
        routes.cache_event(at(0), &id("e0"), CacheEvent { sequence, prefix, held: true });
        routes.dump().servers[0].prefixes
    };
    assert_eq!(event(500, 1), 1);
    assert_eq!((1..=15).map(|n| event(n, 100 + n)).max(), Some(1));
    assert_eq!(event(16, 200), 1);
    assert_eq!(event(17, 201), 2);
}

/// Guards against a memory that grows with the events of a server.
#[test]
fn known_prefixes_are_bounded() {
    let mut routes = engines(1, 1);
    for n in 1..5_000 {
        routes.cache_event(at(0), &id("e0"), CacheEvent { sequence: n, prefix: n, held: true });
    }
    assert_eq!(routes.dump().servers[0].prefixes, 1_024);
}
