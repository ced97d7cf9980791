//! Evacuated failure domains: nothing new goes to their servers, and requests that no other server
//! can take are refused at once.

mod support;

use berylwheel_route::Availability;
use berylwheel_route::ColdPool;
use berylwheel_route::LoadBalancer;
use berylwheel_route::Outcome;
use berylwheel_route::PauseRequest;
use berylwheel_route::RoutePolicy;
use berylwheel_route::RouteQuery;
use berylwheel_route::Server;
use berylwheel_route::ServerSignal;
use berylwheel_route::WaitDecision;
use berylwheel_route::decide_wait;
use berylwheel_types::BackendId;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastSet;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use proptest::prelude::*;
use support::SEED;
use support::at;
use support::engine;
use support::load_report;
use support::proptest_config;
use support::query;
use support::service;
use support::service_query;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const SERVERS: usize = 14;

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

/// Returns the domains whose bits are set in `mask`. The bit after the last one is a domain without
/// servers.
fn domains(mask: u8) -> FastSet<FailureDomain> {
    let names = DOMAINS.iter().chain(&["nowhere"]).enumerate();
    names.filter(|(n, _)| mask >> n & 1 == 1).map(|(_, name)| domain(name)).collect()
}

/// Returns nine engines and three services in all domains, and two services in domain `a` only.
fn fleet() -> Vec<Server> {
    let engines = (0..9).map(|n| engine(&format!("e{n}"), &["m1"], 1 + n as u32 % 3));
    let services = (0..3).map(|n| service(&format!("s{n}"), "stock", 2));
    let spread = engines
        .chain(services)
        .enumerate()
        .map(|(n, server)| Server { domain: domain(DOMAINS[n % DOMAINS.len()]), ..server });
    let single =
        (0..2).map(|n| Server { domain: domain("a"), ..service(&format!("t{n}"), "print", 2) });
    spread.chain(single).collect()
}

fn queries() -> [RouteQuery; 3] {
    [query("m1", 7), service_query("stock"), service_query("print")]
}

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    Start { query: usize, exclude: usize },
    End { index: usize, outcome: Outcome },
    Report { server: usize, load: u32 },
    Leave(usize),
    Pause(usize),
    Refused(usize),
    SetServers(u16),
    SetRouters(usize),
    Evacuate(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        3 => Just(Outcome::Ok),
        2 => Just(Outcome::Failed),
        1 => Just(Outcome::Misdirected),
        1 => Just(Outcome::Cancelled),
    ];
    prop_oneof![
        2 => prop_oneof![0..100_u64, 0..20_000_u64].prop_map(Step::Advance),
        8 => (0..3_usize, 0..40_usize).prop_map(|(query, exclude)| Step::Start { query, exclude }),
        4 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Step::End { index, outcome }),
        1 => (0..SERVERS, 0..4_u32).prop_map(|(server, load)| Step::Report { server, load }),
        1 => (0..SERVERS).prop_map(Step::Leave),
        1 => (0..SERVERS).prop_map(Step::Pause),
        1 => (0..SERVERS).prop_map(Step::Refused),
        1 => any::<u16>().prop_map(Step::SetServers),
        1 => (1..4_usize).prop_map(Step::SetRouters),
        2 => (0..16_u8).prop_map(Step::Evacuate),
    ]
}

struct Harness {
    balancer: LoadBalancer,
    now: Timestamp,
    fleet: Vec<Server>,
    configured: Vec<Server>,
    open: Vec<BackendId>,
    evacuated: FastSet<FailureDomain>,
    /// Number of picks while a domain was evacuated.
    picks: usize,
}

