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
        let FenceAction::Write { expected, record, lease, .. } = action else {
            return false;
        };
        let revision = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        if revision != *expected || (lease.is_some() && self.holder(now).is_some()) {
            return false;
        }
        self.record = Some((record.clone(), revision + 1));
        self.lease = lease.map(|span| (record.owner.clone(), now + span));
        true
    }
}

/// A pending store request, and whether its response will be lost.
struct Call {
    router: usize,
    at: Timestamp,
    answer: Timestamp,
    action: FenceAction,
    lost: bool,
    taken: Option<Answer>,
}

enum Answer {
    Read(Option<(FenceRecord, u64)>, Option<Incarnation>),
    Written(bool),
    Kept(bool),
}

struct World {
    now: Timestamp,
    server: BackendId,
    fencing: Fencing,
    store: Store,
    routers: Vec<Fence>,
    paused: Vec<Timestamp>,
    calls: Vec<Call>,
    /// Recent orders: the sender, the fencing number, the time of sending and the latest time of
    /// arrival.
    orders: Vec<(usize, FenceNumber, Timestamp, Timestamp)>,
    sent: usize,
}

impl World {
    fn new(count: usize, fencing: Fencing) -> Self {
        let run = |i| Incarnation { router: format!("r{i}").parse().unwrap(), number: 1 };
        let routers: Vec<Fence> =
            (0..count).map(|i| Fence::new(run(i), FencePolicy::default())).collect();
        Self {
            now: Timestamp::from_millis(1_000),
            server: "s".parse().unwrap(),
            fencing,
            store: Store::default(),
            paused: vec![Timestamp::from_millis(0); count],
            routers,
            calls: Vec::new(),
            orders: Vec::new(),
            sent: 0,
        }
    }

    fn at_store(&mut self, index: usize) {
        let (now, call) = (self.now, &mut self.calls[index]);
        let owner = Incarnation { router: format!("r{}", call.router).parse().unwrap(), number: 1 };
        call.taken = Some(match call.action {
            FenceAction::Read(_) => {
                Answer::Read(self.store.record.clone(), self.store.holder(now).cloned())
            }
            FenceAction::Write { .. } => Answer::Written(self.store.write(now, &call.action)),
            FenceAction::KeepAlive { .. } => {
                let alive = self.store.holder(now) == Some(&owner);
                if alive {
                    self.store.lease = Some((owner, now + FencePolicy::default().lease));
                }
                Answer::Kept(alive)
            }
        });
    }

    fn answered(&mut self, call: Call) {
        let (fence, now, server) = (&mut self.routers[call.router], self.now, &self.server);
        match (call.taken, call.action) {
            (Some(Answer::Read(..)), _) if call.lost => fence.failed(now, server),
            (Some(Answer::Read(record, holder)), _) => {
                fence.read(now, server, record, holder.as_ref());
            }
            (Some(Answer::Written(won)), FenceAction::Write { record, .. }) => {
                let result = if won { FenceResult::Won } else { FenceResult::Lost };
                let result = if call.lost { FenceResult::Unknown } else { result };
                fence.written(now, server, record.number, result);
            }
            (Some(Answer::Kept(alive)), FenceAction::KeepAlive { asked, .. }) if !call.lost => {
                fence.kept(server, asked, alive);
            }
            _ => {}
        }
    }

