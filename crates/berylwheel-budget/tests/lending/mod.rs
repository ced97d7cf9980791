//! A simulation of holders that lend to each other, a store that can fail, and messages that can be
//! lost or delayed.

mod power_loss;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use berylwheel_budget::Holder;
use berylwheel_budget::HolderAction;
use berylwheel_budget::HolderPolicy;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::ReserveRequest;
use berylwheel_budget::WriteResult;
use berylwheel_types::BudgetId;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::LoanResponse;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use proptest::prelude::*;

/// Interval between polls of all holders, in milliseconds.
const STEP: u64 = 20;
/// Time after the deadline of a request within which a lender is sure to accept its report, in
/// milliseconds.
const MIN_REPORT_TIMEOUT: u64 = 2_900;
/// Time after a restore in which no holder is killed, and age of a copy within which none was: what
/// an ended holder had been granted is known only to the lost writes.
const RESTORE_TIME: u64 = 12_000;
/// Time within which each router gets a response of the store, whatever it calls it for.
const WATCH_TIME: u64 = 3_400;
/// Maximum duration of a request.
const REQUEST_TIMEOUT: Millis = Millis(6_000);

#[derive(Debug, Clone)]
pub enum Action {
    Request(usize, u64),
    Finish(u64),
    Cancel,
    Advance(u64),
    Store(bool),
    DelayMessages(bool),
    LoseMessages,
    Kill(usize),
    KillAll(u64),
    ClocksAgree(bool),
    Total(u64),
    Restore(u64),
    Depart(usize),
}

pub fn action_sequences() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        8 => (0..3_usize, 1..900_u64).prop_map(|(slot, amount)| Action::Request(slot, amount)),
        6 => (0..900_u64).prop_map(Action::Finish),
        2 => Just(Action::Cancel),
        6 => (10..2_500_u64).prop_map(Action::Advance),
        2 => any::<bool>().prop_map(Action::Store),
        1 => any::<bool>().prop_map(Action::DelayMessages),
        1 => Just(Action::LoseMessages),
        1 => (0..3_usize).prop_map(Action::Kill),
        1 => (0..9_000_u64).prop_map(Action::KillAll),
        1 => any::<bool>().prop_map(Action::ClocksAgree),
        1 => (1_000..9_000_u64).prop_map(Action::Total),
        1 => (0..9_000_u64).prop_map(Action::Restore),
        1 => (0..2_usize).prop_map(Action::Depart),
    ];
    prop::collection::vec(action, 1..60)
}

#[derive(Debug, Clone)]
enum Message {
    Borrow(Incarnation, Incarnation, u64, BudgetId, Tokens, Millis),
    Lent(Incarnation, u64, LoanResponse),
    Repaid(Incarnation, Incarnation, u64, Tokens),
    Recall(Incarnation, BudgetId),
}

#[derive(Debug, Clone)]
struct PendingRequest {
    holder: Incarnation,
    amount: u64,
    /// The time at which the request ends at the latest, with its full amount used.
    until: u64,
}

pub struct Simulation {
    now: u64,
    holders: Vec<(Incarnation, Holder)>,
    /// When each holder started, by its own clock.
    started: Vec<Timestamp>,
    page: LedgerPage,
    revision: u64,
    /// The content after each write, with its time.
    copies: Vec<(u64, LedgerPage, u64)>,
    /// The era of the store, and the one that the last write stated.
    era: u64,
    written_era: u64,
    /// The era that each holder knows.
    known_eras: Vec<u64>,
    restored_at: Option<u64>,
    killed_at: Option<u64>,
    version: u64,
    pub store_up: bool,
    pub delay_messages: bool,
    /// Whether the clocks of holders agree with those of their peers when they start.
    pub clocks_agree: bool,
    /// Whether some runs have a wrong clock, which never agrees with those of its peers.
    pub wrong_clocks: bool,
    /// Whether messages or holders were lost, so that bills may exceed the usage.
    pub lossy: bool,
    /// The time since which messages are delayed.
    delayed_since: Option<u64>,
    messages: Vec<Message>,
    waiting: FastMap<RequestId, PendingRequest>,
    running: BTreeMap<RequestId, PendingRequest>,
    /// Tokens used by finished requests.
    used: u64,
    refused: Vec<Code>,
    run_count: u64,
    request_count: u64,
    total: u64,
    /// The highest total that has been in force.
    pub max_total: u64,
}

