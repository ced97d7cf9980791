//! A model of a fleet of routers whose requests have a prompt part that crashes servers. It runs the
//! decisions of each router; messages between routers take time or are lost.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use berylwheel_quarantine::Action;
use berylwheel_quarantine::Quarantine;
use berylwheel_quarantine::QuarantinePolicy;
use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::PartHold;
use berylwheel_types::PromptPartId;
use berylwheel_types::RouterId;
use berylwheel_types::SuspectRequest;
use berylwheel_types::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const BAD_PART: PromptPartId = PromptPartId(0xbad << 32);
const TICK: u64 = 20;
const HEARTBEAT: u64 = 1_000;
/// Routers that a router sends its heartbeat to.
const HEARTBEAT_TARGETS: usize = 3;
const JUDGES: usize = 3;
/// Time until a server that ended is back.
const DOWN_TIME: u64 = 3_300;
/// An answer that began longer ago is not suspected, as in the routers.
const ANSWER_START: u64 = 250;
/// Time before the first request with the bad part.
const WARM_UP: u64 = 10_000;

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub routers: usize,
    pub servers: usize,
    /// Sound requests a second.
    pub sound_rate: f64,
    /// Requests with the bad part a second, which come after the warm-up.
    pub bad_rate: f64,
    /// Number of first parts of sound requests.
    pub first_parts: u64,
    /// Number of second parts; each belongs to one subject.
    pub subjects: u64,
    /// Number of further parts in each prompt, which no other prompt has.
    pub own_parts: u64,
    /// The lowest id of these parts.
    pub own_start: u64,
    /// Whether a request without an answer may go on to a second server.
    pub resumable: bool,
    /// Interval between ends of servers for other reasons, and how many end at once.
    pub other_ends: Option<(u64, usize)>,
    /// When all routers lose power.
    pub power_loss: Option<u64>,
    /// Routers that get no messages, from one time to another.
    pub cut: Option<(usize, u64, u64)>,
    /// Time at the end of which the model stops.
    pub duration: u64,
    pub contact_ms: u64,
    pub seed: u64,
    /// Whether the routers refuse anything; without it, they act as before there was a quarantine.
    pub enabled: bool,
}

