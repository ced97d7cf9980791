//! Tests of the requests to cold servers: who may send, when, and what the load balancer makes of it.

mod support;

use berylwheel_route::Availability;
use berylwheel_route::ColdChange;
use berylwheel_route::ColdLimit;
use berylwheel_route::ColdPool;
use berylwheel_route::ColdSource;
use berylwheel_route::LoadBalancer;
use berylwheel_route::Outcome;
use berylwheel_route::PauseRequest;
use berylwheel_route::RoutePolicy;
use berylwheel_route::ServerSignal;
use berylwheel_route::WaitDecision;
use berylwheel_route::decide_wait;
use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use support::SEED;
use support::at;
use support::id;
use support::service;
use support::service_query;

/// A rate of requests per second, that of the refill deployment.
const RATE: f64 = 6.6;
/// Maximum age of a list of routers.
const LIST_AGE: Millis = Millis(12_000);

fn names(count: usize) -> Vec<RouterId> {
    (0..count).map(|n| format!("r{n}").parse().unwrap()).collect()
}

/// Returns the limits of `count` routers that have been listed for a long time.
fn limits(count: usize) -> Vec<ColdLimit> {
    let limit = |name: &RouterId| {
        let mut limit = ColdLimit::new(name.clone());
        limit.entry_written(Timestamp::default());
        limit.entry_confirmed(at(0));
        limit.set_routers(at(0), names(count), LIST_AGE);
        limit
    };
    names(count).iter().map(limit).collect()
}

/// Returns the times at which each of the routers sends, each as soon as it may, from the moment that
/// the server becomes cold.
fn sends(limits: &mut [ColdLimit], server: &BackendId, rate: f64, span: u64) -> Vec<u64> {
    for limit in limits.iter_mut() {
        limit.report(at(0), server, Millis(span), ColdSource::Entry, rate);
    }
    let mut sends = Vec::new();
    for ms in 0..span {
        for limit in limits.iter_mut() {
            if limit.may_send(at(ms), server) {
                limit.take_turn(at(ms), server, true);
                sends.push(ms);
            }
        }
    }
    sends
}

/// Guards against sending more or less than the rate, whatever the number of routers is: the rate
/// rounded down, reduced beyond 10 so that two lists keep within the bound, from the second on.
#[test]
fn routers_share_the_rate() {
    let server = id("s1");
    let table = [
        (1, RATE, 6),
        (2, RATE, 6),
        (3, RATE, 6),
        (4, RATE, 6),
        (6, RATE, 6),
        (7, RATE, 6),
        (77, RATE, 6),
        (295, RATE, 6),
        (3, 1.0, 1),
        (77, 10.0, 10),
        (3, 20.0, 17),
        (19, 20.0, 17),
        (295, 400.0, 302),
    ];
    for (routers, rate, per_second) in table {
        let sent = sends(&mut limits(routers), &server, rate, 4_000);
        let in_second =
            |second: u64| sent.iter().filter(|ms| second * 1_000 == **ms / 1_000 * 1_000).count();
        let seconds: Vec<usize> = (0..4).map(in_second).collect();
        assert_eq!(seconds, [0, per_second, per_second, per_second], "{routers} routers at {rate}");
        let busiest = sent
            .iter()
            .map(|start| sent.iter().filter(|ms| (*start..start + 1_000).contains(*ms)).count());
        assert!(busiest.max().unwrap() <= per_second, "{routers} routers at {rate}");
    }
    let slow = sends(&mut limits(77), &server, 0.5, 9_000);
    assert_eq!(slow, [2_000, 4_000, 6_000, 8_000], "a rate below one");
    assert_eq!(sends(&mut limits(3), &server, 0.0, 100).len(), 300, "no limit");
}

