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

use crate::load::ENGINE_SLOTS;
use crate::load::FleetSize;
use crate::load::Request;
use crate::load::SERVICE_SLOTS;
use crate::load::SURGE_END_MS;
use crate::load::SURGE_START_MS;
use crate::load::Scenario;
use crate::load::generate_requests;
use crate::queueing::Queue;
use crate::queueing::QueueKind;
use crate::queueing::Router;
use crate::queueing::router_slots;
use crate::queueing::work_item;

/// Interval at which routers drop expired requests, preempt, and start requests. They also start
/// requests on each arrival and completion.
const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    // Events at the same time are handled in the order of the variants: a plain service sends its
    // first token together with the end of the response, and the token must be handled first.
    /// Events carry the attempt number so that those of a preempted attempt are ignored.
    FirstToken {
        id: usize,
        attempt: u32,
    },
    Completion {
        id: usize,
        attempt: u32,
    },
    /// The deadline has passed and the caller disconnects.
    Disconnect {
        id: usize,
    },
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Waiting,
    AtServer { server: usize, running: bool },
    Ended,
}

/// Times of a request's first token and completion, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub first_token: Option<u64>,
    /// Set only if the response was complete by the deadline.
    pub completed: Option<u64>,
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    queue: VecDeque<usize>,
}

/// The state of one simulation run.
pub struct Fleet {
    size: FleetSize,
    scenario: Scenario,
    clock: ManualClock,
    rng: SmallRng,
    routers: Vec<Router>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    states: Vec<RequestState>,
    attempts: Vec<u32>,
    outcomes: Vec<Outcome>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
}

/// Simulates `scenario` to its end and returns every request with its outcome.
pub fn run(
    size: &FleetSize,
    scenario: &Scenario,
    queue_kind: QueueKind,
    seed: u64,
) -> Vec<(Request, Outcome)> {
    let requests = generate_requests(size, scenario, seed);
    let count = requests.len();
    let mut fleet = Fleet {
        size: *size,
        scenario: scenario.clone(),
        clock: ManualClock::new(Timestamp::from_millis(0)),
        rng: SmallRng::seed_from_u64(seed),
        routers: (0..size.routers).map(|_| Router::new(size, queue_kind)).collect(),
        servers: (0..size.engines + size.services).map(|_| Server::default()).collect(),
        states: vec![RequestState::Ended; count],
        attempts: vec![0; count],
        outcomes: vec![Outcome::default(); count],
        events: BinaryHeap::new(),
        requests,
    };
    fleet.run();
    fleet.requests.into_iter().zip(fleet.outcomes).collect()
}

fn request_index(request: &RequestId) -> usize {
    request.as_str().parse().expect("a request index")
}

fn request_id(id: usize) -> RequestId {
    format!("{id}").parse().expect("a valid name")
}

impl Fleet {
    fn now(&self) -> u64 {
        self.clock.now().as_millis()
    }

    fn run(&mut self) {
        self.events.push(Reverse((0, Event::Tick)));
        let mut next_id = 0;
        loop {
            let arrival = self.requests.get(next_id).map_or(u64::MAX, |r| r.arrival_ms);
            let event = self.events.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            if arrival == u64::MAX && self.events.len() <= 1 {
                return;
            }
            self.clock.advance(Millis(arrival.min(event) - self.now()));
            if arrival < event {
                self.arrive(next_id);
                next_id += 1;
            } else if let Some(Reverse((_, event))) = self.events.pop() {
                self.handle(event);
            }
        }
    }