impl Scenario {
    pub fn new(routers: usize, seed: u64) -> Self {
        let (servers, sound_rate, contact_ms) = match routers {
            0..20 => (18, 18.3, 3_000),
            20..100 => (140, 142.0, 4_000),
            _ => (160, 214.0, 5_000),
        };
        Self {
            routers,
            servers,
            sound_rate,
            bad_rate: 1.5,
            first_parts: 40,
            subjects: 400,
            own_parts: 0,
            own_start: 1 << 20,
            resumable: false,
            other_ends: None,
            power_loss: None,
            cut: None,
            duration: 70_000,
            contact_ms,
            seed,
            enabled: true,
        }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    /// Servers that ended under the bad part.
    pub ended: usize,
    /// Requests with the bad part that reached servers after the fifth of these ends.
    pub after_fifth: usize,
    /// The same later than `contact_ms` after it.
    pub after_contact: usize,
    pub sound_sent: usize,
    pub sound_refused: usize,
    /// Time from the first end until the last router refuses the bad part.
    pub last_router_ms: Option<u64>,
    pub messages: usize,
    /// Estimated size of the messages.
    pub bytes: usize,
    /// Calls of the store: the reads of starting routers and the writes of holds.
    pub store_calls: usize,
}

#[derive(Debug, Clone)]
enum Message {
    Ended(BackendId, Millis, Vec<SuspectRequest>),
    Query(Vec<PromptPartId>, Millis),
    Answers(Vec<(PromptPartId, Millis)>),
    Holds(Vec<PartHold>),
}

impl Message {
    fn size(&self) -> usize {
        let ids = |count: usize| 9 * count;
        40 + match self {
            Self::Ended(_, _, suspects) => {
                14 + suspects.iter().map(|s| 3 + ids(s.parts.len())).sum::<usize>()
            }
            Self::Query(parts, _) => ids(parts.len()),
            Self::Answers(answers) => 12 * answers.len(),
            Self::Holds(holds) => holds.iter().map(|hold| 26 + ids(hold.parts.len())).sum(),
        }
    }
}

#[derive(Debug, Clone)]
struct Request {
    router: usize,
    parts: Vec<PromptPartId>,
    is_bad: bool,
    sent_at: u64,
    attempt: u32,
}

#[derive(Debug)]
enum Event {
    Sound,
    Bad,
    OtherEnd,
    PowerLoss,
    Tick,
    Begin(usize, u64, u64),
    Done(usize, u64, u64),
    Back(usize),
    Checked(usize, BackendId),
    Deliver(usize, usize, Message),
}

#[derive(Debug, Default)]
struct ServerState {
    run: u64,
    is_down: bool,
    /// Requests by number, each with the time at which its answer began.
    running: BTreeMap<u64, (Request, Option<u64>)>,
}

pub struct Fleet {
    scenario: Scenario,
    rng: SmallRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    next_request: u64,
    arrived: u64,
    routers: Vec<Quarantine>,
    servers: Vec<ServerState>,
    store: Vec<PartHold>,
    bad_ends: Vec<u64>,
    bad_arrivals: Vec<u64>,
    figures: Figures,
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn router_id(index: usize) -> RouterId {
    format!("r{index}").parse().unwrap()
}

impl Fleet {
    /// Plays a scenario.
    pub fn play(scenario: Scenario) -> Figures {
        let new = || Quarantine::new(QuarantinePolicy::default());
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(scenario.seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            next_request: 0,
            arrived: 0,
            routers: (0..scenario.routers).map(|_| new()).collect(),
            servers: (0..scenario.servers).map(|_| ServerState::default()).collect(),
            store: Vec::new(),
            bad_ends: Vec::new(),
            bad_arrivals: Vec::new(),
            figures: Figures { store_calls: scenario.routers, ..Figures::default() },
            scenario,
        };
        fleet.schedule(0, Event::Sound);
        fleet.schedule(WARM_UP, Event::Bad);
        fleet.schedule(0, Event::Tick);
        if let Some((interval, _)) = scenario.other_ends {
            fleet.schedule(interval, Event::OtherEnd);
        }
        if let Some(time) = scenario.power_loss {
            fleet.schedule(time, Event::PowerLoss);
        }
        while let Some(Reverse(key)) = fleet.queue.pop() {
            if key.0 >= scenario.duration {
                break;
            }
            fleet.now = key.0;
            let event = fleet.events.remove(&key).unwrap();
            fleet.handle(event);
        }
        fleet.figures.ended = fleet.bad_ends.len();
        if let Some(fifth) = fleet.bad_ends.get(4) {
            let after = |limit: u64| fleet.bad_arrivals.iter().filter(|at| **at > limit).count();
            fleet.figures.after_fifth = after(*fifth);
            fleet.figures.after_contact = after(fifth + scenario.contact_ms);
        }
        fleet.figures
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.push(Reverse(key));
        self.events.insert(key, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sound => {
                let gap = self.gap(self.scenario.sound_rate);
                self.schedule(gap, Event::Sound);
                let first = self.rng.random_range(0..self.scenario.first_parts);
                let subject = self.rng.random_range(0..self.scenario.subjects);
                self.arrive(
                    vec![PromptPartId(1_000 + first), PromptPartId(100_000 + subject)],
                    false,
                );
            }
            Event::Bad => {
                let gap = self.gap(self.scenario.bad_rate);
                self.schedule(gap, Event::Bad);
                let first = self.rng.random_range(0..self.scenario.first_parts);
                self.arrive(vec![PromptPartId(1_000 + first), BAD_PART], true);
            }
            Event::OtherEnd => {
                let Some((interval, count)) = self.scenario.other_ends else { return };
                self.schedule(interval, Event::OtherEnd);
                let first = self.rng.random_range(0..self.servers.len());
                for index in 0..count {
                    self.end((first + index) % self.servers.len());
                }
            }
            Event::PowerLoss => {
                for router in &mut self.routers {
                    *router = Quarantine::new(QuarantinePolicy::default());
                }
                self.figures.store_calls += self.routers.len();
                for index in 0..self.routers.len() {
                    let holds = self.store.clone();
                    self.routers[index].handle_holds(at(self.now), holds);
                }
            }
            Event::Tick => self.tick(),
            Event::Begin(server, run, number) => self.begin(server, run, number),
            Event::Done(server, run, number) => self.finish(server, run, number),
            Event::Back(server) => {
                self.servers[server].run += 1;
                self.servers[server].is_down = false;
            }
            Event::Checked(router, server) => {
                self.routers[router].record_end(at(self.now), &server);
                self.act(router);
            }
            Event::Deliver(from, to, message) => self.deliver(from, to, message),
        }
    }

    fn gap(&mut self, rate: f64) -> u64 {
        let draw: f64 = self.rng.random_range(0.001..1.0);
        (-draw.ln() * 1_000.0 / rate).ceil() as u64
    }

    fn arrive(&mut self, mut parts: Vec<PromptPartId>, is_bad: bool) {
        let count = self.scenario.own_parts;
        let first = self.scenario.own_start + self.arrived * count;
        self.arrived += 1;
        parts.extend((first..first + count).map(PromptPartId));
        parts.sort_unstable();
        let router = self.rng.random_range(0..self.routers.len());
        let now = at(self.now);
        let is_refused = self.scenario.enabled && self.routers[router].check(now, &parts).is_some();
        if !is_bad {
            self.figures.sound_sent += 1;
            self.figures.sound_refused += usize::from(is_refused);
        }
        if is_refused {
            self.act(router);
            return;
        }
        self.send(Request { router, parts, is_bad, sent_at: self.now, attempt: 1 });
    }

    fn send(&mut self, request: Request) {
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|index| !self.servers[*index].is_down).collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        if request.is_bad {
            self.bad_arrivals.push(self.now);
        }
        self.next_request += 1;
        let number = self.next_request;
        let request = Request { sent_at: self.now, ..request };
        self.servers[server].running.insert(number, (request, None));
        let prefill = self.rng.random_range(30..500);
        let run = self.servers[server].run;
        self.schedule(prefill, Event::Begin(server, run, number));
    }

