//! A failure domain of routers with a simulated store and network, stepped by hand.

mod generator;
mod watch;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use berylwheel_peer::FeedNews;
use berylwheel_peer::Message;
use berylwheel_router::FallbackCause;
use berylwheel_router::Relay;
use berylwheel_router::RelayPolicy;
use berylwheel_router::WatchRole;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
pub use generator::Fault;
pub use generator::Generator;

/// Interval of the control thread's timer, and step of the simulation.
const STEP: u64 = 20;
const START: u64 = 1_000_000;
/// The watched prefixes, in order.
const PREFIXES: [&str; 2] = ["op/", "servers/"];
const BATCH_DELAY: u64 = 250;

/// What the watch loop of a router is doing.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Loop {
    /// Reads everything at this time, or fails if the store cannot be reached then.
    ReadAt(u64),
    /// Starts the next watch at this time.
    WatchAt(u64),
    /// A watch of the store that began at `since`.
    Pending { since: u64, wait: u64 },
    /// Waits for news, at most until this time.
    News(u64),
}

/// The watch loop of a prefix.
struct Watch {
    step: Loop,
    known: u64,
    delay: u64,
    resumed_at: u64,
    /// The keys that exist according to what was read, with their revisions.
    state: BTreeMap<String, u64>,
    /// When each revision became known, in all runs.
    learned: Vec<(u64, u64)>,
}

struct Router {
    relay: Relay,
    run: u64,
    watches: [Watch; 2],
    answered_at: u64,
    inbox: Vec<(Incarnation, u64, Vec<FeedNews>)>,
    view: Vec<bool>,
    missing: Vec<usize>,
}

type Delivery = Reverse<(u64, u64, usize)>;

pub struct Fleet {
    routers: Vec<Router>,
    policy: RelayPolicy,
    faults: Vec<Fault>,
    /// Time and revision of the changes, and the length of their values. Those with a revision that
    /// can be divided by three belong to the first prefix.
    changes: Vec<(u64, u64, usize)>,
    network: BinaryHeap<Delivery>,
    in_flight: Vec<Option<(Incarnation, u64, Vec<FeedNews>)>>,
    random: Generator,
    now: u64,
    calls: u64,
    messages: u64,
    /// Pairs of routers that have exchanged messages.
    pub connections: FastSet<(usize, usize)>,
    largest: usize,
    loss: u64,
}

/// Returns the place of the prefix to which a change belongs.
fn feed_of(revision: u64) -> usize {
    usize::from(!revision.is_multiple_of(3))
}

fn id(number: usize) -> RouterId {
    format!("r{number}").parse().unwrap()
}

fn at(time: u64) -> Timestamp {
    Timestamp::from_millis(START + time)
}

impl Fleet {
    pub fn new(size: usize, policy: RelayPolicy, seed: u64) -> Self {
        let mut fleet = Self {
            routers: Vec::new(),
            policy,
            faults: Vec::new(),
            changes: Vec::new(),
            network: BinaryHeap::new(),
            in_flight: Vec::new(),
            random: Generator::new(seed),
            now: 0,
            calls: 0,
            messages: 0,
            connections: FastSet::default(),
            largest: 0,
            loss: 0,
        };
        for number in 0..size {
            let router = fleet.new_router(number, 1, size);
            fleet.routers.push(router);
            fleet.apply_view(number);
        }
        fleet
    }

    fn new_router(&mut self, number: usize, run: u64, size: usize) -> Router {
        let incarnation = Incarnation { router: id(number), number: run };
        Router {
            relay: Relay::new(incarnation, self.policy),
            run,
            watches: [0, 1].map(|_| Watch {
                step: Loop::ReadAt(self.now + self.random.below(500)),
                known: 0,
                delay: BATCH_DELAY,
                resumed_at: self.now,
                state: BTreeMap::new(),
                learned: Vec::new(),
            }),
            answered_at: 0,
            inbox: Vec::new(),
            view: vec![true; size],
            missing: Vec::new(),
        }
    }

    fn apply_view(&mut self, number: usize) {
        let router = &mut self.routers[number];
        let members = (0..router.view.len())
            .filter(|other| router.view[*other] && !router.missing.contains(other))
            .map(id);
        router.relay.set_members(at(self.now), members.collect());
    }

    pub fn plan(&mut self, fault: Fault) {
        match fault {
            Fault::Loss { percent } => self.loss = percent,
            Fault::WrongView { router, missing } if router != missing => {
                self.routers[router].missing.push(missing);
                self.apply_view(router);
            }
            Fault::WrongView { .. } => {}
            fault => self.faults.push(fault),
        }
    }

    pub fn plan_change(&mut self, time: u64) {
        self.plan_large_change(time, 200);
    }

    pub fn plan_large_change(&mut self, time: u64, length: usize) {
        let revision = 101 + self.changes.len() as u64;
        self.changes.push((time, revision, length));
    }

    pub fn routers(&self) -> std::ops::Range<usize> {
        0..self.routers.len()
    }

    pub fn is_watcher(&self, router: usize) -> bool {
        self.routers[router].relay.is_watcher()
    }

    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns how often routers turned to the store after the start, by cause.
    pub fn fallbacks(&self) -> BTreeMap<FallbackCause, u64> {
        let mut all = BTreeMap::new();
        for router in &self.routers {
            for (cause, count) in &router.relay.counts().fallbacks {
                *all.entry(*cause).or_default() += count;
            }
        }
        all
    }

    pub fn messages(&self) -> u64 {
        self.messages
    }

    pub fn largest_message(&self) -> usize {
        self.largest
    }

