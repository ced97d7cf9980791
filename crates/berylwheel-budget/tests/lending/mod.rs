//! A simulation of holders that lend to each other, a store that can fail, and messages that can be
//! lost or delayed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use berylwheel_budget::Holder;
use berylwheel_budget::HolderAction;
use berylwheel_budget::HolderPolicy;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::Reserve;
use berylwheel_budget::WriteResult;
use berylwheel_types::BudgetId;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::LoanAnswer;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use proptest::prelude::*;

/// Interval between polls of all holders, in milliseconds.
const STEP: u64 = 20;
/// Time after the deadline of a request within which a lender is sure to accept its report, in
/// milliseconds.
const REPORT_TIME: u64 = 2_900;
/// Maximum duration of a request.
const REQUEST_TIME: Millis = Millis(6_000);

#[derive(Debug, Clone)]
pub enum Action {
    Request(usize, u64),
    End(u64),
    Withdraw,
    Advance(u64),
    Store(bool),
    HoldMessages(bool),
    LoseMessages,
    Kill(usize),
    Total(u64),
}

pub fn worlds() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        8 => (0..3_usize, 1..900_u64).prop_map(|(at, amount)| Action::Request(at, amount)),
        6 => (0..900_u64).prop_map(Action::End),
        2 => Just(Action::Withdraw),
        6 => (10..2_500_u64).prop_map(Action::Advance),
        2 => any::<bool>().prop_map(Action::Store),
        1 => any::<bool>().prop_map(Action::HoldMessages),
        1 => Just(Action::LoseMessages),
        1 => (0..3_usize).prop_map(Action::Kill),
        1 => (1_000..9_000_u64).prop_map(Action::Total),
    ];
    prop::collection::vec(action, 1..60)
}

#[derive(Debug, Clone)]
enum Message {
    Borrow(Incarnation, Incarnation, u64, BudgetId, Tokens, Millis),
    Lent(Incarnation, u64, LoanAnswer),
    Repaid(Incarnation, Incarnation, u64, Tokens),
    Recall(Incarnation, BudgetId),
}

#[derive(Debug, Clone)]
struct Asked {
    holder: Incarnation,
    amount: u64,
    /// The time at which the request ends at the latest, with its full amount used.
    until: u64,
}

pub struct World {
    now: u64,
    holders: Vec<(Incarnation, Holder)>,
    page: LedgerPage,
    revision: u64,
    version: u64,
    pub store_up: bool,
    pub hold_messages: bool,
    /// Whether messages or holders were lost, so that bills may exceed the usage.
    pub lossy: bool,
    /// The time since which messages are delayed.
    held_since: Option<u64>,
    messages: Vec<Message>,
    waiting: FastMap<RequestId, Asked>,
    running: BTreeMap<RequestId, Asked>,
    /// Tokens used by finished requests.
    finished: u64,
    refused: Vec<Code>,
    runs: u64,
    requests: u64,
    total: u64,
    /// The highest total that has been in force.
    pub highest: u64,
}

fn budget() -> BudgetId {
    "w1/main".parse().expect("budget")
}

impl World {
    pub fn new(count: usize, total: u64) -> Self {
        let mut world = Self {
            now: 1_000_000,
            holders: Vec::new(),
            page: LedgerPage::default(),
            revision: 1,
            version: 1,
            store_up: true,
            hold_messages: false,
            lossy: false,
            held_since: None,
            messages: Vec::new(),
            waiting: FastMap::default(),
            running: BTreeMap::new(),
            finished: 0,
            refused: Vec::new(),
            runs: 0,
            requests: 0,
            total,
            highest: total,
        };
        for slot in 0..count {
            let (me, holder) = world.start(slot, count);
            world.holders.push((me, holder));
        }
        world.know_each_other();
        world.settle_all();
        world
    }

    fn start(&mut self, slot: usize, count: usize) -> (Incarnation, Holder) {
        self.runs += 1;
        let me: Incarnation = format!("r{slot}@{}", self.runs).parse().expect("incarnation");
        let mut holder = Holder::new(me.clone(), HolderPolicy::unrecorded(Millis(10_000)));
        holder.set_routers(count);
        let totals = [(budget(), Tokens(self.total))].into_iter().collect();
        let now = self.time_of(&me);
        holder.set_totals(now, Version(self.version), totals);
        let address = SocketAddr::from(([10, 0, 0, slot as u8], 7_000));
        if self.runs > count as u64 {
            holder.note_earlier();
        }
        holder.set_address(now, now, Some(address));
        (me, holder)
    }

    fn know_each_other(&mut self) {
        let all: Vec<Incarnation> = self.holders.iter().map(|(me, _)| me.clone()).collect();
        let times: Vec<_> = all.iter().map(|me| self.time_of(me)).collect();
        for ((me, holder), now) in self.holders.iter_mut().zip(times) {
            holder.set_lenders(now, all.iter().filter(|other| *other != me).cloned().collect());
        }
    }

