//! Each router learns of a change of the store in time, whatever happens to the routers that watch
//! the store for the others.

mod relay_fleet;

use berylwheel_router::FallbackCause;
use berylwheel_router::Relay;
use berylwheel_router::RelayPolicy;
use berylwheel_router::WatchRole;
use berylwheel_store::Entry;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use relay_fleet::Fault;
use relay_fleet::Fleet;
use relay_fleet::Generator;

/// Time from a change in the store until each connected router knows it.
const BOUND: u64 = 3_000;
/// Time for which a router must have been without faults before a change to count as connected.
const CONNECTED: u64 = 4_000;
const HISTORIES: u64 = 150;
const LENGTH: u64 = 60_000;

/// Returns the changes that a connected router learned too late, over generated histories.
fn late_changes(policy: RelayPolicy, first_seed: u64, histories: u64) -> Vec<String> {
    let mut late = Vec::new();
    for seed in first_seed..first_seed + histories {
        let mut generator = Generator::new(seed);
        let size = 24 + generator.below(20) as usize;
        let mut fleet = Fleet::new(size, policy, seed);
        for fault in generator.faults(size, LENGTH) {
            fleet.plan(fault);
        }
        for at in generator.changes(LENGTH - BOUND) {
            fleet.plan_change(at);
        }
        fleet.run(LENGTH);
        late.extend(fleet.late(CONNECTED, BOUND).into_iter().map(|l| format!("seed {seed}: {l}")));
    }
    late
}

#[test]
fn connected_routers_know_each_change_in_time() {
    println!("seeds 1 to {HISTORIES}");
    let late = late_changes(RelayPolicy::default(), 1, HISTORIES);
    assert!(late.is_empty(), "{} late: {:?}", late.len(), &late[..late.len().min(5)]);
}

/// Guards against histories that are too mild to show a missing fallback.
#[test]
fn histories_show_a_missing_fallback() {
    let never = Millis(1 << 40);
    let default = RelayPolicy::default();
    let without_age = RelayPolicy { stale_after: never, ..default };
    assert!(!late_changes(without_age, 1, 30).is_empty(), "age of the news does not matter");
    let without_gap = RelayPolicy { gap_after: never, ..default };
    assert!(!late_changes(without_gap, 1, 30).is_empty(), "gaps do not matter");
    let without_pause = RelayPolicy { pause: never, ..default };
    println!("late without notice of pauses: {}", late_changes(without_pause, 1, 30).len());
}

#[test]
fn three_routers_watch_while_nothing_fails() {
    for size in [24, 26, 77] {
        let mut fleet = Fleet::new(size, RelayPolicy::default(), 7);
        (20_000..60_000).step_by(2_500).for_each(|at| fleet.plan_change(at));
        fleet.run(15_000);
        let before = fleet.calls();
        fleet.run(60_000);
        let watching = fleet.routers_in(|role| role != WatchRole::Follower);
        assert_eq!(watching, 3, "{size} routers");
        assert_eq!(fleet.late(0, BOUND), Vec::<String>::new(), "{size} routers");
        let calls = fleet.calls() - before;
        // 45 s of three routers: two watches each 3 s. A change ends one early, and the next one waits
        // for the rest of its slot only.
        assert!(calls <= 3 * (30 + 2 * 16 + 2), "{size} routers: {calls} calls");
        // Guards against connections that grow with the square of the domain.
        let connections = fleet.connections.len();
        assert!(connections <= 3 * (size - 1), "{size} routers: {connections} connections");
    }
}

#[test]
fn small_domains_watch_as_without_a_relay() {
    let mut fleet = Fleet::new(23, RelayPolicy::default(), 7);
    fleet.plan_change(20_000);
    fleet.run(30_000);
    assert_eq!(fleet.routers_in(|role| role == WatchRole::Alone), 23);
    assert_eq!(fleet.messages(), 0);
}

/// Guards against a domain of just enough routers that switches at each restart of one.
#[test]
fn one_dead_router_does_not_end_the_relay() {
    let mut fleet = Fleet::new(24, RelayPolicy::default(), 7);
    let follower = fleet.routers().find(|router| !fleet.is_watcher(*router)).unwrap();
    fleet.plan(Fault::Kill { router: follower, at: 16_000, until: 60_000 });
    fleet.run(40_000);
    assert_eq!(fleet.routers_in(|role| role == WatchRole::Watcher), 3);
    assert_eq!(fleet.routers_in(|role| role == WatchRole::Follower), 20);
}

/// Guards against a domain that watches as a whole whenever one of the three fails.
#[test]
fn one_dead_watcher_does_not_make_the_others_watch() {
    for fault in [
        |router| Fault::Kill { router, at: 20_000, until: 60_000 },
        |router| Fault::CutFromStore { router, at: 20_000, until: 60_000 },
        |router| Fault::CutFromPeers { router, at: 20_000, until: 60_000 },
    ] {
        let mut fleet = Fleet::new(26, RelayPolicy::default(), 7);
        let watcher = fleet.routers().find(|router| fleet.is_watcher(*router)).unwrap();
        fleet.plan(fault(watcher));
        fleet.plan_change(20_010);
        fleet.plan_change(23_000);
        fleet.run(15_000);
        let before = fleet.calls();
        fleet.run(32_000);
        assert_eq!(fleet.late(CONNECTED, BOUND), Vec::<String>::new());
        let calls = fleet.calls() - before;
        // Without a relay, 26 routers make 295 calls in these 17 s and more for the changes. While views
        // differ, more than three routers watch.
        assert!(calls <= 295 / 3, "{calls} calls, {:?}", fleet.fallbacks());
        assert_eq!(fleet.fallbacks().get(&FallbackCause::Stale), None);
    }
}