/// Guards against sending to a cold server without knowing with whom to share, or for whom the others
/// leave no share: right after the start, unlisted, or with an entry that may have expired.
#[test]
fn a_router_that_the_others_may_not_count_sends_nothing() {
    let server = id("s1");
    let send_times = |change: fn(&mut ColdLimit)| {
        let mut limit = ColdLimit::new("r0".parse().unwrap());
        change(&mut limit);
        let sent = sends(&mut [limit], &server, RATE, 14_000);
        (sent.first().copied(), sent.last().copied())
    };
    let list = |limit: &mut ColdLimit| limit.set_routers(at(0), names(2), LIST_AGE);
    assert_eq!(send_times(|_| {}), (None, None), "nothing known");
    assert_eq!(send_times(list), (None, None), "no entry of its own");
    let unlisted = |limit: &mut ColdLimit| {
        limit.entry_written(at(0));
        limit.entry_confirmed(at(0));
        limit.set_routers(at(0), vec!["r1".parse().unwrap()], LIST_AGE);
    };
    assert_eq!(send_times(unlisted), (None, None), "not in the list");
    let unread = |limit: &mut ColdLimit| {
        limit.entry_written(at(0));
        limit.entry_confirmed(at(0));
    };
    assert_eq!(send_times(unread), (None, None), "list not read");
    let just_started = |limit: &mut ColdLimit| {
        limit.entry_written(at(0));
        limit.entry_confirmed(at(0));
        limit.entry_confirmed(at(10_000));
        limit.set_routers(at(9_000), names(2), LIST_AGE);
    };
    assert_eq!(send_times(just_started).0, Some(12_000), "others may have a list without it");
    let stale = |limit: &mut ColdLimit| {
        limit.entry_confirmed(at(10_000));
        limit.set_routers(at(0), names(2), Millis(5_000));
    };
    let (first, last) = send_times(stale);
    assert_eq!(first, Some(1_000));
    assert!(last.unwrap() < 5_000, "the list is old: {last:?}");
    let expired = |limit: &mut ColdLimit| {
        limit.entry_confirmed(at(0));
        limit.set_routers(at(0), names(2), LIST_AGE);
    };
    let (first, last) = send_times(expired);
    assert_eq!(first, Some(1_000));
    assert!(last.unwrap() < 11_000, "the entry may have expired: {last:?}");
}

/// Guards against a second turn within one second of that of a router whose turns this one takes
/// over, and against keeping turns that a longer list gives to others.
#[test]
fn a_turn_taken_over_waits() {
    let server = id("s1");
    let mut limits = limits(295);
    for limit in &mut limits {
        limit.report(at(0), &server, Millis(60_000), ColdSource::Entry, RATE);
    }
    let senders = |limits: &[ColdLimit], now| -> Vec<usize> {
        (0..limits.len()).filter(|n| limits[*n].may_send(now, &server)).collect()
    };
    let first = senders(&limits, at(1_000));
    assert_eq!(first.len(), 6);
    let rest: Vec<RouterId> = names(295)
        .into_iter()
        .enumerate()
        .filter(|(n, _)| !first.contains(n))
        .map(|(_, r)| r)
        .collect();
    limits.iter_mut().for_each(|limit| limit.set_routers(at(1_100), rest.clone(), LIST_AGE));
    assert_eq!(senders(&limits, at(2_099)), []);
    assert_eq!(senders(&limits, at(2_100)).len(), 6);
    limits.iter_mut().for_each(|limit| limit.set_routers(at(2_100), names(295), LIST_AGE));
    assert_eq!(senders(&limits, at(2_101)), []);
    assert_eq!(senders(&limits, at(3_100)), first);
}

/// Guards against losing the turn of a request that did not reach the server, and against giving
/// back one that may have.
#[test]
fn a_misdirected_request_gives_its_turn_back() {
    let server = id("s1");
    let mut limits = limits(77);
    for limit in &mut limits {
        limit.report(at(0), &server, Millis(9_000), ColdSource::Entry, 0.5);
    }
    let limit = limits.iter_mut().find(|limit| limit.may_send(at(2_000), &server)).unwrap();
    limit.take_turn(at(2_000), &server, true);
    assert!(!limit.may_send(at(2_010), &server));
    limit.request_ended(&server, false);
    assert!(limit.may_send(at(2_010), &server));
    limit.take_turn(at(2_010), &server, true);
    limit.request_ended(&server, true);
    limit.request_ended(&server, false);
    assert!(!limit.may_send(at(2_020), &server), "the turn of a request that reached the server");
    limit.take_turn(at(4_100), &server, false);
    limit.request_ended(&server, false);
    assert!(!limit.may_send(at(4_110), &server), "another request was at the server");
}