    /// Returns the time on a holder's clock. Offsets stay within what holders accept from their
    /// peers.
    fn time_of(&self, me: &Incarnation) -> Timestamp {
        Timestamp::from_millis(self.now + [0, 400, 800][me.number as usize % 3])
    }

    pub fn step(&mut self, action: &Action) {
        match action {
            Action::Request(at, amount) => self.request(*at, *amount),
            Action::End(used) => self.end_one(*used),
            Action::Withdraw => self.withdraw_one(),
            Action::Advance(ms) => self.advance(*ms),
            Action::Store(up) => self.store_up = *up,
            Action::HoldMessages(hold) => {
                self.hold_messages = *hold;
                self.held_since = None;
            }
            Action::LoseMessages => {
                self.lossy |= !self.messages.is_empty();
                self.messages.clear();
            }
            Action::Kill(at) => self.kill(*at),
            Action::Total(total) => self.state(*total),
        }
        self.settle_all();
    }

    pub fn request(&mut self, at: usize, amount: u64) {
        let now = self.time_of(&self.holders[at].0);
        self.requests += 1;
        let request: RequestId = format!("q{}", self.requests).parse().expect("request");
        let (me, holder) = &mut self.holders[at];
        let asked = Asked { holder: me.clone(), amount, until: self.now + REQUEST_TIME.0 };
        self.waiting.insert(request.clone(), asked);
        let reserve = Reserve {
            request,
            budget: budget(),
            key: None,
            amount: Tokens(amount),
            deadline: now + REQUEST_TIME,
        };
        holder.reserve(now, reserve);
    }

    fn state(&mut self, total: u64) {
        self.version += 1;
        self.total = total;
        self.highest = self.highest.max(total);
        let times: Vec<_> = self.holders.iter().map(|(me, _)| self.time_of(me)).collect();
        for ((_, holder), now) in self.holders.iter_mut().zip(times) {
            let totals = [(budget(), Tokens(total))].into_iter().collect();
            holder.set_totals(now, Version(self.version), totals);
        }
    }

    /// Kills a holder and restarts it. Its running requests count as fully used.
    pub fn kill(&mut self, at: usize) {
        self.lossy = true;
        let dead = self.holders[at].0.clone();
        self.waiting.retain(|_, asked| asked.holder != dead);
        let lost = self.running.values().filter(|asked| asked.holder == dead);
        self.finished += lost.map(|asked| asked.amount).sum::<u64>();
        self.running.retain(|_, asked| asked.holder != dead);
        let count = self.holders.len();
        self.holders[at] = self.start(at, count);
        self.know_each_other();
    }

    /// Kills a holder and restarts it `dark` milliseconds later. Returns the tokens that remain
    /// outstanding for the killed run after the new run has returned what it can.
    pub fn kill_for(&mut self, at: usize, dark: u64) -> u64 {
        let (dead, _) = self.holders.remove(at);
        self.know_each_other();
        self.running.retain(|_, asked| asked.holder != dead);
        self.advance(dark);
        let count = self.holders.len() + 1;
        let started = self.start(at, count);
        self.holders.insert(at, started);
        self.know_each_other();
        self.advance(1_500);
        let account = self.page.account(&budget()).expect("stated");
        account.held_by(&dead).0
    }

    /// Announces the departure of a holder, so that the others no longer ask it for loans.
    pub fn depart(&mut self, at: usize) {
        let leaving = self.holders[at].0.clone();
        let now = self.time_of(&leaving);
        self.holders[at].1.depart(now);
        let all: Vec<Incarnation> = self.holders.iter().map(|(me, _)| me.clone()).collect();
        let times: Vec<_> = all.iter().map(|me| self.time_of(me)).collect();
        for ((me, holder), now) in self.holders.iter_mut().zip(times) {
            let others = all.iter().filter(|other| **other != *me && **other != leaving);
            holder.set_lenders(now, others.cloned().collect());
        }
    }

    /// Ends the first running request, with a usage of at most `used`.
    pub fn end_one(&mut self, used: u64) {
        let first = self.running.keys().next().cloned();
        if let Some(request) = first {
            self.end(&request, used);
        }
    }

    fn end(&mut self, request: &RequestId, used: u64) {
        let Some(asked) = self.running.remove(request) else { return };
        let used = used.min(asked.amount);
        self.finished += used;
        let now = self.time_of(&asked.holder);
        let holder = self.holders.iter_mut().find(|(me, _)| *me == asked.holder);
        let (_, holder) = holder.expect("requests of dead holders are gone");
        holder.settle(now, request, Tokens(used));
    }

    /// Cancels the first running request, which has used no tokens.
    pub fn withdraw_one(&mut self) {
        let Some((request, asked)) = self.running.pop_first() else { return };
        let now = self.time_of(&asked.holder);
        let holder = self.holders.iter_mut().find(|(me, _)| *me == asked.holder);
        let (_, holder) = holder.expect("requests of dead holders are gone");
        holder.release(now, &request);
        self.settle_all();
    }