    /// Advances the clock by 100 ms. `draw` determines delays and lost responses.
    fn step(&mut self, draw: &mut dyn FnMut(u64) -> u64) -> TestCaseResult {
        self.now += Millis(100);
        let now = self.now;
        for index in 0..self.calls.len() {
            if self.calls[index].taken.is_none() && self.calls[index].at <= now {
                self.at_store(index);
            }
        }
        for router in (0..self.routers.len()).filter(|r| self.paused[*r] <= now).collect::<Vec<_>>()
        {
            let ready = |c: &Call| c.router == router && c.answer <= now && c.taken.is_some();
            while let Some(index) = self.calls.iter().position(ready) {
                let call = self.calls.remove(index);
                self.answered(call);
            }
            self.routers[router].want(now, &self.server, self.fencing);
            for action in self.routers[router].poll(now) {
                let mut delay = || {
                    let limit = if draw(10) == 0 { 9_000 } else { 100 };
                    Millis(1 + draw(limit))
                };
                let at = now + delay();
                let answer = at + delay();
                let lost = draw(10) == 0;
                self.calls.push(Call { router, at, answer, action, lost, taken: None });
            }
            if let Ok(number) = self.routers[router].may_send(now, &self.server) {
                // The process may be paused between the check and the sending, for as long as the
                // safety margins allow.
                let slip = if draw(10) == 0 { draw(10_000) } else { 0 };
                self.order(router, number, Millis(slip))?;
            }
        }
        Ok(())
    }

    fn order(&mut self, router: usize, number: FenceNumber, slip: Millis) -> TestCaseResult {
        let (now, from) = (self.now, self.now + slip);
        let until = from + self.routers[router].order_timeout();
        self.orders.retain(|order| order.3 > now);
        for order in self.orders.iter().filter(|order| order.0 != router) {
            prop_assert_ne!(order.1, number, "two routers use the same fencing number");
            let apart = order.3 <= from || until <= order.2;
            prop_assert!(apart || self.fencing == Fencing::Checked, "r{} and {:?}", router, order);
        }
        self.orders.push((router, number, from, until));
        self.sent += 1;
        Ok(())
    }
}

fn run(fencing: Fencing) {
    println!("seed {}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let pauses = prop::collection::vec((0..900usize, 0..3usize, 1..30_000u64), 0..20);
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<u64>(), pauses), |(seed, pauses)| {
            let mut world = World::new(3, fencing);
            let mut drawn = 0u64;
            let mut draw = |limit: u64| {
                drawn += 1;
                berylwheel_types::stable_hash(&[&seed.to_string(), &drawn.to_string()]) % limit
            };
            for step in 0..900 {
                for (_, router, span) in pauses.iter().filter(|pause| pause.0 == step) {
                    world.paused[*router] = world.now + Millis(*span);
                }
                world.step(&mut draw)?;
            }
            // Whatever happened before, some router can send again once the store responds
            // reliably.
            world.sent = 0;
            world.paused.fill(world.now);
            for _ in 0..450 {
                world.step(&mut |limit| limit / 2)?;
            }
            prop_assert!(world.sent > 0, "no router sent an order in 45 s without faults");
            Ok(())
        })
        .unwrap();
}

#[test]
fn orders_to_a_server_that_ignores_numbers_never_overlap() {
    run(Fencing::Ignored);
}

#[test]
fn a_number_is_given_to_one_router() {
    run(Fencing::Checked);
}

#[test]
fn a_write_that_takes_effect_late_has_an_old_lease() {
    let server: BackendId = "s".parse().unwrap();
    let me = Incarnation { router: "r".parse().unwrap(), number: 1 };
    let at = Timestamp::from_millis;
    let mut fence = Fence::new(me.clone(), FencePolicy::default());
    fence.want(at(0), &server, Fencing::Ignored);
    fence.poll(at(0));
    fence.read(at(0), &server, None, None);
    let number = FenceNumber(1);
    // The first write is delayed, and the read that follows does not see it yet. The store rejects
    // the second write because the first was committed meanwhile, and that response is lost too.
    fence.written(at(10), &server, number, FenceResult::Unknown);
    fence.read(at(9_000), &server, None, None);
    fence.written(at(9_010), &server, number, FenceResult::Unknown);
    let record = FenceRecord { number, owner: me.clone() };
    fence.read(at(9_020), &server, Some((record, 1)), Some(&me));
    assert!(
        fence.may_send(at(9_030), &server).is_err(),
        "the lease may be as old as the first write"
    );
}
