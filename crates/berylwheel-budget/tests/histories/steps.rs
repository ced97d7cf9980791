//! The steps of a history. Each is encoded in three numbers, so that a failing history fits on one
//! line.

use berylwheel_budget::WriteResult;
use berylwheel_types::BillKey;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::model::Phase;
use super::simulation::Message;
use super::simulation::ROUTERS;
use super::simulation::Simulation;

/// The encoding of a step: the step (an index into [`STEPS`]), the router or message that it
/// affects, and an amount.
pub type EncodedStep = (u8, u8, u16);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Request,
    KeyedRequest,
    Serve,
    Finish,
    Disconnect,
    Retry,
    DeliverOne,
    DeliverAll,
    Drop,
    Duplicate,
    ReportUnknown,
    ShortWait,
    SettleWait,
    LongWait,
    Crash,
    Start,
    Pause,
    Partition,
    Outage,
    TopUp,
    Cut,
    Reclaim,
    Recall,
    Drain,
}

use Step::*;

/// The steps by code. A step with several codes is chosen more often.
pub const STEPS: [Step; 49] = [
    Request,
    Request,
    Request,
    Request,
    KeyedRequest,
    KeyedRequest,
    KeyedRequest,
    KeyedRequest,
    Serve,
    Serve,
    Serve,
    Serve,
    Finish,
    Finish,
    Finish,
    Finish,
    Disconnect,
    Retry,
    Retry,
    Retry,
    DeliverOne,
    DeliverOne,
    DeliverOne,
    DeliverOne,
    DeliverAll,
    DeliverAll,
    DeliverAll,
    DeliverAll,
    DeliverAll,
    Drop,
    Drop,
    Duplicate,
    Duplicate,
    ReportUnknown,
    ShortWait,
    ShortWait,
    SettleWait,
    SettleWait,
    LongWait,
    Crash,
    Start,
    Pause,
    Partition,
    Outage,
    TopUp,
    Cut,
    Reclaim,
    Recall,
    Drain,
];

/// Maximum time between the end of an attempt and a retry.
const RETRY_WINDOW: Millis = Millis(600_000);

impl Simulation {
    /// Executes one step. A step that does not apply to the current state has no effect.
    pub fn step(&mut self, (code, which, amount): EncodedStep) {
        let slot = usize::from(which) % ROUTERS;
        let index = usize::from(which / 8) % self.budgets.len();
        let tokens = Tokens(1 + u64::from(amount) % 200);
        let step = STEPS[usize::from(code) % STEPS.len()];
        match step {
            Request => self.request(slot, index, tokens, None),
            KeyedRequest => {
                let name = format!("k{}", self.model.attempts.len());
                let key = BillKey::new(&"w1".parse().expect("workspace"), &name);
                self.request(slot, index, tokens, Some(key));
            }
            Serve => self.serve(usize::from(which), tokens),
            Finish => self.finish(usize::from(which), tokens),
            Disconnect => self.disconnect(usize::from(which)),
            Retry => self.retry(slot, usize::from(amount)),
            DeliverOne => {
                if let Some(at) = self.pick_message(which) {
                    let message = self.network.remove(at);
                    self.deliver(message);
                }
            }
            DeliverAll => {
                for _ in 0..1 + amount % 6 {
                    self.deliver_all();
                }
            }
            Drop => self.drop_message(which),
            Duplicate => {
                if let Some(at) = self.pick_message(which) {
                    self.network.push(self.network[at].clone());
                }
            }
            ReportUnknown => self.report_unknown(which),
            ShortWait => self.wait(Millis(5 + u64::from(amount) % 500)),
            SettleWait => self.wait(Millis(2_000 + u64::from(amount) % 4_000)),
            LongWait => self.wait(Millis(300_000 * (1 + u64::from(amount) % 16))),
            Crash => {
                if amount % 2 == 0 {
                    self.crash(slot);
                }
            }
            Start => {
                if self.routers[slot].is_none() {
                    self.start(slot);
                }
            }
            Pause => self.pause(slot),
            Partition => {
                if let Some(router) = &mut self.routers[slot] {
                    router.partitioned = amount % 3 == 0;
                }
            }
            Outage => self.store_up = amount % 3 != 0,
            TopUp => {
                self.credit(index, tokens);
                self.credit_again(index, tokens);
            }
            Cut => self.cut(index, tokens),
            Reclaim => {
                let at = usize::from(which) % self.dead.len().max(1);
                if let Some(dead) = self.dead.get(at).cloned() {
                    self.reclaim(&dead);
                }
            }
            Recall => {
                if let Some(router) = &self.routers[slot] {
                    let message = Message::Recall(router.id.clone(), self.budgets[index].clone());
                    self.network.push(message);
                }
            }
            Drain => self.drain(slot),
        }
    }