    /// Returns the number of routers whose role is one of those that `is_counted` names.
    pub fn routers_in(&self, is_counted: impl Fn(WatchRole) -> bool) -> usize {
        let running = self.routers().filter(|router| self.is_running(*router, self.now));
        let role = |router: usize| self.routers[router].relay.role(PREFIXES[1]);
        running.filter(|router| is_counted(role(*router))).count()
    }

    fn is_running(&self, number: usize, time: u64) -> bool {
        !self.faults.iter().any(|fault| match *fault {
            Fault::Kill { router, at, until } | Fault::Freeze { router, at, until } => {
                router == number && (at..until).contains(&time)
            }
            _ => false,
        })
    }

    fn reaches_store(&self, number: usize, time: u64) -> bool {
        !self.faults.iter().any(|fault| match *fault {
            Fault::CutFromStore { router, at, until } => {
                router == number && (at..until).contains(&time)
            }
            _ => false,
        })
    }

    fn reaches_peers(&self, number: usize, time: u64) -> bool {
        !self.faults.iter().any(|fault| match *fault {
            Fault::CutFromPeers { router, at, until } => {
                router == number && (at..until).contains(&time)
            }
            _ => false,
        })
    }

    /// Returns whether a router ran and reached the store during all of a period.
    fn is_connected(&self, number: usize, from: u64, until: u64) -> bool {
        !self.faults.iter().any(|fault| match *fault {
            Fault::Kill { router, at, until: end }
            | Fault::Freeze { router, at, until: end }
            | Fault::CutFromStore { router, at, until: end } => {
                router == number && at <= until && end > from
            }
            _ => false,
        })
    }

    /// Describes the changes that a connected router did not know within `bound`.
    pub fn late(&self, connected: u64, bound: u64) -> Vec<String> {
        let mut late = Vec::new();
        for (time, revision, _) in self.changes.iter().filter(|c| c.0 + bound <= self.now) {
            for number in self.routers() {
                let from = time.saturating_sub(connected);
                if self.is_connected(number, from, time + bound) {
                    late.extend(self.late_change(number, *time, *revision, bound));
                }
            }
        }
        late
    }

    /// Describes the changes that a router did not know within `bound`.
    pub fn late_at(&self, number: usize, bound: u64) -> Vec<String> {
        let changes = self.changes.iter().filter(|change| change.0 + bound <= self.now);
        changes.filter_map(|(time, rev, _)| self.late_change(number, *time, *rev, bound)).collect()
    }

    fn late_change(&self, number: usize, time: u64, revision: u64, bound: u64) -> Option<String> {
        let watch = &self.routers[number].watches[feed_of(revision)];
        let learned = watch.learned.iter().find(|(known, _)| *known >= revision);
        let learned = learned.map(|(_, learned)| *learned);
        (learned.is_none_or(|learned| learned > time + bound))
            .then(|| format!("r{number} knew {revision} of {time} at {learned:?}"))
    }

    pub fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += STEP;
            self.start_and_stop();
            self.deliver();
            for number in self.routers() {
                if self.is_running(number, self.now) {
                    self.step(number);
                }
            }
        }
    }

    fn start_and_stop(&mut self) {
        for fault in self.faults.clone() {
            if let Fault::Kill { router, at, until } = fault {
                if (until..until + STEP).contains(&self.now) && self.is_running(router, self.now) {
                    let run = self.routers[router].run + 1;
                    let missing = std::mem::take(&mut self.routers[router].missing);
                    let size = self.routers.len();
                    let mut new = self.new_router(router, run, size);
                    for (old, new) in self.routers[router].watches.iter_mut().zip(&mut new.watches)
                    {
                        new.learned = std::mem::take(&mut old.learned);
                    }
                    self.routers[router] = new;
                    self.routers[router].missing = missing;
                    self.apply_view(router);
                    self.set_seen(router, true);
                }
                // The others notice the silence after 5 s, and each at another time.
                if self.now > at + 5_000 && self.now < until && self.random.below(20) == 0 {
                    self.set_seen(router, false);
                }
            }
        }
    }

    fn set_seen(&mut self, router: usize, seen: bool) {
        for number in self.routers() {
            let changes = self.routers[number].view[router] != seen;
            if number != router && changes && (seen || self.random.below(3) == 0) {
                self.routers[number].view[router] = seen;
                self.apply_view(number);
            }
        }
    }

    fn send(&mut self, from: usize, to: &[RouterId], news: &(Incarnation, u64, Vec<FeedNews>)) {
        let (origin, sequence, feeds) = news.clone();
        let message = Message::StoreNews { origin, sequence, feeds };
        let length = if to.is_empty() { 0 } else { message.encode().unwrap().len() };
        self.largest = self.largest.max(length);
        for recipient in to {
            self.messages += 1;
            let number: usize = recipient.as_str()[1..].parse().unwrap();
            self.connections.insert((from.min(number), from.max(number)));
            let reaches = |router| self.reaches_peers(router, self.now);
            if !reaches(from) || !reaches(number) || self.random.below(100) < self.loss {
                continue;
            }
            let due = self.now + 1 + self.random.below(50);
            self.network.push(Reverse((due, self.in_flight.len() as u64, number)));
            self.in_flight.push(Some(news.clone()));
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((due, index, number))) = self.network.peek().copied() {
            if due > self.now {
                return;
            }
            self.network.pop();
            let news = self.in_flight[index as usize].take().unwrap();
            let is_dead = |fault: &Fault| {
                matches!(*fault, Fault::Kill { router, at, until }
                    if router == number && (at..until).contains(&self.now))
            };
            if !self.faults.iter().any(is_dead) {
                self.routers[number].inbox.push(news);
            }
        }
    }
}
