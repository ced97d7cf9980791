//! Selection among eligible servers.

mod support;

use berylwheel_route::CacheEvent;
use berylwheel_route::LoadBalancer;
use berylwheel_route::LoadReport;
use berylwheel_route::Outcome;
use berylwheel_route::RoutePolicy;
use berylwheel_route::RouteQuery;
use support::SEED;
use support::at;
use support::balancer_with_engines;
use support::engine;
use support::id;
use support::pick_counts;
use support::picked_names;
use support::query;
use support::service;
use support::service_query;

/// Guards against a request sent to a server that does not support its kind or model.
#[test]
fn a_server_must_support_the_kind_and_model() {
    let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), SEED);
    let mut limited = engine("e2", &["m1"], 9);
    limited.kinds = vec!["draft".parse().unwrap()];
    let servers = [engine("e0", &["m1"], 9), engine("e1", &["m1", "m2"], 9), limited];
    let services = [service("s0", "booking", 9), service("s1", "charge", 9)];
    balancer.set_servers(at(0), servers.into_iter().chain(services).collect());
    let retry = RouteQuery { exclude: vec![id("e0")], ..query("m1", 0) };
    let draft = RouteQuery { kind: "draft".parse().unwrap(), ..query("m1", 0) };
    let table = [
        (query("m1", 0), "e0 e1"),
        (query("m2", 0), "e1"),
        (query("m3", 0), ""),
        (draft, "e0 e1 e2"),
        (retry, "e1"),
        (service_query("booking"), "s0"),
        (service_query("chat"), ""),
    ];
    for (query, expected) in table {
        assert_eq!(picked_names(&mut balancer, at(0), &query, 100), expected, "{query:?}");
    }
    let loaded = Some(vec!["m2".parse().unwrap()]);
    balancer.apply_report(
        at(1),
        &id("e1"),
        LoadReport { at: at(1), loaded, ..LoadReport::default() },
    );
    assert_eq!(
        picked_names(&mut balancer, at(1), &query("m1", 0), 100),
        "e0",
        "e1 has unloaded m1"
    );
    assert_eq!(picked_names(&mut balancer, at(1), &query("m2", 0), 100), "e1");
}

/// Guards against choices that differ between runs with the same seed, or are the same for
/// different seeds.
#[test]
fn choices_depend_on_the_seed_only() {
    let run = |seed| {
        let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), seed);
        balancer.set_servers(at(0), (0..9).map(|n| engine(&format!("e{n}"), &["m1"], 9)).collect());
        let mut pick = || balancer.pick(at(0), &query("m1", 0)).unwrap().id;
        (0..20).map(|_| pick()).collect::<Vec<_>>()
    };
    assert_eq!(run(SEED), run(SEED));
    assert_ne!(run(SEED), run(SEED + 1));
}

/// Guards against routers that send the same prefix to different servers, and against a popular
/// prefix that overloads its server.
#[test]
fn prefix_affinity_respects_the_load_bound() {
    let mut balancer = balancer_with_engines(8, 1_000);
    let home = picked_names(&mut balancer, at(0), &query("m1", 42), 20);
    assert!(!home.contains(' '), "{home}");
    let mut other = LoadBalancer::new("r2".parse().unwrap(), RoutePolicy::default(), SEED + 1);
    other.set_servers(at(0), (0..8).map(|n| engine(&format!("e{n}"), &["m1"], 1_000)).collect());
    assert_eq!(picked_names(&mut other, at(0), &query("m1", 42), 20), home);
    for n in 0..400 {
        let server = balancer.pick(at(0), &query("m1", 42)).unwrap().id;
        balancer.request_started(at(0), &server);
        let loads: Vec<u32> = balancer.dump().servers.iter().map(|s| s.in_flight).collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / 8.0;
        // Beyond the bound, the choice of two random servers may exceed it by one request.
        let max_load = f64::from(*loads.iter().max().unwrap());
        assert!(max_load <= (1.25 * mean).ceil() + 1.0, "{loads:?} after {n}");
    }
}

/// Guards against a slow home server that keeps all of its prefixes while its load is within the
/// bound.
#[test]
fn the_less_loaded_home_server_is_chosen() {
    let mut balancer = balancer_with_engines(8, 1_000);
    for n in 0..80 {
        balancer.request_started(at(0), &id(&format!("e{}", n % 8)));
    }
    let first = picked_names(&mut balancer, at(0), &query("m1", 42), 20);
    balancer.request_started(at(0), &id(&first));
    let second = picked_names(&mut balancer, at(0), &query("m1", 42), 20);
    assert!(second != first && !second.contains(' '), "{first}, then {second}");
    balancer.request_started(at(0), &id(&second));
    assert_eq!(picked_names(&mut balancer, at(0), &query("m1", 42), 20), first);
}

/// Guards against cache events that are recorded but not used for selection.
#[test]
fn a_server_with_the_prefix_cached_is_preferred_to_its_home() {
    let mut balancer = balancer_with_engines(8, 1_000);
    let home = picked_names(&mut balancer, at(0), &query("m1", 42), 1);
    let cached_at = if home == "e3" { "e4" } else { "e3" };
    let event = CacheEvent { sequence: 1, prefix: 42, cached: true };
    balancer.apply_cache_event(at(0), &id(cached_at), event);
    assert_eq!(picked_names(&mut balancer, at(0), &query("m1", 42), 20), cached_at);
    for _ in 0..3 {
        balancer.request_started(at(0), &id(cached_at));
    }
    assert!(
        !picked_names(&mut balancer, at(0), &query("m1", 42), 20).contains(cached_at),
        "over the bound"
    );
    balancer.request_ended(at(0), &id(cached_at), Outcome::Ok);
    balancer.request_ended(at(0), &id(cached_at), Outcome::Ok);
    balancer.request_ended(at(0), &id(cached_at), Outcome::Ok);
    let event = CacheEvent { sequence: 2, prefix: 42, cached: false };
    balancer.apply_cache_event(at(0), &id(cached_at), event);
    assert_eq!(picked_names(&mut balancer, at(0), &query("m1", 42), 20), home);
}

/// Guards against a router that connects to every server of a model.
#[test]
fn a_subset_has_48_servers_per_model() {
    let mut balancer = balancer_with_engines(60, 10);
    assert_eq!(pick_counts(&mut balancer, at(0), &query("m1", 0), 5_000).len(), 48);
}

/// Guards against processing a long shared prefix at one server after the other during a burst of
/// requests with the same prefix: with few requests per server, a bound relative to the mean sends
/// every second request to another server.
#[test]
fn a_prefix_stays_at_its_first_home_server_within_the_slack() {
    let servers_used = |policy: RoutePolicy| {
        let mut balancer = LoadBalancer::new("r1".parse().unwrap(), policy, SEED);
        balancer
            .set_servers(at(0), (0..12).map(|n| engine(&format!("e{n}"), &["m1"], 64)).collect());
        let mut used = Vec::new();
        for _ in 0..6 {
            let server = balancer.pick(at(0), &query("m1", 77)).unwrap().id;
            balancer.request_started(at(0), &server);
            used.push(server);
        }
        used.sort();
        used.dedup();
        used.len()
    };
    let policy = RoutePolicy {
        affinity_slack: 6.0,
        affinity_homes: 3,
        affinity_first: true,
        ..RoutePolicy::default()
    };
    assert_eq!(servers_used(policy), 1);
    assert!(servers_used(RoutePolicy::default()) > 1, "the bound alone spreads the prefix");
}
