//! A simulation of routers, a store and a network, driven by the steps of a history.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use berylwheel_budget::Holder;
use berylwheel_budget::HolderAction;
use berylwheel_budget::HolderPolicy;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::PageId;
use berylwheel_budget::ReserveRequest;
use berylwheel_budget::WriteResult;
use berylwheel_budget::page_of;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::model::Attempt;
use super::model::Model;
use super::model::Phase;

pub const ROUTERS: usize = 4;
pub const PAGES: u32 = 2;

#[derive(Debug, Clone)]
pub enum Message {
    Read(Incarnation, PageId),
    Write(Incarnation, PageId, u64, LedgerPage),
    ReadDone(Incarnation, PageId, u64, LedgerPage),
    ReadFailed(Incarnation, PageId),
    Written(Incarnation, PageId, WriteResult),
    Recall(Incarnation, BudgetId),
}

#[derive(Debug)]
pub struct Router {
    pub id: Incarnation,
    pub holder: Holder,
    pub paused: bool,
    pub partitioned: bool,
    pub drained: bool,
    pub inbox: VecDeque<Message>,
    pub outbox: Vec<HolderAction>,
}

#[derive(Debug)]
pub struct Simulation {
    pub now: Timestamp,
    pub routers: Vec<Option<Router>>,
    pub dead: Vec<Incarnation>,
    pub store: BTreeMap<PageId, (u64, LedgerPage)>,
    pub store_up: bool,
    pub revision: u64,
    pub network: Vec<Message>,
    pub model: Model,
    pub faults: Vec<String>,
    pub budgets: Vec<BudgetId>,
    pub run_count: u64,
    pub credit_count: u64,
}

impl Simulation {
    pub fn new() -> Self {
        let now = Timestamp::from_millis(1_000_000_000);
        let budgets: Vec<BudgetId> =
            ["w1/a", "w2/a", "w3/a"].iter().map(|name| name.parse().expect("budget")).collect();
        let mut sim = Self {
            now,
            routers: Vec::new(),
            dead: Vec::new(),
            store: BTreeMap::new(),
            store_up: true,
            revision: 0,
            network: Vec::new(),
            model: Model::default(),
            faults: Vec::new(),
            budgets: budgets.clone(),
            run_count: 0,
            credit_count: 0,
        };
        for budget in &budgets {
            let (_, page) = sim.store.entry(page_of(budget, PAGES)).or_default();
            page.create(budget, "op", now).expect("created");
        }
        (0..3).for_each(|n| sim.credit(n, Tokens(400 + 3_000 * n as u64)));
        for slot in 0..ROUTERS {
            sim.routers.push(None);
            sim.start(slot);
        }
        sim
    }

    /// Returns the time on a router's clock. Clocks differ by up to 30 seconds.
    pub fn clock(&self, slot: usize) -> Timestamp {
        self.now + Millis(slot as u64 * 10_000)
    }

    pub fn start(&mut self, slot: usize) {
        self.run_count += 1;
        let id: Incarnation = format!("r{slot}@{}", self.run_count).parse().expect("incarnation");
        let policy = HolderPolicy { pages: PAGES, ..HolderPolicy::default() };
        let mut holder = Holder::new(id.clone(), policy);
        holder.set_routers(ROUTERS);
        self.routers[slot] = Some(Router {
            id,
            holder,
            paused: false,
            partitioned: false,
            drained: false,
            inbox: VecDeque::new(),
            outbox: Vec::new(),
        });
    }

    pub fn slot_of(&self, holder: &Incarnation) -> Option<usize> {
        self.routers.iter().position(|r| r.as_ref().is_some_and(|r| r.id == *holder))
    }

    pub fn credit(&mut self, index: usize, amount: Tokens) {
        self.credit_count += 1;
        let budget = self.budgets[index].clone();
        *self.model.credited.entry(budget).or_default() += amount;
        self.credit_again(index, amount);
    }

    /// Applies the latest top-up again, as its sender does after a lost response.
    pub fn credit_again(&mut self, index: usize, amount: Tokens) {
        let id = format!("c{}", self.credit_count).parse().expect("credit id");
        let (budget, now) = (self.budgets[index].clone(), self.now);
        self.change_page(&budget, |page| page.credit(&budget, id, amount, "op", now).is_ok());
    }

    pub fn cut(&mut self, index: usize, amount: Tokens) {
        self.credit_count += 1;
        let id = format!("c{}", self.credit_count).parse().expect("credit id");
        let (budget, now) = (self.budgets[index].clone(), self.now);
        if self.change_page(&budget, |page| page.cut(&budget, id, amount, "op", now).is_ok()) {
            *self.model.credited.entry(budget).or_default() -= amount;
        }
    }

    fn change_page(&mut self, budget: &BudgetId, f: impl FnOnce(&mut LedgerPage) -> bool) -> bool {
        let (revision, page) = self.store.entry(page_of(budget, PAGES)).or_default();
        self.revision += 1;
        *revision = self.revision;
        f(page)
    }

    pub fn reclaim(&mut self, dead: &Incarnation) {
        let usage = self.model.usage(dead);
        for (revision, page) in self.store.values_mut() {
            let old = page.clone();
            page.reclaim(dead, &usage, "r0", self.now);
            if *page == old {
                continue;
            }
            self.revision += 1;
            *revision = self.revision;
            self.faults.extend(self.model.apply_change(&old, page, dead));
        }
    }