impl Harness {
    fn new(subset_size: usize) -> Self {
        let policy = RoutePolicy { subset_size, ..RoutePolicy::default() };
        let mut balancer = LoadBalancer::new("r1".parse().unwrap(), policy, support::SEED);
        let fleet = fleet();
        balancer.set_servers(at(0), fleet.clone());
        Self {
            balancer,
            now: at(0),
            configured: fleet.clone(),
            fleet,
            open: Vec::new(),
            evacuated: FastSet::default(),
            picks: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.now;
        let id = |n: &usize| self.fleet[*n].id.clone();
        match step {
            Step::Advance(ms) => self.now += Millis(*ms),
            Step::Start { query, exclude } => self.start(*query, *exclude),
            Step::End { index, outcome } if !self.open.is_empty() => {
                let id = self.open.swap_remove(index % self.open.len());
                self.balancer.request_ended(now, &id, *outcome);
            }
            Step::End { .. } => {}
            Step::Report { server, load } => {
                self.balancer.apply_report(now, &id(server), load_report(now, *load));
            }
            Step::Leave(n) => self.balancer.set_leaving(now, &id(n)),
            Step::Pause(n) => {
                let pause = PauseRequest::Wait(Millis(3_000));
                let address = self.fleet[*n].address;
                let signal =
                    ServerSignal { address, sent_at: now, leaving: false, pause, cold: None };
                self.balancer.apply_signal(now, &id(n), signal);
            }
            Step::Refused(n) => self.balancer.server_refused(now, &id(n)),
            Step::SetServers(mask) => {
                let kept = self.fleet.iter().enumerate().filter(|(n, _)| mask >> n & 1 == 1);
                self.configured = kept.map(|(_, server)| server.clone()).collect();
                self.balancer.set_servers(now, self.configured.clone());
                self.balancer.clear_notices();
            }
            Step::SetRouters(live) => self.balancer.set_routers(*live),
            Step::Evacuate(mask) => {
                self.evacuated = domains(*mask);
                self.balancer.set_evacuated(now, self.evacuated.clone());
            }
        }
    }

    fn start(&mut self, query: usize, exclude: usize) {
        let mut query = queries()[query].clone();
        query.exclude.extend(self.fleet.get(exclude).map(|server| server.id.clone()));
        let can_start = self.balancer.can_start(self.now, &query);
        let Some(server) = self.balancer.pick(self.now, &query) else {
            assert!(!can_start);
            return;
        };
        assert!(!self.evacuated.contains(&server.domain), "request to evacuated {}", server.id);
        self.picks += usize::from(!self.evacuated.is_empty());
        self.balancer.request_started(self.now, &server.id);
        self.open.push(server.id);
    }

    fn check(&mut self) {
        let probed = self.balancer.due_probes(self.now);
        for id in &probed {
            let server = self.fleet.iter().find(|server| server.id == *id).unwrap();
            assert!(!self.evacuated.contains(&server.domain), "probe of evacuated {id}");
        }
        for query in queries() {
            let usable = self.configured.iter().filter(|server| {
                let supports = match &query.model {
                    Some(model) => server.models.contains(model),
                    None => server.kinds.contains(&query.kind),
                };
                supports && !self.balancer.is_leaving(&server.id)
            });
            let others = usable.clone().filter(|s| !self.evacuated.contains(&s.domain));
            let availability = self.balancer.availability(self.now, &query);
            let expected = usable.clone().count() > 0 && others.clone().count() == 0;
            assert_eq!(availability == Availability::Evacuated, expected, "{availability:?}");
            let limit: u32 = others.map(|server| server.concurrency).sum();
            assert!(self.balancer.capacity(self.now, &query) <= limit);
            let deadline = self.now + Millis(60_000);
            let decision = decide_wait(self.now, deadline, Millis(10), availability);
            if expected {
                assert!(matches!(decision, WaitDecision::Refuse(_)), "{decision:?}");
                assert!(!self.balancer.can_start(self.now, &query));
            }
        }
        let evacuated = self.balancer.dump().servers.into_iter().filter(|s| s.evacuated);
        for server in evacuated {
            assert!(self.evacuated.contains(&server.domain) && !server.used, "{server:?}");
        }
    }
}

fn run(subset_size: usize) {
    let picks = std::cell::Cell::new(0);
    let mut runner = proptest::test_runner::TestRunner::new(proptest_config(256));
    let history = prop::collection::vec(step(), 1..120);
    let result = runner.run(&history, |steps| {
        let mut harness = Harness::new(subset_size);
        for step in &steps {
            harness.apply(step);
            harness.check();
        }
        picks.set(picks.get() + harness.picks);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    assert!(picks.get() > 1_000, "only {} requests beside an evacuation", picks.get());
}

/// Guards against requests and probes to servers of evacuated domains, and against letting requests
/// wait that only these could take, in any sequence of events.
#[test]
fn no_request_or_probe_goes_to_an_evacuated_domain() {
    run(48);
}

/// The same with subsets that are smaller than the pools, whose places evacuated servers must not
/// take.
#[test]
fn evacuated_servers_take_no_place_in_a_subset() {
    run(2);
}

/// Guards against offering the servers of a restored domain their full capacity at once, and against
/// losing when that was.
#[test]
fn restored_servers_go_through_slow_start() {
    let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 1);
    balancer.set_servers(at(0), fleet());
    let weight = |balancer: &LoadBalancer, domain: &str| {
        let dump = balancer.dump();
        dump.servers.into_iter().find(|server| server.domain.as_str() == domain).unwrap().weight
    };
    assert_eq!(balancer.set_evacuated(at(10), domains(1)).evacuated, [domain("a")]);
    let change = balancer.set_evacuated(at(20_000), domains(2));
    assert_eq!((change.evacuated, change.restored), (vec![domain("b")], vec![domain("a")]));
    assert_eq!(weight(&balancer, "a"), 0.1);
    assert_eq!(weight(&balancer, "c"), 1.0);
    assert_eq!(balancer.restored_at(at(20_001), &domain("a")), Some(at(20_000)));
    assert_eq!(balancer.restored_at(at(20_001), &domain("b")), None);
    balancer.set_evacuated(at(25_000), domains(3));
    assert_eq!(balancer.restored_at(at(25_000), &domain("a")), None);
}

/// Guards against counting an unchanged set, which each read of the store repeats, as a change.
#[test]
fn an_unchanged_set_changes_nothing() {
    let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 1);
    balancer.set_servers(at(0), fleet());
    balancer.set_evacuated(at(10), domains(9));
    let change = balancer.set_evacuated(at(20), domains(9));
    assert!(change.evacuated.is_empty() && change.restored.is_empty());
    let listed = balancer.evacuated_domains();
    let listed: Vec<_> = listed.iter().map(|d| (d.domain.as_str(), d.since, d.servers)).collect();
    assert_eq!(listed, [("a", at(10), 6), ("nowhere", at(10), 0)]);
}

/// Guards against a Retry-After beyond the caller's deadline.
#[test]
fn the_retry_delay_ends_at_the_deadline() {
    let decide = |ms| decide_wait(at(0), at(ms), Millis(5), Availability::Evacuated);
    assert_eq!(decide(300), WaitDecision::Refuse(Millis(300)));
    assert_eq!(decide(9_000), WaitDecision::Refuse(Millis(1_000)));
}

/// Guards against taking ejections of evacuated servers into account, so that a failing server stays
/// in use although others serve, or more than a third of the rest is ejected.
#[test]
fn ejection_limits_count_the_servers_that_are_left() {
    let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 1);
    balancer.set_servers(at(0), fleet().into_iter().take(9).collect());
    for id in ["e1", "e4", "e7"] {
        balancer.server_refused(at(1), &id.parse().unwrap());
    }
    let ejected = |balancer: &LoadBalancer| {
        balancer.dump().servers.iter().filter(|s| s.ejected_until.is_some()).count()
    };
    assert_eq!(ejected(&balancer), 3);
    balancer.set_evacuated(at(2), domains(1));
    assert_eq!(ejected(&balancer), 2);
}

/// Guards against full load at servers that became cold while their domain was evacuated.
#[test]
fn servers_of_a_restored_domain_count_as_cold() {
    let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), SEED);
    balancer.set_servers(at(0), fleet());
    let pool = ColdPool { rate: "2".parse().unwrap(), time: Millis(3_000) };
    balancer.set_cold_pools(at(0), [("print".parse().unwrap(), pool)].into_iter().collect());
    let print = service_query("print");
    assert!(balancer.can_start(at(0), &print));

    balancer.set_evacuated(at(1_000), domains(0b001));
    assert!(!balancer.can_start(at(1_000), &print));
    balancer.set_evacuated(at(5_000), domains(0));
    // The list of routers is not known, so this router has no part of what the servers can handle.
    assert!(!balancer.can_start(at(7_999), &print));
    assert!(balancer.can_start(at(8_000), &print));
}
