//! Simulation of routers and their store.

use std::collections::BTreeMap;

use berylwheel_budget::Holder;
use berylwheel_budget::HolderAction;
use berylwheel_budget::HolderPolicy;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::PageId;
use berylwheel_budget::ReserveRequest;
use berylwheel_budget::UsageRecord;
use berylwheel_budget::UsageTag;
use berylwheel_budget::WriteResult;
use berylwheel_budget::page_of;
use berylwheel_types::BudgetId;
use berylwheel_types::FastMap;
use berylwheel_types::ManualClock;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::load::Request;

/// One-way latency between a router and the store, and between two routers.
const HOP_MS: u64 = 1;
/// Timeout of a router's request to a store that does not respond.
const STORE_TIMEOUT_MS: u64 = 500;
/// Interval, in store calls, at which a page is encoded to estimate the transferred bytes.
const SIZE_SAMPLE_INTERVAL: u64 = 16;
/// Size of a recall message, including the headers of its stream.
const RECALL_BYTES: u64 = 120;

enum Event {
    Arrive(usize),
    Finish(usize, RequestId),
    Read(usize, PageId),
    Write(usize, PageId, u64, LedgerPage),
    ReadDone(usize, PageId, u64, LedgerPage),
    ReadFailed(usize, PageId),
    Written(usize, PageId, WriteResult),
    Recall(usize, BudgetId),
    Poll(usize),
}

/// State of a request in the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    Pending,
    Running { since: u64, tag: Option<UsageTag> },
    Served,
    Refused { at: u64, false_refusal: bool },
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    pub reads: u64,
    pub writes: u64,
    pub bytes: u64,
}

pub struct Fleet {
    pub clock: ManualClock,
    pub holders: Vec<Option<Holder>>,
    pub store: FastMap<PageId, (u64, LedgerPage)>,
    pub store_available: bool,
    pub requests: Vec<Request>,
    pub request_states: Vec<RequestState>,
    pub budgets: Vec<BudgetId>,
    /// Tokens of each budget that are neither used nor reserved by a running request.
    pub unreserved: Vec<u64>,
    pub traffic: Traffic,
    pages: u32,
    revision: u64,
    events: BTreeMap<(u64, u64), Event>,
    polls: Vec<Option<u64>>,
    sequence: u64,
}

pub fn router_name(router: usize) -> String {
    format!("r{router}@1")
}

fn router_index(holder: &berylwheel_types::Incarnation) -> usize {
    holder.router.as_str()[1..].parse().expect("a router name")
}

fn request_index(request: &RequestId) -> usize {
    request.as_str()[1..].parse().expect("a request id")
}

impl Fleet {
    pub fn new(routers: usize, credits: &[u64], policy: HolderPolicy) -> Self {
        let clock = ManualClock::new(Timestamp::from_millis(1_000_000));
        let now = clock.now();
        let mut store: FastMap<PageId, (u64, LedgerPage)> = FastMap::default();
        let mut budgets = Vec::new();
        for (n, amount) in credits.iter().enumerate() {
            let budget: BudgetId = format!("w{n}/main").parse().expect("a budget id");
            let (revision, page) = store.entry(page_of(&budget, policy.pages)).or_default();
            *revision = 1;
            page.create(&budget, "bench", now).expect("the budget is created");
            let id = "first".parse().expect("a credit id");
            page.credit(&budget, id, Tokens(*amount), "bench", now)
                .expect("the budget is credited");
            budgets.push(budget);
        }
        let start = |router: usize| {
            let incarnation = router_name(router).parse().expect("an incarnation");
            let mut holder = Holder::new(incarnation, policy.clone());
            holder.set_routers(routers);
            Some(holder)
        };
        Self {
            holders: (0..routers).map(start).collect(),
            clock,
            store,
            store_available: true,
            requests: Vec::new(),
            request_states: Vec::new(),
            budgets,
            unreserved: credits.to_vec(),
            traffic: Traffic::default(),
            pages: policy.pages,
            revision: 1,
            events: BTreeMap::new(),
            polls: vec![None; routers],
            sequence: 0,
        }
    }

