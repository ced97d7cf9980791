//! Fencing: two routers must never send orders to the same backend server at the same time.

use berylwheel_config::Fence;
use berylwheel_config::FenceAction;
use berylwheel_config::FencePolicy;
use berylwheel_config::FenceRecord;
use berylwheel_config::FenceResult;
use berylwheel_settings::Fencing;
use berylwheel_types::BackendId;
use berylwheel_types::FenceNumber;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseResult;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const SEED: [u8; 32] = *b"berylwheel config fence tests 01";

/// The fence and lease keys of one server.
#[derive(Default)]
struct Store {
    record: Option<(FenceRecord, u64)>,
    lease: Option<(Incarnation, Timestamp)>,
}

impl Store {
    fn holder(&self, now: Timestamp) -> Option<&Incarnation> {
        self.lease.as_ref().filter(|(_, until)| now < *until).map(|(owner, _)| owner)
    }

    fn write(&mut self, now: Timestamp, action: &FenceAction) -> bool {
        let FenceAction::Write { prior_revision, record, lease, .. } = action else {
            return false;
        };
        let revision = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        if revision != *prior_revision || (lease.is_some() && self.holder(now).is_some()) {
            return false;
        }
        self.record = Some((record.clone(), revision + 1));
        self.lease = lease.map(|span| (record.owner.clone(), now + span));
        true
    }
}

/// A pending store request, and whether its response will be lost.
struct Request {
    router: usize,
    arrival: Timestamp,
    response_at: Timestamp,
    action: FenceAction,
    lost: bool,
    response: Option<Response>,
}

enum Response {
    Read(Option<(FenceRecord, u64)>, Option<Incarnation>),
    Written(bool),
    Kept(bool),
}

struct Simulation {
    now: Timestamp,
    server: BackendId,
    fencing: Fencing,
    store: Store,
    routers: Vec<Fence>,
    paused_until: Vec<Timestamp>,
    requests: Vec<Request>,
    /// Recent orders: the sender, the fencing number, the time of sending and the time of the
    /// timeout.
    orders: Vec<(usize, FenceNumber, Timestamp, Timestamp)>,
    sent_count: usize,
}

impl Simulation {
    fn new(count: usize, fencing: Fencing) -> Self {
        let run = |i| Incarnation { router: format!("r{i}").parse().unwrap(), number: 1 };
        let routers: Vec<Fence> =
            (0..count).map(|i| Fence::new(run(i), FencePolicy::default())).collect();
        Self {
            now: Timestamp::from_millis(1_000),
            server: "s".parse().unwrap(),
            fencing,
            store: Store::default(),
            paused_until: vec![Timestamp::from_millis(0); count],
            routers,
            requests: Vec::new(),
            orders: Vec::new(),
            sent_count: 0,
        }
    }

    fn execute(&mut self, index: usize) {
        let (now, request) = (self.now, &mut self.requests[index]);
        let owner =
            Incarnation { router: format!("r{}", request.router).parse().unwrap(), number: 1 };
        request.response = Some(match request.action {
            FenceAction::Read(_) => {
                Response::Read(self.store.record.clone(), self.store.holder(now).cloned())
            }
            FenceAction::Write { .. } => Response::Written(self.store.write(now, &request.action)),
            FenceAction::KeepAlive { .. } => {
                let alive = self.store.holder(now) == Some(&owner);
                if alive {
                    self.store.lease = Some((owner, now + FencePolicy::default().lease_time));
                }
                Response::Kept(alive)
            }
        });
    }

    fn deliver(&mut self, request: Request) {
        let (fence, now, server) = (&mut self.routers[request.router], self.now, &self.server);
        match (request.response, request.action) {
            (Some(Response::Read(..)), _) if request.lost => fence.handle_read_failure(now, server),
            (Some(Response::Read(record, holder)), _) => {
                fence.handle_read(now, server, record, holder.as_ref());
            }
            (Some(Response::Written(committed)), FenceAction::Write { record, .. }) => {
                let result =
                    if committed { FenceResult::Committed } else { FenceResult::NotCommitted };
                let result = if request.lost { FenceResult::Unknown } else { result };
                fence.handle_write(now, server, record.number, result);
            }
            (Some(Response::Kept(alive)), FenceAction::KeepAlive { requested_at, .. })
                if !request.lost =>
            {
                fence.handle_keep_alive(server, requested_at, alive);
            }
            _ => {}
        }
    }