/// Guards against ending a cold state early because of a report that was written before it began,
/// and against keeping it although the server says that it is over.
#[test]
fn later_reports_replace_earlier_ones() {
    use ColdSource::Answer;
    use ColdSource::Entry;
    use ColdSource::New;
    use ColdSource::Restored;
    // Each report with its time and how long the server stays cold, and the expected end.
    type Report = (u64, u64, ColdSource);
    let table: [(&[Report], Option<u64>); 14] = [
        (&[(0, 3_000, Entry)], Some(3_000)),
        (&[(0, 0, Entry)], None),
        (&[(0, 3_000, Entry), (100, 500, Entry)], Some(600)),
        (&[(0, 3_000, Entry), (100, 0, Entry)], None),
        (&[(0, 3_000, Answer), (100, 0, Entry)], Some(3_000)),
        (&[(0, 3_000, Answer), (100, 4_000, Entry)], Some(4_100)),
        (&[(0, 3_000, Answer), (100, 0, Answer)], None),
        (&[(0, 3_000, Entry), (100, 0, Answer)], None),
        (&[(0, 3_000, New), (0, 0, Entry)], None),
        (&[(0, 3_000, Restored), (500, 0, Entry)], Some(3_000)),
        (&[(0, 3_000, Restored), (600, 4_000, Entry)], Some(4_600)),
        (&[(0, 30_000, Restored), (1_500, 0, Entry)], None),
        (&[(0, 500, Entry), (100, 3_000, Restored)], Some(3_100)),
        (&[(0, u64::MAX, Entry)], Some(600_000)),
    ];
    for (reports, expected) in table {
        let mut limit = ColdLimit::new("r0".parse().unwrap());
        let mut last = 0;
        for (ms, remaining, source) in reports {
            limit.report(at(*ms), &id("s1"), Millis(*remaining), *source, RATE);
            last = *ms;
        }
        let end = limit.cold_until(at(last), &id("s1")).map(|(until, _)| until);
        assert_eq!(end, expected.map(at), "{reports:?}");
    }
}

/// Returns the load balancer of the only router, with servers `s0`, `s1`, ... of the pool `desk`.
fn balancer(servers: usize) -> LoadBalancer {
    let policy = RoutePolicy { slow_start: Millis(1_000), ..RoutePolicy::default() };
    let mut balancer = LoadBalancer::new("r0".parse().unwrap(), policy, SEED);
    let pool = ColdPool { rate: "6.6".parse().unwrap(), time: Millis(3_000) };
    balancer.set_cold_pools(at(0), [("desk".parse().unwrap(), pool)].into_iter().collect());
    balancer.entry_written(Timestamp::default());
    balancer.entry_confirmed(at(0));
    balancer.set_listed_routers(at(0), names(1), LIST_AGE);
    set_servers(&mut balancer, 0, servers);
    balancer
}

fn set_servers(balancer: &mut LoadBalancer, ms: u64, servers: usize) {
    let server = |n| service(&format!("s{n}"), "desk", 6);
    balancer.set_servers(at(ms), (0..servers).map(server).collect());
}

