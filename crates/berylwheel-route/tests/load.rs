//! Load estimates from reports that are delayed, lost or out of order.

mod support;

use berylwheel_route::LoadBalancer;
use berylwheel_route::LoadReport;
use berylwheel_route::Outcome;
use berylwheel_route::RoutePolicy;
use berylwheel_route::RouteQuery;
use berylwheel_types::Millis;
use support::SEED;
use support::at;
use support::balancer_with_engines;
use support::id;
use support::load_report;
use support::picked_names;
use support::query;
use support::service;
use support::service_query;

struct ReportCase {
    name: &'static str,
    /// Load reports of `e0`: time of arrival and of measurement in ms, and load. Four requests of
    /// this router start at 1,000 ms and end at 2,000 ms.
    reports: &'static [(u64, u64, u32)],
    /// Expected number of requests from other routers at `e0` at 3,000 ms.
    others: Option<u32>,
}

const CASES: &[ReportCase] = &[
    ReportCase { name: "no report", reports: &[], others: None },
    ReportCase { name: "without delay", reports: &[(1_500, 1_500, 10)], others: Some(6) },
    ReportCase {
        name: "measured before own requests started",
        reports: &[(1_500, 900, 10)],
        others: Some(10),
    },
    ReportCase {
        name: "measured before own requests ended",
        reports: &[(2_900, 1_900, 10)],
        others: Some(6),
    },
    ReportCase {
        name: "older report arrives later",
        reports: &[(1_600, 1_500, 10), (1_700, 900, 3)],
        others: Some(6),
    },
    ReportCase { name: "server clock ahead", reports: &[(2_500, 9_000, 7)], others: Some(7) },
    ReportCase {
        name: "report after one with the clock ahead",
        reports: &[(2_500, 9_000, 7), (2_600, 2_600, 1)],
        others: Some(1),
    },
    ReportCase { name: "below own count", reports: &[(1_500, 1_500, 1)], others: Some(0) },
    ReportCase {
        name: "much later report",
        reports: &[(1_500, 1_500, 10), (40_000, 40_000, 0)],
        others: Some(0),
    },
];

/// Applies the events of `case` in order of time.
fn apply_events(case: &ReportCase) -> LoadBalancer {
    let mut balancer = balancer_with_engines(3, 100);
    let mut events: Vec<(u64, Option<(u64, u32)>)> = vec![(1_000, None), (2_000, None)];
    events.extend(case.reports.iter().map(|(now, time, load)| (*now, Some((*time, *load)))));
    events.sort_by_key(|(now, _)| *now);
    for (now, event) in events {
        match event {
            Some((time, load)) => {
                balancer.apply_report(at(now), &id("e0"), load_report(at(time), load))
            }
            None if now == 1_000 => {
                (0..4).for_each(|_| balancer.request_started(at(now), &id("e0")))
            }
            None => (0..4).for_each(|_| balancer.request_ended(at(now), &id("e0"), Outcome::Ok)),
        }
    }
    balancer.due_probes(at(3_000));
    balancer
}

/// Guards against counting this router's requests twice, and against old reports that replace newer
/// ones.
#[test]
fn own_requests_at_the_time_of_a_report_are_subtracted() {
    for case in CASES {
        assert_eq!(apply_events(case).dump().servers[0].others, case.others, "{}", case.name);
    }
}

/// Guards against using a report without an age limit, and against treating a server that stopped
/// reporting as idle.
#[test]
fn a_missing_report_is_estimated_as_the_mean() {
    let mut balancer = balancer_with_engines(3, 100);
    balancer.apply_report(at(0), &id("e0"), load_report(at(0), 0));
    balancer.apply_report(at(40_000), &id("e1"), load_report(at(40_000), 50));
    balancer.apply_report(at(40_000), &id("e2"), load_report(at(40_000), 20));
    balancer.due_probes(at(40_000));
    assert_eq!(balancer.dump().servers[0].others, None);
    assert_eq!(balancer.dump().servers[0].report_age, Some(Millis(40_000)));
    // The less loaded of e0 and e2 is chosen. The estimate for e0 is the mean, which is the load of
    // e2, the only other eligible server.
    let query = RouteQuery { exclude: vec![id("e1")], ..query("m1", 0) };
    assert_eq!(picked_names(&mut balancer, at(40_000), &query, 50), "e0 e2");
    balancer.request_started(at(40_000), &id("e2"));
    assert_eq!(picked_names(&mut balancer, at(40_000), &query, 50), "e0");
}