    /// Advances the clock by 100 ms. `draw` determines delays and lost responses.
    fn step(&mut self, draw: &mut dyn FnMut(u64) -> u64) -> TestCaseResult {
        self.now += Millis(100);
        let now = self.now;
        for index in 0..self.requests.len() {
            if self.requests[index].response.is_none() && self.requests[index].arrival <= now {
                self.execute(index);
            }
        }
        for router in
            (0..self.routers.len()).filter(|r| self.paused_until[*r] <= now).collect::<Vec<_>>()
        {
            let ready =
                |r: &Request| r.router == router && r.response_at <= now && r.response.is_some();
            while let Some(index) = self.requests.iter().position(ready) {
                let request = self.requests.remove(index);
                self.deliver(request);
            }
            self.routers[router].acquire(now, &self.server, self.fencing);
            for action in self.routers[router].poll(now) {
                let mut delay = || {
                    let limit = if draw(10) == 0 { 9_000 } else { 100 };
                    Millis(1 + draw(limit))
                };
                let arrival = now + delay();
                let response_at = arrival + delay();
                let lost = draw(10) == 0;
                self.requests.push(Request {
                    router,
                    arrival,
                    response_at,
                    action,
                    lost,
                    response: None,
                });
            }
            if let Ok(number) = self.routers[router].authorize(now, &self.server) {
                // The process may be paused between the check and the sending, for as long as the
                // safety margins allow.
                let pause = if draw(10) == 0 { draw(10_000) } else { 0 };
                self.record_order(router, number, Millis(pause))?;
            }
        }
        Ok(())
    }

    fn record_order(
        &mut self,
        router: usize,
        number: FenceNumber,
        pause: Millis,
    ) -> TestCaseResult {
        let (now, from) = (self.now, self.now + pause);
        let until = from + self.routers[router].order_timeout();
        self.orders.retain(|order| order.3 > now);
        for order in self.orders.iter().filter(|order| order.0 != router) {
            prop_assert_ne!(order.1, number, "two routers use the same fencing number");
            let disjoint = order.3 <= from || until <= order.2;
            prop_assert!(
                disjoint || self.fencing == Fencing::Checked,
                "r{} and {:?}",
                router,
                order
            );
        }
        self.orders.push((router, number, from, until));
        self.sent_count += 1;
        Ok(())
    }
}

fn check_orders(fencing: Fencing) {
    println!("seed {}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let pauses = prop::collection::vec((0..900usize, 0..3usize, 1..30_000u64), 0..20);
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<u64>(), pauses), |(seed, pauses)| {
            let mut simulation = Simulation::new(3, fencing);
            let mut draw_count = 0u64;
            let mut draw = |limit: u64| {
                draw_count += 1;
                berylwheel_types::stable_hash(&[&seed.to_string(), &draw_count.to_string()]) % limit
            };
            for step in 0..900 {
                for (_, router, span) in pauses.iter().filter(|pause| pause.0 == step) {
                    simulation.paused_until[*router] = simulation.now + Millis(*span);
                }
                simulation.step(&mut draw)?;
            }
            // Whatever happened before, some router can send again once the store responds
            // reliably.
            simulation.sent_count = 0;
            simulation.paused_until.fill(simulation.now);
            for _ in 0..450 {
                simulation.step(&mut |limit| limit / 2)?;
            }
            prop_assert!(
                simulation.sent_count > 0,
                "no router sent an order in 45 s without faults"
            );
            Ok(())
        })
        .unwrap();
}

#[test]
fn orders_to_a_server_that_ignores_numbers_never_overlap() {
    check_orders(Fencing::Ignored);
}

#[test]
fn each_fencing_number_is_issued_to_one_router() {
    check_orders(Fencing::Checked);
}

#[test]
fn delayed_write_keeps_the_lease_time_of_the_first_request() {
    let server: BackendId = "s".parse().unwrap();
    let run = Incarnation { router: "r".parse().unwrap(), number: 1 };
    let at = Timestamp::from_millis;
    let mut fence = Fence::new(run.clone(), FencePolicy::default());
    fence.acquire(at(0), &server, Fencing::Ignored);
    fence.poll(at(0));
    fence.handle_read(at(0), &server, None, None);
    let number = FenceNumber(1);
    // The first write is delayed, and the read that follows does not see it yet. The store rejects
    // the second write because the first was committed meanwhile, and that response is lost too.
    fence.handle_write(at(10), &server, number, FenceResult::Unknown);
    fence.handle_read(at(9_000), &server, None, None);
    fence.handle_write(at(9_010), &server, number, FenceResult::Unknown);
    let record = FenceRecord { number, owner: run.clone() };
    fence.handle_read(at(9_020), &server, Some((record, 1)), Some(&run));
    assert!(
        fence.authorize(at(9_030), &server).is_err(),
        "the lease may be as old as the first write"
    );
}