    /// Ends all running requests, each with a usage of at most `used`.
    pub fn end_all(&mut self, used: u64) {
        while !self.running.is_empty() {
            self.end_one(used);
        }
        self.settle_all();
    }

    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + STEP).min(end);
            let late = self.running.iter().filter(|(_, asked)| asked.until <= self.now);
            let late: Vec<RequestId> = late.map(|(request, _)| request.clone()).collect();
            for request in late {
                self.end(&request, u64::MAX);
            }
            self.settle_all();
            if self.hold_messages && !self.messages.is_empty() {
                let since = *self.held_since.get_or_insert(self.now);
                // A lender bills a loan in full if its report arrives later than this.
                self.lossy |= self.now - since > REPORT_TIME;
            }
        }
    }

    /// Clears all faults, ends all requests, and waits until loans without a report are billed.
    pub fn recover(&mut self) {
        self.store_up = true;
        self.hold_messages = false;
        self.settle_all();
        self.end_all(10);
        self.advance(20_000);
        self.end_all(10);
        self.advance(20_000);
    }

    /// Carries out the holders' actions and delivers messages until there are none left.
    pub fn settle_all(&mut self) {
        loop {
            let mut quiet = true;
            for at in 0..self.holders.len() {
                let now = self.time_of(&self.holders[at].0);
                let actions = self.holders[at].1.poll(now);
                quiet &= actions.is_empty();
                for action in actions {
                    self.carry_out(at, action);
                }
            }
            if !self.hold_messages {
                for message in std::mem::take(&mut self.messages) {
                    quiet = false;
                    self.deliver(message);
                }
            }
            if quiet {
                return;
            }
        }
    }

    fn carry_out(&mut self, at: usize, action: HolderAction) {
        let me = self.holders[at].0.clone();
        let now = self.time_of(&me);
        let holder = &mut self.holders[at].1;
        match action {
            HolderAction::Read(page) if self.store_up => {
                holder.page_read(now, page, self.revision, self.page.clone());
            }
            HolderAction::Read(page) => holder.read_failed(now, page),
            HolderAction::Write { page, expected, content } => {
                let result = match (self.store_up, expected == self.revision) {
                    (false, _) => WriteResult::Unknown,
                    (true, false) => WriteResult::Lost,
                    (true, true) => {
                        content.check().expect("conserved");
                        self.revision += 1;
                        self.page = content;
                        WriteResult::Won(self.revision)
                    }
                };
                holder.page_written(now, page, result);
            }
            HolderAction::Recall { holder, budget } => {
                self.messages.push(Message::Recall(holder, budget));
            }
            HolderAction::Borrow { lender, id, budget, amount, time } => {
                self.messages.push(Message::Borrow(lender, me, id, budget, amount, time));
            }
            HolderAction::Lend { borrower, id, answer } => {
                self.messages.push(Message::Lent(borrower, id, answer));
            }
            HolderAction::Repay { lender, id, used } => {
                self.messages.push(Message::Repaid(lender, me, id, used));
            }
            HolderAction::Reserved(request) => {
                let asked = self.waiting.remove(&request).expect("each request is told once");
                self.running.insert(request, asked);
            }
            HolderAction::Refused(request, refusal) => {
                self.waiting.remove(&request).expect("each request is told once");
                self.refused.push(refusal.code);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let to = match &message {
            Message::Recall(to, ..) | Message::Borrow(to, ..) => to,
            Message::Lent(to, ..) | Message::Repaid(to, ..) => to,
        };
        let now = self.time_of(to);
        let found = self.holders.iter_mut().find(|(me, _)| me == to);
        let Some((_, holder)) = found else { return };
        match message {
            Message::Recall(_, budget) => holder.recall(now, &budget),
            Message::Borrow(_, from, id, budget, amount, time) => {
                holder.lend(now, &from, id, &budget, amount, time);
            }
            Message::Lent(_, id, answer) => holder.lent(now, id, answer),
            Message::Repaid(_, from, id, used) => holder.repaid(now, &from, id, used),
        }
    }

    /// Returns the maximum that all requests so far can have used.
    pub fn spent(&self) -> u64 {
        self.finished + self.running.values().map(|asked| asked.amount).sum::<u64>()
    }

    /// Returns the usage of all finished requests.
    pub fn used(&self) -> u64 {
        self.finished
    }

    pub fn billed(&self) -> u64 {
        self.page.account(&budget()).map_or(0, |account| account.billed.0)
    }

    /// Returns the index of the first holder with tokens.
    pub fn home(&self) -> usize {
        let account = self.page.account(&budget()).expect("stated");
        let holds = |(me, _): &(Incarnation, Holder)| account.held_by(me) > Tokens::ZERO;
        self.holders.iter().position(holds).expect("a holder with tokens")
    }

    pub fn held_by(&self, at: usize) -> u64 {
        let account = self.page.account(&budget()).expect("stated");
        account.held_by(&self.holders[at].0).0
    }

    pub fn refused(&self) -> &[Code] {
        &self.refused
    }
}