fn budget() -> BudgetId {
    "w1/main".parse().expect("budget")
}

impl Simulation {
    pub fn new(count: usize, total: u64) -> Self {
        let mut sim = Self {
            now: 1_000_000,
            holders: Vec::new(),
            started: Vec::new(),
            page: LedgerPage::default(),
            revision: 1,
            copies: Vec::new(),
            era: 1,
            written_era: 1,
            known_eras: vec![1; count],
            restored_at: None,
            killed_at: None,
            version: 1,
            store_up: true,
            delay_messages: false,
            clocks_agree: true,
            wrong_clocks: false,
            lossy: false,
            delayed_since: None,
            messages: Vec::new(),
            waiting: FastMap::default(),
            running: BTreeMap::new(),
            used: 0,
            refused: Vec::new(),
            run_count: 0,
            request_count: 0,
            total,
            max_total: total,
        };
        for slot in 0..count {
            let (holder_id, holder) = sim.start(slot, count);
            sim.started.push(sim.clock_of(&holder_id));
            sim.holders.push((holder_id, holder));
        }
        sim.update_lenders();
        sim.run_until_idle();
        sim
    }

    fn start(&mut self, slot: usize, count: usize) -> (Incarnation, Holder) {
        self.run_count += 1;
        let holder_id: Incarnation =
            format!("r{slot}@{}", self.run_count).parse().expect("incarnation");
        let mut holder =
            Holder::new(holder_id.clone(), HolderPolicy::without_usage_records(Millis(10_000)));
        holder.set_routers(count);
        let totals = [(budget(), Tokens(self.total))].into_iter().collect();
        let now = self.clock_of(&holder_id);
        holder.set_era(now, StoreEra(self.era));
        holder.set_totals(now, Version(self.version), totals);
        let address = SocketAddr::from(([10, 0, 0, slot as u8], 7_000));
        if self.run_count > count as u64 {
            holder.note_earlier_run();
        }
        holder.set_address(now, now, address, self.agrees(&holder_id));
        (holder_id, holder)
    }

    fn update_lenders(&mut self) {
        let all: Vec<Incarnation> =
            self.holders.iter().map(|(holder_id, _)| holder_id.clone()).collect();
        let times: Vec<_> = all.iter().map(|holder_id| self.clock_of(holder_id)).collect();
        for ((holder_id, holder), now) in self.holders.iter_mut().zip(times) {
            holder.set_lenders(
                now,
                all.iter().filter(|other| *other != holder_id).cloned().collect(),
            );
        }
    }

    /// Returns the time on a holder's clock. Offsets stay within what holders accept from their
    /// peers.
    fn clock_of(&self, holder_id: &Incarnation) -> Timestamp {
        match (self.is_wrong(holder_id), holder_id.number % 8) {
            (true, 3) => Timestamp::from_millis(self.now + 600_000),
            (true, _) => Timestamp::from_millis(self.now - 600_000),
            _ => Timestamp::from_millis(self.now + [0, 400, 800][holder_id.number as usize % 3]),
        }
    }

    fn is_wrong(&self, holder_id: &Incarnation) -> bool {
        self.wrong_clocks && holder_id.number % 4 == 3
    }

    fn agrees(&self, holder_id: &Incarnation) -> bool {
        self.clocks_agree && !self.is_wrong(holder_id)
    }

