//! Servers, requests and helpers shared by the tests.
#![allow(dead_code)]

use berylwheel_route::LoadBalancer;
use berylwheel_route::LoadReport;
use berylwheel_route::RoutePolicy;
use berylwheel_route::RouteQuery;
use berylwheel_route::Server;
use berylwheel_types::BackendId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Random seed of all tests in this crate.
pub const SEED: u64 = 20_260_107;

pub fn proptest_config(cases: u32) -> Config {
    println!("seed {SEED}");
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

pub fn id(name: &str) -> BackendId {
    name.parse().unwrap()
}

pub fn engine(name: &str, models: &[&str], concurrency: u32) -> Server {
    Server {
        id: id(name),
        address: "127.0.0.1:9000".parse().unwrap(),
        kinds: vec![],
        models: models.iter().map(|m| m.parse().unwrap()).collect(),
        concurrency,
        domain: "d1".parse().unwrap(),
    }
}

pub fn service(name: &str, kind: &str, concurrency: u32) -> Server {
    Server { kinds: vec![kind.parse().unwrap()], ..engine(name, &[], concurrency) }
}

pub fn query(model: &str, prefix: u64) -> RouteQuery {
    let model = Some(model.parse().unwrap());
    RouteQuery {
        kind: "chat".parse().unwrap(),
        model,
        prefix,
        exclude: vec![],
        prompt_tokens: Tokens(1_000),
    }
}

pub fn service_query(kind: &str) -> RouteQuery {
    let kind = kind.parse().unwrap();
    RouteQuery { kind, model: None, prefix: 0, exclude: vec![], prompt_tokens: Tokens::ZERO }
}

pub fn load_report(time: Timestamp, in_flight: u32) -> LoadReport {
    LoadReport { at: time, in_flight, ..LoadReport::default() }
}

/// Returns a load balancer for engines `e0`, `e1`, ... that serve model `m1`.
pub fn balancer_with_engines(count: usize, concurrency: u32) -> LoadBalancer {
    let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), SEED);
    let server = |n| engine(&format!("e{n}"), &["m1"], concurrency);
    balancer.set_servers(at(0), (0..count).map(server).collect());
    balancer
}

/// Picks a server `count` times and returns the chosen servers, each with the number of times.
pub fn pick_counts(
    balancer: &mut LoadBalancer,
    now: Timestamp,
    query: &RouteQuery,
    count: usize,
) -> Vec<(String, usize)> {
    let mut counts: Vec<(String, usize)> = Vec::new();
    for _ in 0..count {
        let Some(server) = balancer.pick(now, query) else { break };
        let name = server.id.to_string();
        match counts.iter_mut().find(|(known, _)| *known == name) {
            Some((_, picks)) => *picks += 1,
            None => counts.push((name, 1)),
        }
    }
    counts.sort();
    counts
}

/// Picks a server `count` times and returns the names of the chosen servers.
pub fn picked_names(
    balancer: &mut LoadBalancer,
    now: Timestamp,
    query: &RouteQuery,
    count: usize,
) -> String {
    let names: Vec<String> =
        pick_counts(balancer, now, query, count).into_iter().map(|(name, _)| name).collect();
    names.join(" ")
}