/// Guards against routers that all choose the same server because of one old report.
#[test]
fn the_weight_of_a_report_decays_with_its_age() {
    let mut balancer = balancer_with_engines(2, 100);
    balancer.apply_report(at(0), &id("e0"), load_report(at(0), 60));
    balancer.apply_report(at(0), &id("e1"), load_report(at(0), 20));
    (0..15).for_each(|_| balancer.request_started(at(0), &id("e1")));
    assert_eq!(picked_names(&mut balancer, at(0), &query("m1", 0), 50), "e1");
    assert_eq!(picked_names(&mut balancer, at(5_000), &query("m1", 0), 50), "e0");
}

/// Guards against exceeding this router's share of a server that other routers have filled.
#[test]
fn a_full_server_gets_only_the_share_of_this_router() {
    let mut balancer = balancer_with_engines(1, 10);
    balancer.set_routers(5);
    let full = LoadReport { queued: 1, ..load_report(at(0), 9) };
    balancer.apply_report(at(0), &id("e0"), full);
    assert_eq!(balancer.capacity(at(0), &query("m1", 0)), 2);
    for _ in 0..2 {
        assert!(balancer.can_start(at(0), &query("m1", 0)));
        balancer.request_started(at(0), &id("e0"));
    }
    assert!(!balancer.can_start(at(0), &query("m1", 0)));
    balancer.apply_report(at(100), &id("e0"), load_report(at(100), 4));
    assert!(balancer.can_start(at(100), &query("m1", 0)));
    assert_eq!(balancer.capacity(at(100), &query("m1", 0)), 8);
}

/// Guards against control traffic that grows with the number of servers.
#[test]
fn probes_respect_the_rate_limit_and_reach_every_server() {
    let mut balancer = balancer_with_engines(48, 10);
    let mut probed = Vec::new();
    for second in 1..=6 {
        let due = balancer.due_probes(at(second * 1_000));
        assert!(due.len() <= 40, "{} probes", due.len());
        probed.extend(due);
    }
    assert!(probed.len() >= 6 * 40 - 10, "{} probes in 6 s", probed.len());
    for n in 0..48 {
        let count = probed.iter().filter(|a| **a == id(&format!("e{n}"))).count();
        // A server that is left out of one round is probed first in the next.
        assert!((3..=6).contains(&count), "e{n} was probed {count} times");
    }
}

/// Guards against an overflow when servers state or report the largest possible numbers.
#[test]
fn largest_limits_and_reports_do_not_overflow() {
    let query = query("m1", 0);
    let mut balancer = balancer_with_engines(3, u32::MAX);
    assert_eq!(balancer.capacity(at(0), &query), u32::MAX);
    for name in ["e0", "e1", "e2"] {
        balancer.apply_report(at(10), &id(name), load_report(at(10), u32::MAX));
    }
    assert!(balancer.can_start(at(10), &query), "the share of this router is free");
    assert_eq!(balancer.capacity(at(10), &query), u32::MAX);
}

/// Guards against a router that stays without servers: when all of them report that they are full
/// and none runs a request of this router, no response brings a newer report.
#[test]
fn router_without_requests_asks_a_full_server_again() {
    let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), SEED);
    let servers = (0..3).map(|n| service(&format!("s{n}"), "booking", 6)).collect();
    balancer.set_servers(at(0), servers);
    balancer.set_routers(72);
    let booking = service_query("booking");
    for n in 0..3 {
        balancer.apply_report(at(0), &id(&format!("s{n}")), load_report(at(0), 9));
    }
    assert!(!balancer.can_start(at(0), &booking));
    assert!(!balancer.can_start(at(999), &booking));

    // Each server gets one request, whose response brings the next report.
    let mut asked = Vec::new();
    while let Some(server) = balancer.pick(at(1_000), &booking) {
        balancer.request_started(at(1_000), &server.id);
        asked.push(server.id);
    }
    asked.sort_unstable();
    assert_eq!(asked, [id("s0"), id("s1"), id("s2")]);

    balancer.request_ended(at(1_100), &id("s0"), Outcome::Cancelled);
    balancer.apply_report(at(1_100), &id("s0"), load_report(at(1_100), 9));
    assert!(!balancer.can_start(at(1_200), &booking));
    assert!(balancer.can_start(at(2_100), &booking));
}