    pub fn step(&mut self, action: &Action) {
        match action {
            Action::Request(slot, amount) => self.request(*slot, *amount),
            Action::Finish(used) => self.finish_first(*used),
            Action::Cancel => self.cancel_first(),
            Action::Advance(ms) => self.advance(*ms),
            Action::Store(up) => self.store_up = *up,
            Action::DelayMessages(delay) => {
                self.delay_messages = *delay;
                self.delayed_since = None;
            }
            Action::LoseMessages => {
                self.lossy |= !self.messages.is_empty();
                self.messages.clear();
            }
            Action::Kill(slot) if self.may_kill() => self.kill(*slot),
            Action::KillAll(downtime) if self.may_kill() => self.kill_all_and_restart(*downtime),
            Action::Kill(_) | Action::KillAll(_) => {}
            Action::ClocksAgree(agree) => self.set_clocks_agree(*agree),
            Action::Total(total) => self.set_total(*total),
            Action::Restore(age) => self.restore(*age),
            Action::Depart(slot) => self.depart(*slot),
        }
        self.run_until_idle();
    }

    pub fn request(&mut self, slot: usize, amount: u64) {
        let now = self.clock_of(&self.holders[slot].0);
        self.request_count += 1;
        let request: RequestId = format!("q{}", self.request_count).parse().expect("request");
        let (holder_id, holder) = &mut self.holders[slot];
        let pending = PendingRequest {
            holder: holder_id.clone(),
            amount,
            until: self.now + REQUEST_TIMEOUT.0,
        };
        self.waiting.insert(request.clone(), pending);
        let reserve = ReserveRequest {
            request,
            budget: budget(),
            key: None,
            amount: Tokens(amount),
            deadline: now + REQUEST_TIMEOUT,
        };
        holder.reserve(now, reserve);
    }

    /// Restores the store from a copy that is `age` old, unless a holder ended shortly before.
    pub fn restore(&mut self, age: u64) {
        let time = self.now.saturating_sub(age);
        let is_known = self.killed_at.is_none_or(|at| at + RESTORE_TIME < time);
        let copy = self.copies.iter().rfind(|(at, ..)| *at <= time).filter(|_| is_known);
        let Some((_, page, revision)) = copy.cloned() else { return };
        self.copies.retain(|(at, ..)| *at <= time);
        (self.page, self.revision) = (page, revision);
        self.era += 1;
        self.restored_at = Some(self.now);
    }

    /// Lets a holder learn of the era with a response of the store. Returns whether it is new to it.
    fn learn_era(&mut self, slot: usize, now: Timestamp) -> bool {
        let is_new = std::mem::replace(&mut self.known_eras[slot], self.era) != self.era;
        self.holders[slot].1.set_era(now, StoreEra(self.era));
        is_new
    }

    fn may_kill(&self) -> bool {
        self.restored_at.is_none_or(|at| at + RESTORE_TIME < self.now)
    }

    fn set_total(&mut self, total: u64) {
        self.version += 1;
        self.total = total;
        self.max_total = self.max_total.max(total);
        let times: Vec<_> =
            self.holders.iter().map(|(holder_id, _)| self.clock_of(holder_id)).collect();
        for ((_, holder), now) in self.holders.iter_mut().zip(times) {
            let totals = [(budget(), Tokens(total))].into_iter().collect();
            holder.set_totals(now, Version(self.version), totals);
        }
    }

    /// Kills a holder and restarts it. Its running requests count as fully used.
    pub fn kill(&mut self, slot: usize) {
        self.lossy = true;
        self.killed_at = Some(self.now);
        self.known_eras[slot] = self.era;
        let dead = self.holders[slot].0.clone();
        self.waiting.retain(|_, pending| pending.holder != dead);
        let lost = self.running.values().filter(|pending| pending.holder == dead);
        self.used += lost.map(|pending| pending.amount).sum::<u64>();
        self.running.retain(|_, pending| pending.holder != dead);
        let count = self.holders.len();
        self.holders[slot] = self.start(slot, count);
        self.started[slot] = self.clock_of(&self.holders[slot].0);
        self.update_lenders();
    }

    /// Kills a holder and restarts it `downtime` milliseconds later. Returns the tokens that remain
    /// outstanding for the killed run after the new run has returned what it can.
    pub fn kill_and_restart(&mut self, slot: usize, downtime: u64) -> u64 {
        let (dead, _) = self.holders.remove(slot);
        self.update_lenders();
        self.running.retain(|_, pending| pending.holder != dead);
        self.advance(downtime);
        let count = self.holders.len() + 1;
        let started = self.start(slot, count);
        self.holders.insert(slot, started);
        self.started[slot] = self.clock_of(&self.holders[slot].0);
        self.update_lenders();
        self.advance(1_500);
        let account = self.page.account(&budget()).expect("account");
        account.held_by(&dead).0
    }