    pub fn request(&mut self, slot: usize, index: usize, amount: Tokens, key: Option<BillKey>) {
        let now = self.clock(slot);
        let Some(router) = self.routers[slot].as_mut().filter(|r| !r.paused && !r.drained) else {
            return;
        };
        let request: berylwheel_types::RequestId =
            format!("q{}", self.model.attempts.len()).parse().expect("request id");
        let budget = self.budgets[index].clone();
        self.model.attempts.push(Attempt {
            request: request.clone(),
            holder: router.id.clone(),
            budget: budget.clone(),
            key,
            amount,
            used: Tokens::ZERO,
            phase: Phase::Waiting,
            tag: None,
            ended_at: None,
            resolved: false,
        });
        let deadline = now + Millis(60_000);
        router.holder.reserve(now, ReserveRequest { request, budget, key, amount, deadline });
        self.poll_router(slot);
    }

    /// Polls a router and carries out its actions, unless it is paused.
    pub fn poll_router(&mut self, slot: usize) {
        let now = self.clock(slot);
        if let Some(router) = self.routers[slot].as_mut().filter(|router| !router.paused) {
            router.outbox.extend(router.holder.poll(now));
            self.execute_actions(slot);
        }
    }

    pub fn execute_actions(&mut self, slot: usize) {
        let Some(router) = self.routers[slot].as_mut() else {
            return;
        };
        let id = router.id.clone();
        for action in std::mem::take(&mut router.outbox) {
            match action {
                HolderAction::Read(page) => self.network.push(Message::Read(id.clone(), page)),
                HolderAction::Write { page, expected, content } => {
                    self.network.push(Message::Write(id.clone(), page, expected, content));
                }
                // Loans are disabled by the policy of these routers.
                HolderAction::Borrow { .. }
                | HolderAction::RespondToLoan { .. }
                | HolderAction::Repay { .. } => {}
                HolderAction::Recall { holder, budget } => {
                    self.network.push(Message::Recall(holder, budget));
                }
                HolderAction::Reserved(request) => {
                    let tag = router.holder.usage_tag(&request);
                    let attempt = self.model.attempts.iter_mut().find(|a| a.request == request);
                    if let Some(attempt) = attempt.filter(|a| a.phase == Phase::Waiting) {
                        (attempt.phase, attempt.tag) = (Phase::Running, tag);
                    } else {
                        self.faults.push(format!("{request} was admitted twice"));
                    }
                }
                HolderAction::Refused(request, _) => {
                    let attempt = self.model.attempts.iter_mut().find(|a| a.request == request);
                    if let Some(attempt) = attempt.filter(|a| a.phase == Phase::Waiting) {
                        attempt.phase = Phase::Refused;
                    } else {
                        self.faults.push(format!("{request} was refused after a response"));
                    }
                }
            }
        }
    }

    /// Delivers one message. The response, if any, is sent over the network.
    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Read(id, page) => {
                if !self.reaches_store(&id) {
                    return self.deliver_to_router(Message::ReadFailed(id, page));
                }
                let (revision, content) = self.store.get(&page).cloned().unwrap_or_default();
                self.network.push(Message::ReadDone(id, page, revision, content));
            }
            Message::Write(id, page, expected, content) => {
                if !self.reaches_store(&id) {
                    return self.deliver_to_router(Message::Written(
                        id,
                        page,
                        WriteResult::Unknown,
                    ));
                }
                let entry = self.store.entry(page).or_default();
                if entry.0 != expected {
                    self.network.push(Message::Written(id, page, WriteResult::Conflict));
                    return;
                }
                self.faults.extend(self.model.apply_change(&entry.1, &content, &id));
                self.revision += 1;
                *entry = (self.revision, content);
                self.network.push(Message::Written(id, page, WriteResult::Written(self.revision)));
            }
            response => self.deliver_to_router(response),
        }
    }

    fn reaches_store(&self, id: &Incarnation) -> bool {
        let partitioned = |slot: usize| self.routers[slot].as_ref().is_some_and(|r| r.partitioned);
        self.store_up && !self.slot_of(id).is_some_and(partitioned)
    }

    /// Passes a message to its recipient. A paused router queues it, and a dead one drops it.
    pub fn deliver_to_router(&mut self, message: Message) {
        let to = match &message {
            Message::ReadDone(id, ..) | Message::ReadFailed(id, _) | Message::Read(id, _) => id,
            Message::Written(id, ..) | Message::Write(id, ..) | Message::Recall(id, _) => id,
        };
        let Some(slot) = self.slot_of(to) else {
            return;
        };
        let now = self.clock(slot);
        let Some(router) = self.routers[slot].as_mut() else {
            return;
        };
        if router.paused {
            router.inbox.push_back(message);
            return;
        }
        match message {
            Message::ReadDone(_, page, revision, content) => {
                router.holder.page_read(now, page, revision, content);
            }
            Message::ReadFailed(_, page) => router.holder.read_failed(now, page),
            Message::Written(_, page, result) => router.holder.page_written(now, page, result),
            Message::Recall(_, budget) if !router.partitioned => router.holder.recall(now, &budget),
            _ => {}
        }
        self.poll_router(slot);
    }

    /// Checks every page, and returns all faults found so far.
    pub fn check(&mut self) -> &[String] {
        for (_, page) in self.store.values() {
            self.faults.extend(self.model.check_page(page));
            let over = self.model.overspend(page);
            if over > 0 {
                self.faults.push(format!("{over} tokens were overspent"));
            }
        }
        &self.faults
    }
}