    fn deliver_all(&mut self) {
        for message in std::mem::take(&mut self.network) {
            self.deliver(message);
        }
    }

    fn pick_message(&self, which: u8) -> Option<usize> {
        (!self.network.is_empty()).then(|| usize::from(which) % self.network.len())
    }

    /// Returns the index of a running attempt whose router is not paused.
    fn pick_running(&self, which: usize) -> Option<usize> {
        let runs = |at: &usize| {
            let attempt = &self.model.attempts[*at];
            let slot = self.slot_of(&attempt.holder);
            let paused = slot.is_some_and(|s| self.routers[s].as_ref().is_some_and(|r| r.paused));
            attempt.phase == Phase::Running && !paused
        };
        let running: Vec<_> = (0..self.model.attempts.len()).filter(runs).collect();
        (!running.is_empty()).then(|| running[which % running.len()])
    }

    fn serve(&mut self, which: usize, tokens: Tokens) {
        if let Some(at) = self.pick_running(which) {
            let attempt = &mut self.model.attempts[at];
            attempt.used = (attempt.used + tokens).min(attempt.amount);
        }
    }

    fn finish(&mut self, which: usize, tokens: Tokens) {
        self.serve(which, tokens);
        let Some(at) = self.pick_running(which) else {
            return;
        };
        let attempt = &mut self.model.attempts[at];
        (attempt.phase, attempt.ended_at) = (Phase::Ended, Some(self.now));
        let (request, used, holder) =
            (attempt.request.clone(), attempt.used, attempt.holder.clone());
        if let Some(slot) = self.slot_of(&holder) {
            let now = self.clock(slot);
            if let Some(router) = &mut self.routers[slot] {
                router.holder.settle(now, &request, used);
            }
            self.poll_router(slot);
        }
    }

    /// Disconnects the caller of a request that has used no tokens.
    fn disconnect(&mut self, which: usize) {
        let open = |a: &super::model::Attempt| {
            matches!(a.phase, Phase::Waiting | Phase::Running) && a.used == Tokens::ZERO
        };
        let found: Vec<_> =
            (0..self.model.attempts.len()).filter(|at| open(&self.model.attempts[*at])).collect();
        let Some(at) = found.get(which % found.len().max(1)) else {
            return;
        };
        let attempt = &mut self.model.attempts[*at];
        let (request, holder) = (attempt.request.clone(), attempt.holder.clone());
        let Some(slot) = self.slot_of(&holder) else {
            return;
        };
        let now = self.clock(slot);
        let Some(router) = self.routers[slot].as_mut().filter(|router| !router.paused) else {
            return;
        };
        self.model.attempts[*at].phase = Phase::Ended;
        router.holder.release(now, &request);
        self.poll_router(slot);
    }