    fn begin(&mut self, server: usize, run: u64, number: u64) {
        let now = self.now;
        let state = &mut self.servers[server];
        let Some((request, began)) = state.running.get_mut(&number).filter(|_| state.run == run)
        else {
            return;
        };
        *began = Some(now);
        if request.is_bad {
            self.bad_ends.push(now);
            self.end(server);
            return;
        }
        let time = self.rng.random_range(500..4_000);
        self.schedule(time, Event::Done(server, run, number));
    }

    fn finish(&mut self, server: usize, run: u64, number: u64) {
        let state = &mut self.servers[server];
        if state.run != run {
            return;
        }
        let Some((request, _)) = state.running.remove(&number) else { return };
        self.routers[request.router].record_answer(at(self.now), &request.parts);
        self.act(request.router);
    }

    /// Ends a server, and breaks the connections of its requests.
    fn end(&mut self, server: usize) {
        if std::mem::replace(&mut self.servers[server].is_down, true) {
            return;
        }
        let id = self.server_id(server);
        self.schedule(DOWN_TIME, Event::Back(server));
        let running = std::mem::take(&mut self.servers[server].running);
        for (request, began) in running.into_values() {
            if began.is_some_and(|began| self.now - began >= ANSWER_START) {
                continue;
            }
            let ran_for = Millis(self.now - request.sent_at);
            let router = request.router;
            let now = at(self.now);
            self.routers[router].record_break(now, &id, ran_for, &request.parts);
            self.act(router);
            let is_stopped = self.scenario.enabled
                && (self.routers[router].is_held(now, &request.parts)
                    || self.routers[router].is_suspected(now, &request.parts));
            if self.scenario.resumable && request.attempt == 1 && !is_stopped {
                self.send(Request { attempt: 2, ..request });
            }
        }
    }

    fn server_id(&self, server: usize) -> BackendId {
        format!("s{server}-{}", self.servers[server].run).parse().unwrap()
    }

    fn tick(&mut self) {
        self.schedule(TICK, Event::Tick);
        for router in 0..self.routers.len() {
            self.act(router);
        }
        if self.now.is_multiple_of(HEARTBEAT) {
            for router in 0..self.routers.len() {
                let holds = self.routers[router].holds();
                if holds.is_empty() {
                    continue;
                }
                for step in 1..=HEARTBEAT_TARGETS.min(self.routers.len() - 1) {
                    let to = (router + step) % self.routers.len();
                    self.post(router, to, Message::Holds(holds.clone()));
                }
            }
        }
        if let (Some(first), None) = (self.bad_ends.first(), self.figures.last_router_ms) {
            let now = at(self.now);
            if self.routers.iter().all(|router| router.is_held(now, &[BAD_PART])) {
                self.figures.last_router_ms = Some(self.now - first);
            }
        }
    }

    /// Carries out what a router has decided.
    fn act(&mut self, router: usize) {
        if !self.scenario.enabled {
            return;
        }
        for action in self.routers[router].poll(at(self.now)) {
            match action {
                Action::CheckServer(server) => self.schedule(2, Event::Checked(router, server)),
                Action::ReportEnd { server, age, suspects } => {
                    self.post_judges(router, &Message::Ended(server, age, suspects));
                }
                Action::AskAnswers { parts, since } => {
                    self.post_all(router, &Message::Query(parts, since));
                }
                Action::ReportAnswers(answers) => {
                    self.post_judges(router, &Message::Answers(answers));
                }
                Action::Announce(holds) => {
                    self.figures.store_calls += 2;
                    for hold in &holds {
                        self.store.retain(|stored| stored.parts != hold.parts);
                        self.store.push(hold.clone());
                    }
                    self.post_all(router, &Message::Holds(holds));
                }
            }
        }
    }

    fn post_judges(&mut self, from: usize, message: &Message) {
        for to in 0..JUDGES.min(self.routers.len()) {
            if to == from {
                self.deliver(from, to, message.clone());
            } else {
                self.post(from, to, message.clone());
            }
        }
    }

    fn post_all(&mut self, from: usize, message: &Message) {
        for to in (0..self.routers.len()).filter(|to| *to != from) {
            self.post(from, to, message.clone());
        }
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        self.figures.messages += 1;
        self.figures.bytes += message.size();
        if let Some((router, start, end)) = self.scenario.cut
            && (from == router || to == router)
            && (start..end).contains(&self.now)
        {
            return;
        }
        let delay = self.rng.random_range(1..6);
        self.schedule(delay, Event::Deliver(from, to, message));
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = at(self.now);
        let router = &mut self.routers[to];
        match message {
            Message::Ended(server, age, suspects) => {
                router.handle_report(now, &router_id(from), &server, age, suspects);
            }
            Message::Query(parts, since) => router.handle_query(now, &parts, since),
            Message::Answers(answers) => router.handle_answers(now, &answers),
            Message::Holds(holds) => {
                router.handle_holds(now, holds);
            }
        }
        self.act(to);
    }
}