/// Guards against using a cold server without a turn, against refusing or queueing its requests by
/// another time than that of the turn, and against leaving out the slow start.
#[test]
fn a_cold_server_takes_requests_at_turns() {
    let (mut balancer, query) = (balancer(1), service_query("desk"));
    assert!(balancer.can_start(at(0), &query));
    balancer.apply_cold_report(at(0), &id("s0"), Millis(3_000), ColdSource::Entry);
    assert!(balancer.has_cold(at(0)));
    assert!(!balancer.can_start(at(0), &query));
    assert_eq!(balancer.capacity(at(0), &query), 0);
    let availability = balancer.availability(at(0), &query);
    assert_eq!(availability, Availability::Cold(at(1_000)));
    let decide = |deadline| decide_wait(at(0), at(deadline), Millis(50), availability);
    assert_eq!(decide(1_051), WaitDecision::Queue);
    assert_eq!(decide(1_050), WaitDecision::Refuse(Millis(1_000)));
    let mut sent = Vec::new();
    for ms in 0..4_000 {
        while let Some(server) = balancer.pick(at(ms), &query).filter(|_| ms < 3_000) {
            balancer.request_started(at(ms), &server.id);
            balancer.request_ended(at(ms), &server.id, Outcome::Ok);
            sent.push(ms);
        }
    }
    assert_eq!(sent, (0..12_u64).map(|n| 1_000 + n * 167).collect::<Vec<u64>>());
    assert_eq!(balancer.cold_requests(), 12);
    assert_eq!(balancer.availability(at(3_000), &query), Availability::Open);
    let weight_at = |balancer: &mut LoadBalancer, ms| {
        balancer.pick(at(ms), &query);
        balancer.dump().servers[0].weight
    };
    assert_eq!(weight_at(&mut balancer, 3_000), 0.1);
    assert_eq!(weight_at(&mut balancer, 4_000), 1.0);
}

/// Guards against limiting the servers that ran before the router, or those of a pool without a
/// limit, and against not limiting new or restarted ones and those of a restored domain.
#[test]
fn new_and_restored_servers_count_as_cold() {
    let mut balancer = balancer(2);
    assert_eq!(balancer.poll_cold(at(0)), []);
    set_servers(&mut balancer, 100, 3);
    let began = |name, ms: u64, source| ColdChange::Began(id(name), at(ms + 3_000), source);
    assert_eq!(balancer.poll_cold(at(100)), [began("s2", 100, ColdSource::New)]);
    assert_eq!(balancer.poll_cold(at(101)), []);
    balancer.apply_cold_report(at(200), &id("s2"), Millis(0), ColdSource::Entry);
    assert_eq!(balancer.poll_cold(at(200)), [ColdChange::Ended(id("s2"))]);
    balancer.server_restarted(at(300), &id("s0"));
    assert_eq!(balancer.poll_cold(at(300)), [began("s0", 300, ColdSource::New)]);
    assert_eq!(balancer.poll_cold(at(3_300)), [ColdChange::Ended(id("s0"))]);
    balancer.mark_domain_cold(at(5_000), &"d2".parse().unwrap());
    assert_eq!(balancer.poll_cold(at(5_000)), []);
    balancer.mark_domain_cold(at(5_000), &"d1".parse().unwrap());
    let mut changes = balancer.poll_cold(at(5_000));
    changes.sort_unstable_by_key(|change| format!("{change:?}"));
    assert_eq!(changes, ["s0", "s1", "s2"].map(|name| began(name, 5_000, ColdSource::Restored)));
    balancer.set_cold_pools(at(5_100), [].into_iter().collect());
    assert!(!balancer.has_cold(at(5_100)));
    assert!(balancer.can_start(at(5_100), &service_query("desk")));
}

/// Guards against overlooking what a server says in an answer, and against taking it from a process
/// that was replaced.
#[test]
fn answers_tell_that_a_server_is_cold() {
    let mut balancer = balancer(1);
    let signal = |ms, cold| ServerSignal {
        address: "127.0.0.1:9000".parse().unwrap(),
        sent_at: at(ms),
        leaving: false,
        pause: PauseRequest::None,
        cold: Some(Millis(cold)),
    };
    balancer.apply_signal(at(10), &id("s0"), signal(5, 2_000));
    let dump = balancer.dump();
    let found = (dump.servers[0].cold_until, dump.servers[0].cold_source);
    assert_eq!(found, (Some(at(2_010)), Some(ColdSource::Answer)));
    balancer.apply_signal(at(20), &id("s0"), signal(15, 0));
    assert!(!balancer.has_cold(at(20)));
    balancer.server_restarted(at(30), &id("s0"));
    balancer.apply_signal(at(40), &id("s0"), signal(25, 0));
    assert!(balancer.has_cold(at(40)), "an answer of the earlier process");
}
