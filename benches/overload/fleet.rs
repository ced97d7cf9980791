//! Discrete-event simulation of routers and their servers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use berylwheel_types::ManualClock;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::load::AFTER;
use crate::load::ENGINE_SLOTS;
use crate::load::Request;
use crate::load::SERVICE_SLOTS;
use crate::load::SURGE;
use crate::load::Scenario;
use crate::load::Size;
use crate::load::arrivals;
use crate::queueing::Queue;
use crate::queueing::Queueing;
use crate::queueing::Router;
use crate::queueing::slots;
use crate::queueing::work;

/// Interval at which routers drop expired requests, preempt, and start requests. They also start
/// requests on each arrival and completion.
const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    // Events at the same time are handled in the order of the variants: a plain service sends its
    // first token together with the end of the response, and the token must be handled first.
    /// Events carry the attempt number so that those of a preempted attempt are ignored.
    Token {
        id: usize,
        attempt: u32,
    },
    Done {
        id: usize,
        attempt: u32,
    },
    /// The deadline has passed and the caller disconnects.
    Leave {
        id: usize,
    },
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Waiting,
    AtServer { server: usize, running: bool },
    Ended,
}

/// Times of a request's first token and completion, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub first: Option<u64>,
    /// Set only if the response was complete by the deadline.
    pub done: Option<u64>,
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    queue: VecDeque<usize>,
}

/// The state of one simulation run.
pub struct Fleet {
    size: Size,
    scenario: Scenario,
    clock: ManualClock,
    rng: SmallRng,
    routers: Vec<Router>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    places: Vec<Place>,
    attempts: Vec<u32>,
    outcomes: Vec<Outcome>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
}

/// Simulates `scenario` to its end and returns every request with its outcome.
pub fn run(
    size: &Size,
    scenario: &Scenario,
    queueing: Queueing,
    seed: u64,
) -> Vec<(Request, Outcome)> {
    let requests = arrivals(size, scenario, seed);
    let count = requests.len();
    let mut fleet = Fleet {
        size: *size,
        scenario: scenario.clone(),
        clock: ManualClock::new(Timestamp::from_millis(0)),
        rng: SmallRng::seed_from_u64(seed),
        routers: (0..size.routers).map(|_| Router::new(size, queueing)).collect(),
        servers: (0..size.engines + size.services).map(|_| Server::default()).collect(),
        places: vec![Place::Ended; count],
        attempts: vec![0; count],
        outcomes: vec![Outcome::default(); count],
        events: BinaryHeap::new(),
        requests,
    };
    fleet.run();
    fleet.requests.into_iter().zip(fleet.outcomes).collect()
}

fn id_of(request: &RequestId) -> usize {
    request.as_str().parse().expect("a request index")
}

fn name_of(id: usize) -> RequestId {
    format!("{id}").parse().expect("a valid name")
}

impl Fleet {
    fn now(&self) -> u64 {
        self.clock.now().as_millis()
    }

    fn run(&mut self) {
        self.events.push(Reverse((0, Event::Tick)));
        let mut next = 0;
        loop {
            let arrival = self.requests.get(next).map_or(u64::MAX, |r| r.at);
            let event = self.events.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            if arrival == u64::MAX && self.events.len() <= 1 {
                return;
            }
            self.clock.advance(Millis(arrival.min(event) - self.now()));
            if arrival < event {
                self.arrive(next);
                next += 1;
            } else if let Some(Reverse((_, event))) = self.events.pop() {
                self.handle(event);
            }
        }
    }