    /// Announces the departure of a holder, so that the others no longer ask it for loans.
    pub fn depart(&mut self, slot: usize) {
        let leaving = self.holders[slot].0.clone();
        let now = self.clock_of(&leaving);
        self.holders[slot].1.depart(now);
        let all: Vec<Incarnation> =
            self.holders.iter().map(|(holder_id, _)| holder_id.clone()).collect();
        let times: Vec<_> = all.iter().map(|holder_id| self.clock_of(holder_id)).collect();
        for ((holder_id, holder), now) in self.holders.iter_mut().zip(times) {
            let others = all.iter().filter(|other| **other != *holder_id && **other != leaving);
            holder.set_lenders(now, others.cloned().collect());
        }
    }

    /// Ends the first running request, with a usage of at most `used`.
    pub fn finish_first(&mut self, used: u64) {
        let first = self.running.keys().next().cloned();
        if let Some(request) = first {
            self.finish(&request, used);
        }
    }

    fn finish(&mut self, request: &RequestId, used: u64) {
        let Some(pending) = self.running.remove(request) else { return };
        let used = used.min(pending.amount);
        self.used += used;
        let now = self.clock_of(&pending.holder);
        let holder = self.holders.iter_mut().find(|(holder_id, _)| *holder_id == pending.holder);
        let (_, holder) = holder.expect("requests of dead holders are gone");
        holder.settle(now, request, Tokens(used));
    }

    /// Cancels the first running request, which has used no tokens.
    pub fn cancel_first(&mut self) {
        let Some((request, pending)) = self.running.pop_first() else { return };
        let now = self.clock_of(&pending.holder);
        let holder = self.holders.iter_mut().find(|(holder_id, _)| *holder_id == pending.holder);
        let (_, holder) = holder.expect("requests of dead holders are gone");
        holder.release(now, &request);
        self.run_until_idle();
    }