/// Guards against routers without a path to the store that learn of nothing although others would
/// tell them.
#[test]
fn followers_without_a_path_to_the_store_follow() {
    let mut fleet = Fleet::new(26, RelayPolicy::default(), 7);
    let followers: Vec<usize> =
        fleet.routers().filter(|router| !fleet.is_watcher(*router)).collect();
    for router in &followers {
        fleet.plan(Fault::CutFromStore { router: *router, at: 18_000, until: 60_000 });
    }
    (20_000..50_000).step_by(1_700).for_each(|at| fleet.plan_change(at));
    fleet.run(55_000);
    for router in followers {
        assert_eq!(fleet.late_at(router, BOUND), Vec::<String>::new());
    }
}

/// Guards against a claim of recent news while the store answers nobody, and against a domain that
/// turns to the store at one moment.
#[test]
fn no_news_are_fresh_while_the_store_is_down() {
    let mut fleet = Fleet::new(40, RelayPolicy::default(), 7);
    for router in fleet.routers() {
        fleet.plan(Fault::CutFromStore { router, at: 20_000, until: 32_000 });
    }
    fleet.run(20_000);
    let followers = |fleet: &Fleet| fleet.routers_in(|role| role == WatchRole::Follower);
    assert_eq!(followers(&fleet), 37);
    let mut turned = Vec::new();
    let mut left = 37;
    for at in (20_020..22_500).step_by(20) {
        fleet.run(at);
        turned.push(left - followers(&fleet));
        left = followers(&fleet);
    }
    assert_eq!(left, 0, "{left} routers still follow");
    assert!(turned.iter().all(|at_once| *at_once <= 12), "{turned:?}");
}

/// Guards against a burst of versions of the configuration, of which watchers read the newest, that
/// makes all others turn to the store for lack of proofs.
#[test]
fn bursts_of_changes_are_relayed() {
    let mut fleet = Fleet::new(26, RelayPolicy::default(), 7);
    (20_000..24_000).step_by(110).for_each(|at| fleet.plan_change(at));
    fleet.run(19_990);
    let (before, fallbacks) = (fleet.calls(), fleet.fallbacks());
    fleet.run(30_000);
    assert_eq!(fleet.late(0, BOUND), Vec::<String>::new());
    assert_eq!(fleet.fallbacks().get(&FallbackCause::Stale), None, "{fallbacks:?}");
    println!("{} calls, {:?}", fleet.calls() - before, fleet.fallbacks());
}

/// Guards against deletions that nobody passes on because watchers read everything in place of the
/// changes.
#[test]
fn a_watcher_passes_on_what_a_complete_read_shows() {
    let members: Vec<RouterId> = (0..24).map(|i| format!("r{i}").parse().unwrap()).collect();
    let now = Timestamp::from_millis(10_000);
    let start = |router: &RouterId| {
        let run = Incarnation { router: router.clone(), number: 1 };
        let mut relay = Relay::new(run, RelayPolicy::default());
        relay.set_members(now, members.clone());
        relay
    };
    let mut watcher = members.iter().map(start).find(Relay::is_watcher).unwrap();
    let entry = |key: &str, revision: u64| Entry {
        key: format!("settings/{key}"),
        value: vec![1],
        revision,
        deleted: false,
    };
    watcher.end_read(now, "settings/", Some((&[entry("config", 5), entry("zone/a", 7)], 20)));
    watcher.begin_watch(now, "settings/", 20);
    watcher.end_watch(now, "settings/", 20, Some(&[entry("zone/b", 22)]));
    let first = watcher.poll(now, now).unwrap();
    assert_eq!(first.feeds[0].batch.as_ref().unwrap().base, 20);
    let read = [entry("config", 28), entry("zone/b", 22)];
    watcher.end_read(now, "settings/", Some((&read, 30)));
    let second = watcher.poll(now, now).unwrap();
    let batch = second.feeds[0].batch.as_ref().unwrap();
    let changes: Vec<_> =
        batch.changes.iter().map(|c| (c.key.as_str(), c.revision, c.deleted)).collect();
    assert_eq!(changes, [("settings/config", 28, false), ("settings/zone/a", 30, true)]);
    assert_eq!((batch.base, batch.through), (22, 30));
}

/// Guards against a large configuration that goes over small links several times.
#[test]
fn large_values_are_read_from_the_store() {
    let mut fleet = Fleet::new(26, RelayPolicy::default(), 7);
    fleet.plan_large_change(20_000, 400 << 10);
    fleet.run(19_990);
    let before = fleet.calls();
    fleet.run(22_900);
    assert_eq!(fleet.late(0, BOUND), Vec::<String>::new());
    assert!(fleet.largest_message() < 1 << 10, "{} bytes", fleet.largest_message());
    assert!(fleet.calls() - before <= 26 + 9, "{} calls", fleet.calls() - before);
}