    fn arrive(&mut self, id: usize) {
        let request = self.requests[id];
        let now = self.clock.now();
        match &mut self.routers[request.router].queue {
            Queue::Fifo(queue) => queue.push_back(id),
            Queue::Scheduler(scheduler) => {
                if scheduler.submit(now, work_item(id, &request)).is_err() {
                    return;
                }
            }
        }
        self.states[id] = RequestState::Waiting;
        self.events.push(Reverse((request.deadline_ms(), Event::Disconnect { id })));
        self.start_requests(request.router);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Disconnect { id } => self.disconnect(id),
            Event::FirstToken { id, attempt } if self.attempts[id] == attempt => {
                self.record_first_token(id)
            }
            Event::Completion { id, attempt } if self.attempts[id] == attempt => {
                if self.now() <= self.requests[id].deadline_ms() {
                    self.outcomes[id].completed = Some(self.now());
                }
                self.end(id, self.requests[id].tokens);
            }
            Event::FirstToken { .. } | Event::Completion { .. } => {}
        }
    }

    fn record_first_token(&mut self, id: usize) {
        if !matches!(self.states[id], RequestState::AtServer { running: true, .. }) {
            return;
        }
        let now = self.clock.now();
        self.outcomes[id].first_token = Some(now.as_millis());
        if let Queue::Scheduler(scheduler) = &mut self.routers[self.requests[id].router].queue {
            scheduler.record_first_token(now, &request_id(id));
        }
    }

    fn disconnect(&mut self, id: usize) {
        match self.states[id] {
            RequestState::Ended => {}
            RequestState::AtServer { .. } => self.end(id, 0),
            RequestState::Waiting => {
                self.states[id] = RequestState::Ended;
                // The FIFO queue skips ended requests when they reach its head.
                if let Queue::Scheduler(scheduler) =
                    &mut self.routers[self.requests[id].router].queue
                {
                    scheduler.cancel(&request_id(id));
                }
            }
        }
    }

    /// Ends a request that was sent to a server, and starts further requests in its place.
    fn end(&mut self, id: usize, served_tokens: u64) {
        if !self.release_slot(id) {
            return;
        }
        self.states[id] = RequestState::Ended;
        let router = self.requests[id].router;
        let now = self.clock.now();
        if let Queue::Scheduler(scheduler) = &mut self.routers[router].queue {
            scheduler.finish(now, &request_id(id), Tokens(served_tokens));
        }
        self.start_requests(router);
    }

    /// Removes a request from its server, which then runs the next request of its own queue.
    /// Returns false if the request is not at a server.
    fn release_slot(&mut self, id: usize) -> bool {
        let RequestState::AtServer { server, running } = self.states[id] else {
            return false;
        };
        self.attempts[id] += 1;
        self.states[id] = RequestState::Waiting;
        self.routers[self.requests[id].router].in_flight[server] -= 1;
        if !running {
            self.servers[server].queue.retain(|queued| *queued != id);
            return true;
        }
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.run_on_server(next, server);
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
                self.states[request_index(&request)] = RequestState::Ended;
            }
            for request in scheduler.preempt(now) {
                self.release_slot(request_index(&request));
                if let Queue::Scheduler(scheduler) = &mut self.routers[router].queue {
                    scheduler.requeue(now, &request);
                }
            }
            self.start_requests(router);
        }
        if self.now().is_multiple_of(HEARTBEAT_MS) {
            self.exchange_totals();
        }
        self.events.push(Reverse((self.now() + TICK_MS, Event::Tick)));
    }

    fn exchange_totals(&mut self) {
        let now = self.clock.now();
        let totals: Vec<_> = self
            .routers
            .iter()
            .map(|router| match &router.queue {
                Queue::Scheduler(scheduler) => scheduler.served_totals(),
                Queue::Fifo(_) => Vec::new(),
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
    fn start_requests(&mut self, router: usize) {
        while let Some((id, server)) = self.choose_next(router) {
            self.routers[router].in_flight[server] += 1;
            self.states[id] = RequestState::AtServer { server, running: false };
            if self.servers[server].running < self.server_slots(server) {
                self.run_on_server(id, server);
            } else {
                self.servers[server].queue.push_back(id);
            }
        }
    }

    fn choose_next(&mut self, router: usize) -> Option<(usize, usize)> {
        let size = self.size;
        let engines = size.engines;
        let all_slots = router_slots(&size, true) + router_slots(&size, false);
        let Router { queue, in_flight, round_robin } = &mut self.routers[router];
        match queue {
            Queue::Fifo(queue) => {
                while queue.front().is_some_and(|id| self.states[*id] == RequestState::Ended) {
                    queue.pop_front();
                }
                if in_flight.iter().sum::<usize>() >= all_slots {
                    return None;
                }
                let id = queue.pop_front()?;
                let on_engine = self.requests[id].kind().on_engine;
                let (first, count) =
                    if on_engine { (0, engines) } else { (engines, size.services) };
                let position = &mut round_robin[usize::from(on_engine)];
                *position = (*position + 1) % count;
                Some((id, first + *position))
            }
            Queue::Scheduler(scheduler) => {
                // This router's share of the slots of one service and of one engine.
                let shares = [SERVICE_SLOTS / size.routers, ENGINE_SLOTS / size.routers];
                let free_servers = |on_engine: bool| -> Vec<usize> {
                    let range = if on_engine { 0..engines } else { engines..in_flight.len() };
                    range.filter(|s| in_flight[*s] < shares[usize::from(on_engine)]).collect()
                };
                let free = [free_servers(false), free_servers(true)];
                let mut can_start =
                    |item: &_| -> bool { !free[usize::from(runs_on_engine(item))].is_empty() };
                let item = scheduler.start_next(self.clock.now(), &mut can_start)?;
                let free = &free[usize::from(runs_on_engine(&item))];
                // Power of two choices: of two random servers, take the one with fewer requests in
                // flight.
                let mut pick = || free[self.rng.random_range(0..free.len())];
                let (a, b) = (pick(), pick());
                let server = if in_flight[a] <= in_flight[b] { a } else { b };
                Some((request_index(&item.request), server))
            }
        }
    }

    fn server_slots(&self, server: usize) -> usize {
        if server < self.size.engines { ENGINE_SLOTS } else { SERVICE_SLOTS }
    }

    fn run_on_server(&mut self, id: usize, server: usize) {
        self.servers[server].running += 1;
        self.states[id] = RequestState::AtServer { server, running: true };
        let (now, request, attempt) = (self.now(), self.requests[id], self.attempts[id]);
        if self.scenario.hanging_kind == Some(request.kind_index)
            && (SURGE_START_MS..SURGE_END_MS).contains(&now)
        {
            return;
        }
        self.events
            .push(Reverse((now + request.first_token_ms(), Event::FirstToken { id, attempt })));
        self.events.push(Reverse((now + request.service_ms(), Event::Completion { id, attempt })));
    }
}

fn runs_on_engine(item: &berylwheel_schedule::WorkItem) -> bool {
    item.model.is_some()
}