    /// Retries a request at a router that has not received it before.
    fn retry(&mut self, slot: usize, which: usize) {
        let Some(router) = &self.routers[slot] else {
            return;
        };
        let keyed: Vec<_> = self.model.attempts.iter().filter(|a| a.key.is_some()).collect();
        let Some(first) = keyed.get(which % keyed.len().max(1)) else {
            return;
        };
        let same: Vec<_> = keyed.iter().filter(|a| a.key == first.key).collect();
        let late = |ended: Timestamp| self.now.since(ended) >= RETRY_WINDOW;
        if same.iter().any(|a| a.holder == router.id || a.ended_at.is_some_and(late)) {
            return;
        }
        let (key, amount) = (first.key, first.amount);
        let index = self.budgets.iter().position(|b| *b == first.budget).unwrap_or_default();
        self.request(slot, index, amount, key);
    }

    /// Drops a message. If it belongs to a store operation, the operation fails at its sender.
    fn drop_message(&mut self, which: u8) {
        let Some(at) = self.pick_message(which) else {
            return;
        };
        match self.network.remove(at) {
            Message::Read(id, page) | Message::ReadDone(id, page, ..) => {
                self.deliver_to_router(Message::ReadFailed(id, page));
            }
            Message::Write(id, page, ..) | Message::Written(id, page, _) => {
                self.deliver_to_router(Message::Written(id, page, WriteResult::Unknown));
            }
            _ => {}
        }
    }

    /// Times out a write at its sender while the write is still in flight.
    fn report_unknown(&mut self, which: u8) {
        if let Some(at) = self.pick_message(which)
            && let Message::Write(id, page, ..) = &self.network[at]
        {
            let response = Message::Written(id.clone(), *page, WriteResult::Unknown);
            self.deliver_to_router(response);
        }
    }

    pub fn wait(&mut self, span: Millis) {
        self.now += span;
        (0..ROUTERS).for_each(|slot| self.poll_router(slot));
    }

    fn crash(&mut self, slot: usize) {
        let Some(router) = self.routers[slot].take() else {
            return;
        };
        for attempt in self.model.attempts.iter_mut().filter(|a| a.holder == router.id) {
            if matches!(attempt.phase, Phase::Waiting | Phase::Running) {
                (attempt.phase, attempt.ended_at) = (Phase::Lost, Some(self.now));
            }
        }
        self.dead.push(router.id);
    }

    /// Pauses a router between its decisions and their execution, or resumes it.
    fn pause(&mut self, slot: usize) {
        let now = self.clock(slot);
        let Some(router) = &mut self.routers[slot] else {
            return;
        };
        if !router.paused {
            router.outbox.extend(router.holder.poll(now));
            router.paused = true;
            return;
        }
        router.paused = false;
        let inbox = std::mem::take(&mut router.inbox);
        self.execute_actions(slot);
        inbox.into_iter().for_each(|message| self.deliver_to_router(message));
        self.poll_router(slot);
    }

    fn drain(&mut self, slot: usize) {
        let now = self.clock(slot);
        if let Some(router) = self.routers[slot].as_mut().filter(|router| !router.paused) {
            router.drained = true;
            router.holder.drain(now);
            self.poll_router(slot);
        }
    }

    /// Clears all faults, finishes all requests, reclaims, drains, and checks the final state.
    pub fn recover(&mut self) {
        self.store_up = true;
        for slot in 0..ROUTERS {
            if self.routers[slot].as_ref().is_some_and(|router| router.paused) {
                self.pause(slot);
            }
            if let Some(router) = &mut self.routers[slot] {
                router.partitioned = false;
            }
        }
        for round in 0..60 {
            while self.pick_running(0).is_some() {
                self.finish(0, Tokens(1));
            }
            self.deliver_all();
            if round == 30 {
                self.dead.clone().iter().for_each(|dead| self.reclaim(dead));
                (0..ROUTERS).for_each(|slot| self.drain(slot));
            }
            self.wait(Millis(500));
        }
        self.check();
        for router in self.routers.iter().flatten() {
            if !router.holder.is_empty() {
                self.faults.push(format!("{} is not empty: {:?}", router.id, router.holder));
            }
        }
        let mut all = Vec::new();
        for (_, page) in self.store.values() {
            all.extend(self.model.check_end(page));
        }
        self.faults.extend(all);
    }
}