    /// Returns the simulated time since the start, in milliseconds.
    pub fn elapsed(&self) -> u64 {
        self.clock.now().as_millis() - 1_000_000
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.elapsed()), self.sequence), event);
    }

    /// Schedules a request and returns its index.
    pub fn schedule_request(&mut self, request: Request) -> usize {
        self.requests.push(request);
        self.request_states.push(RequestState::Pending);
        self.schedule(request.at, Event::Arrive(self.requests.len() - 1));
        self.requests.len() - 1
    }

    pub fn schedule_requests(&mut self, requests: Vec<Request>) {
        requests.into_iter().for_each(|request| {
            self.schedule_request(request);
        });
    }

    /// Runs the simulation until `until` milliseconds after the start, and calls `on_end` with the
    /// index of each request that ends.
    pub fn run(&mut self, until: u64, on_end: &mut dyn FnMut(&mut Self, usize)) {
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                break;
            }
            let event = entry.remove();
            self.clock.advance(Millis(at - self.elapsed()));
            self.handle(event, on_end);
        }
        self.clock.advance(Millis(until.saturating_sub(self.elapsed())));
    }

    fn handle(&mut self, event: Event, on_end: &mut dyn FnMut(&mut Self, usize)) {
        let (now, at) = (self.clock.now(), self.elapsed());
        let router = match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Finish(router, request) => {
                let index = request_index(&request);
                let Request { workspace, amount, used, .. } = self.requests[index];
                if let Some(holder) = &mut self.holders[router] {
                    holder.settle(now, &request, Tokens(used));
                    self.unreserved[workspace] += amount - used;
                    self.request_states[index] = RequestState::Served;
                    on_end(self, index);
                }
                router
            }
            Event::Read(router, page) => {
                if !self.store_available {
                    return self.schedule(at + STORE_TIMEOUT_MS, Event::ReadFailed(router, page));
                }
                let (revision, content) = self.store.get(&page).cloned().unwrap_or_default();
                self.traffic.reads += 1;
                self.count_bytes(&content);
                return self
                    .schedule(at + HOP_MS, Event::ReadDone(router, page, revision, content));
            }
            Event::Write(router, page, expected, content) => {
                if !self.store_available {
                    let timeout = Event::Written(router, page, WriteResult::Unknown);
                    return self.schedule(at + STORE_TIMEOUT_MS, timeout);
                }
                self.traffic.writes += 1;
                self.count_bytes(&content);
                let entry = self.store.entry(page).or_default();
                let mut result = WriteResult::Conflict;
                if entry.0 == expected {
                    self.revision += 1;
                    *entry = (self.revision, content);
                    result = WriteResult::Written(self.revision);
                }
                return self.schedule(at + HOP_MS, Event::Written(router, page, result));
            }
            Event::ReadDone(router, page, revision, content) => {
                if let Some(holder) = &mut self.holders[router] {
                    holder.page_read(now, page, revision, content);
                }
                router
            }
            Event::ReadFailed(router, page) => {
                if let Some(holder) = &mut self.holders[router] {
                    holder.read_failed(now, page);
                }
                router
            }
            Event::Written(router, page, result) => {
                if let Some(holder) = &mut self.holders[router] {
                    holder.page_written(now, page, result);
                }
                router
            }
            Event::Recall(router, budget) => {
                if let Some(holder) = &mut self.holders[router] {
                    holder.recall(now, &budget);
                }
                router
            }
            Event::Poll(router) => {
                self.polls[router] = None;
                router
            }
        };
        self.poll(router, on_end);
    }

    fn count_bytes(&mut self, page: &LedgerPage) {
        if (self.traffic.reads + self.traffic.writes).is_multiple_of(SIZE_SAMPLE_INTERVAL) {
            // The JSON gateway of the store encodes values as base64.
            self.traffic.bytes += page.encode().len() as u64 * 4 / 3 * SIZE_SAMPLE_INTERVAL;
        }
    }

    fn arrive(&mut self, index: usize) -> usize {
        let Request { router, workspace, amount, .. } = self.requests[index];
        let now = self.clock.now();
        let reserve = ReserveRequest {
            request: format!("q{index}").parse().expect("a request id"),
            budget: self.budgets[workspace].clone(),
            key: None,
            amount: Tokens(amount),
            deadline: now + Millis(60_000),
        };
        if let Some(holder) = &mut self.holders[router] {
            holder.reserve(now, reserve);
        }
        router
    }

    /// Polls the holder of a router and schedules the actions that it returns.
    pub fn poll(&mut self, router: usize, on_end: &mut dyn FnMut(&mut Self, usize)) {
        let (now, at) = (self.clock.now(), self.elapsed());
        let Some(holder) = &mut self.holders[router] else {
            return;
        };
        for action in holder.poll(now) {
            match action {
                HolderAction::Read(page) => self.schedule(at + HOP_MS, Event::Read(router, page)),
                HolderAction::Write { page, expected, content } => {
                    self.schedule(at + HOP_MS, Event::Write(router, page, expected, content));
                }
                // Loans between routers are not simulated.
                HolderAction::Borrow { .. }
                | HolderAction::RespondToLoan { .. }
                | HolderAction::Repay { .. } => {}
                HolderAction::Recall { holder, budget } => {
                    self.traffic.bytes += RECALL_BYTES;
                    self.schedule(at + HOP_MS, Event::Recall(router_index(&holder), budget));
                }
                HolderAction::Reserved(request) => {
                    let index = request_index(&request);
                    let Request { workspace, amount, duration, .. } = self.requests[index];
                    let tag = self.holders[router].as_ref().and_then(|h| h.usage_tag(&request));
                    self.unreserved[workspace] -= amount;
                    self.request_states[index] = RequestState::Running { since: at, tag };
                    self.schedule(at + duration, Event::Finish(router, request));
                }
                HolderAction::Refused(request, _) => {
                    let index = request_index(&request);
                    let Request { workspace, amount, .. } = self.requests[index];
                    let false_refusal = self.unreserved[workspace] >= amount;
                    self.request_states[index] = RequestState::Refused { at, false_refusal };
                    on_end(self, index);
                }
            }
        }
        let next = self.holders[router].as_ref().and_then(Holder::next_poll);
        let Some(next) = next.map(|t| t.as_millis().saturating_sub(1_000_000).max(at + 1)) else {
            return;
        };
        if self.polls[router].is_none_or(|scheduled| next < scheduled) {
            self.polls[router] = Some(next);
            self.schedule(next, Event::Poll(router));
        }
    }

    /// Crashes a router. Returns usage records with the tokens that its running streams have used
    /// so far.
    pub fn crash(&mut self, router: usize) -> Vec<UsageRecord> {
        self.holders[router] = None;
        let at = self.elapsed();
        let mut usage = Vec::new();
        for (request, state) in self.requests.iter().zip(&self.request_states) {
            if let RequestState::Running { since, tag: Some(tag) } = *state
                && request.router == router
            {
                let share = (at - since) as f64 / request.duration as f64;
                usage.push(UsageRecord { tag, used: Tokens((request.used as f64 * share) as u64) });
            }
        }
        usage
    }

    /// Reclaims the rows of a crashed router on all pages, as one ledger scan does.
    pub fn reclaim(&mut self, router: usize, usage: &[UsageRecord]) {
        let crashed = router_name(router).parse().expect("an incarnation");
        let now = self.clock.now();
        for (revision, page) in self.store.values_mut() {
            page.reclaim(&crashed, usage, "bench", now);
            self.revision += 1;
            *revision = self.revision;
        }
    }

    /// Returns the tokens that the row of a router holds, and the unspent tokens of the budget.
    pub fn held_and_unspent(&self, router: usize, workspace: usize) -> (u64, u64) {
        let budget = &self.budgets[workspace];
        let (_, page) = &self.store[&page_of(budget, self.pages)];
        let account = page.account(budget).expect("the account exists");
        let holder = router_name(router).parse().expect("an incarnation");
        (account.held_by(&holder).0, (account.balance + account.outstanding()).0)
    }
}