    fn arrive(&mut self, id: usize) {
        let request = self.requests[id];
        let now = self.clock.now();
        match &mut self.routers[request.router].queue {
            Queue::FirstCome(queue) => queue.push_back(id),
            Queue::Scheduler(scheduler) => {
                if scheduler.submit(now, work(id, &request)).is_err() {
                    return;
                }
            }
        }
        self.places[id] = Place::Waiting;
        self.events.push(Reverse((request.deadline(), Event::Leave { id })));
        self.start(request.router);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Leave { id } => self.leave(id),
            Event::Token { id, attempt } if self.attempts[id] == attempt => self.token(id),
            Event::Done { id, attempt } if self.attempts[id] == attempt => {
                if self.now() <= self.requests[id].deadline() {
                    self.outcomes[id].done = Some(self.now());
                }
                self.end(id, self.requests[id].tokens);
            }
            Event::Token { .. } | Event::Done { .. } => {}
        }
    }

    fn token(&mut self, id: usize) {
        if !matches!(self.places[id], Place::AtServer { running: true, .. }) {
            return;
        }
        let now = self.clock.now();
        self.outcomes[id].first = Some(now.as_millis());
        if let Queue::Scheduler(scheduler) = &mut self.routers[self.requests[id].router].queue {
            scheduler.record_first_token(now, &name_of(id));
        }
    }

    fn leave(&mut self, id: usize) {
        match self.places[id] {
            Place::Ended => {}
            Place::AtServer { .. } => self.end(id, 0),
            Place::Waiting => {
                self.places[id] = Place::Ended;
                // The FIFO queue skips ended requests when they reach its head.
                if let Queue::Scheduler(scheduler) =
                    &mut self.routers[self.requests[id].router].queue
                {
                    scheduler.cancel(&name_of(id));
                }
            }
        }
    }

    /// Ends a request that was sent to a server, and starts further requests in its place.
    fn end(&mut self, id: usize, served: u64) {
        if !self.free(id) {
            return;
        }
        self.places[id] = Place::Ended;
        let router = self.requests[id].router;
        let now = self.clock.now();
        if let Queue::Scheduler(scheduler) = &mut self.routers[router].queue {
            scheduler.finish(now, &name_of(id), Tokens(served));
        }
        self.start(router);
    }

    /// Removes a request from its server, which then runs the next request of its own queue.
    /// Returns false if the request is not at a server.
    fn free(&mut self, id: usize) -> bool {
        let Place::AtServer { server, running } = self.places[id] else {
            return false;
        };
        self.attempts[id] += 1;
        self.places[id] = Place::Waiting;
        self.routers[self.requests[id].router].in_flight[server] -= 1;
        if !running {
            self.servers[server].queue.retain(|queued| *queued != id);
            return true;
        }
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.serve(next, server);
        }
        true
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        for router in 0..self.routers.len() {
            let Queue::Scheduler(scheduler) = &mut self.routers[router].queue else {
                continue;
            };
            for (request, _) in scheduler.take_dropped(now) {
                self.places[id_of(&request)] = Place::Ended;
            }
            for request in scheduler.preempt(now) {
                self.free(id_of(&request));
                if let Queue::Scheduler(scheduler) = &mut self.routers[router].queue {
                    scheduler.requeue(now, &request);
                }
            }
            self.start(router);
        }
        if self.now().is_multiple_of(HEARTBEAT_MS) {
            self.heartbeat();
        }
        self.events.push(Reverse((self.now() + TICK_MS, Event::Tick)));
    }

    fn heartbeat(&mut self) {
        let now = self.clock.now();
        let totals: Vec<_> = self
            .routers
            .iter()
            .map(|router| match &router.queue {
                Queue::Scheduler(scheduler) => scheduler.served_totals(),
                Queue::FirstCome(_) => Vec::new(),
            })
            .collect();
        for (to, router) in self.routers.iter_mut().enumerate() {
            let Queue::Scheduler(scheduler) = &mut router.queue else {
                continue;
            };
            for (from, served) in totals.iter().enumerate().filter(|(from, _)| *from != to) {
                let from = format!("r{from}").parse().expect("a valid name");
                scheduler.apply_peer_totals(now, &from, served);
            }
        }
    }

    /// Sends requests to servers until the queue is empty or the limits are reached.
    fn start(&mut self, router: usize) {
        while let Some((id, server)) = self.choose(router) {
            self.routers[router].in_flight[server] += 1;
            self.places[id] = Place::AtServer { server, running: false };
            if self.servers[server].running < self.server_slots(server) {
                self.serve(id, server);
            } else {
                self.servers[server].queue.push_back(id);
            }
        }
    }

    fn choose(&mut self, router: usize) -> Option<(usize, usize)> {
        let size = self.size;
        let engines = size.engines;
        let all = slots(&size, true) + slots(&size, false);
        let Router { queue, in_flight, turn } = &mut self.routers[router];
        match queue {
            Queue::FirstCome(queue) => {
                while queue.front().is_some_and(|id| self.places[*id] == Place::Ended) {
                    queue.pop_front();
                }
                if in_flight.iter().sum::<usize>() >= all {
                    return None;
                }
                let id = queue.pop_front()?;
                let engine = self.requests[id].kind().engine;
                let (from, count) = if engine { (0, engines) } else { (engines, size.services) };
                let turn = &mut turn[usize::from(engine)];
                *turn = (*turn + 1) % count;
                Some((id, from + *turn))
            }
            Queue::Scheduler(scheduler) => {
                // This router's share of the slots of one service and of one engine.
                let shares = [SERVICE_SLOTS / size.routers, ENGINE_SLOTS / size.routers];
                let free = |engine: bool| -> Vec<usize> {
                    let range = if engine { 0..engines } else { engines..in_flight.len() };
                    range.filter(|s| in_flight[*s] < shares[usize::from(engine)]).collect()
                };
                let free = [free(false), free(true)];
                let mut can_start =
                    |work: &_| -> bool { !free[usize::from(is_engine(work))].is_empty() };
                let work = scheduler.start_next(self.clock.now(), &mut can_start)?;
                let free = &free[usize::from(is_engine(&work))];
                // Power of two choices: of two random servers, take the one with fewer requests in
                // flight.
                let mut pick = || free[self.rng.random_range(0..free.len())];
                let (a, b) = (pick(), pick());
                let server = if in_flight[a] <= in_flight[b] { a } else { b };
                Some((id_of(&work.request), server))
            }
        }
    }

    fn server_slots(&self, server: usize) -> usize {
        if server < self.size.engines { ENGINE_SLOTS } else { SERVICE_SLOTS }
    }

    fn serve(&mut self, id: usize, server: usize) {
        self.servers[server].running += 1;
        self.places[id] = Place::AtServer { server, running: true };
        let (now, request, attempt) = (self.now(), self.requests[id], self.attempts[id]);
        if self.scenario.hang == Some(request.kind) && (SURGE..AFTER).contains(&now) {
            return;
        }
        self.events.push(Reverse((now + request.first_ms(), Event::Token { id, attempt })));
        self.events.push(Reverse((now + request.service_ms(), Event::Done { id, attempt })));
    }
}

fn is_engine(work: &berylwheel_schedule::WorkItem) -> bool {
    work.model.is_some()
}