    /// Ends all running requests, each with a usage of at most `used`.
    pub fn finish_all(&mut self, used: u64) {
        while !self.running.is_empty() {
            self.finish_first(used);
        }
        self.run_until_idle();
    }

    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + STEP).min(end);
            if self.store_up && self.restored_at.is_some_and(|at| at + WATCH_TIME < self.now) {
                for slot in 0..self.holders.len() {
                    let now = self.clock_of(&self.holders[slot].0);
                    self.learn_era(slot, now);
                }
            }
            let late = self.running.iter().filter(|(_, pending)| pending.until <= self.now);
            let late: Vec<RequestId> = late.map(|(request, _)| request.clone()).collect();
            for request in late {
                self.finish(&request, u64::MAX);
            }
            self.run_until_idle();
            if self.delay_messages && !self.messages.is_empty() {
                let since = *self.delayed_since.get_or_insert(self.now);
                // A lender bills a loan in full if its report arrives later than this.
                self.lossy |= self.now - since > MIN_REPORT_TIMEOUT;
            }
        }
    }

    /// Clears all faults, ends all requests, and waits until loans without a report are billed.
    pub fn recover(&mut self) {
        self.store_up = true;
        self.delay_messages = false;
        self.run_until_idle();
        self.finish_all(10);
        self.advance(20_000);
        self.finish_all(10);
        self.advance(20_000);
    }

    /// Carries out the holders' actions and delivers messages until there are none left.
    pub fn run_until_idle(&mut self) {
        loop {
            let mut idle = true;
            for slot in 0..self.holders.len() {
                let now = self.clock_of(&self.holders[slot].0);
                let actions = self.holders[slot].1.poll(now);
                idle &= actions.is_empty();
                for action in actions {
                    self.execute(slot, action);
                }
            }
            if !self.delay_messages {
                for message in std::mem::take(&mut self.messages) {
                    idle = false;
                    self.deliver(message);
                }
            }
            if idle {
                return;
            }
        }
    }

    fn execute(&mut self, slot: usize, action: HolderAction) {
        let holder_id = self.holders[slot].0.clone();
        let now = self.clock_of(&holder_id);
        let is_store_call = matches!(action, HolderAction::Read(_) | HolderAction::Write { .. });
        let known_era = self.known_eras[slot];
        let is_late = self.store_up && is_store_call && self.learn_era(slot, now);
        let holder = &mut self.holders[slot].1;
        match action {
            HolderAction::Read(page) if is_late => holder.read_failed(now, page),
            HolderAction::Read(page) if self.store_up => {
                holder.page_read(now, page, self.revision, self.page.clone());
            }
            HolderAction::Read(page) => holder.read_failed(now, page),
            HolderAction::Write { page, expected, content } => {
                // A write of an earlier era has no effect once another one was written in this era.
                let is_met = expected == self.revision && known_era >= self.written_era;
                let result = match (self.store_up, is_met) {
                    (false, _) => WriteResult::Unknown,
                    (true, false) => WriteResult::Conflict,
                    (true, true) => {
                        content.check().expect("conserved");
                        self.revision += 1;
                        self.written_era = known_era;
                        self.page = content;
                        self.copies.push((self.now, self.page.clone(), self.revision));
                        WriteResult::Written(self.revision)
                    }
                };
                let result = if is_late { WriteResult::Unknown } else { result };
                holder.page_written(now, page, result);
            }
            HolderAction::Recall { holder, budget } => {
                self.messages.push(Message::Recall(holder, budget));
            }
            HolderAction::Borrow { lender, id, budget, amount, time } => {
                self.messages.push(Message::Borrow(lender, holder_id, id, budget, amount, time));
            }
            HolderAction::RespondToLoan { borrower, id, response } => {
                self.messages.push(Message::Lent(borrower, id, response));
            }
            HolderAction::Repay { lender, id, used } => {
                self.messages.push(Message::Repaid(lender, holder_id, id, used));
            }
            HolderAction::Reserved(request) => {
                let pending = self.waiting.remove(&request).expect("each request is answered once");
                self.running.insert(request, pending);
            }
            HolderAction::Refused(request, refusal) => {
                self.waiting.remove(&request).expect("each request is answered once");
                self.refused.push(refusal.code);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let to = match &message {
            Message::Recall(to, ..) | Message::Borrow(to, ..) => to,
            Message::Lent(to, ..) | Message::Repaid(to, ..) => to,
        };
        let now = self.clock_of(to);
        let found = self.holders.iter_mut().find(|(holder_id, _)| holder_id == to);
        let Some((_, holder)) = found else { return };
        match message {
            Message::Recall(_, budget) => holder.recall(now, &budget),
            Message::Borrow(_, from, id, budget, amount, time) => {
                holder.loan_requested(now, &from, id, &budget, amount, time);
            }
            Message::Lent(_, id, response) => holder.loan_response_received(now, id, response),
            Message::Repaid(_, from, id, used) => holder.loan_repaid(now, &from, id, used),
        }
    }

    /// Returns the maximum that all requests so far can have used.
    pub fn spent(&self) -> u64 {
        self.used + self.running.values().map(|pending| pending.amount).sum::<u64>()
    }

    /// Returns the usage of all finished requests.
    pub fn used(&self) -> u64 {
        self.used
    }

    pub fn billed(&self) -> u64 {
        self.page.account(&budget()).map_or(0, |account| account.billed.0)
    }

    /// Returns the index of the first holder with tokens.
    pub fn home(&self) -> usize {
        let account = self.page.account(&budget()).expect("account");
        let holds =
            |(holder_id, _): &(Incarnation, Holder)| account.held_by(holder_id) > Tokens::ZERO;
        self.holders.iter().position(holds).expect("a holder with tokens")
    }

    pub fn held_by(&self, slot: usize) -> u64 {
        let account = self.page.account(&budget()).expect("account");
        account.held_by(&self.holders[slot].0).0
    }

    pub fn refused(&self) -> &[Code] {
        &self.refused
    }
}
