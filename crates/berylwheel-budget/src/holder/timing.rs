//! Scheduling of page reads and writes, and the poll loop.

use std::collections::VecDeque;

use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::action::HolderAction;
use super::core::Holder;
use super::grant::Grant;
use super::grant::Waiter;
use super::pages::Operation;
use super::pages::PageState;
use crate::HolderPolicy;
use crate::PageId;

/// Returns when `page` should be read next. No operation may be in flight.
fn next_read(
    page: &PageState,
    policy: &HolderPolicy,
    interval: Millis,
    draining: bool,
) -> Option<Timestamp> {
    let since_read =
        |gap| page.read_at.max(page.processed_at).map(|at| at + gap).unwrap_or_default();
    let urgent = since_read(policy.urgent_interval);
    let grant_need = |grant: &Grant| {
        let waiting =
            grant.waiters.iter().any(|waiter| !waiter.loan_pending).then(|| match &grant.recall {
                Some(round) => round.until.min(since_read(policy.recall_poll)).max(urgent),
                None => urgent.max(grant.next_recall),
            });
        let has_returnable = grant.free() > Tokens::ZERO || !grant.unbilled.is_empty();
        let requested = ((grant.recalled || draining) && has_returnable).then_some(urgent);
        let idle = (!policy.loans_enabled && grant.held > Tokens::ZERO && grant.is_idle())
            .then(|| urgent.max(grant.used_at + policy.idle_timeout));
        [waiting, requested, idle].into_iter().flatten().min()
    };
    let needed = page.grants.values().filter_map(grant_need).min();
    let pending = page.pending.is_some().then_some(page.retry_at);
    let settle = page.dirty_since.map(|dirty| urgent.max(dirty + interval));
    let restore = page.needs_restore().then_some(urgent);
    let update_totals = page.totals_stale.then_some(urgent);
    let holds = page.grants.values().any(|grant| grant.held > Tokens::ZERO);
    let refresh = holds.then(|| urgent.max(page.written_at + page.refresh_after(policy)));
    let due =
        [needed, pending, settle, restore, update_totals, refresh].into_iter().flatten().min()?;
    Some(due.max(page.retry_at))
}

impl Holder {
    /// Returns the interval between settlements of a page.
    ///
    /// It grows with the number of routers and pages and with their size, so that settlements stay
    /// within the write rate of the fleet and the byte rate of the router.
    fn settle_interval(&self) -> Millis {
        let writers = self.router_count as u64 * self.pages.len() as u64;
        let spread = writers * 1_000 / u64::from(self.policy.write_rate.max(1));
        // Each settlement reads and writes the page, so its size counts twice.
        let bytes = 2 * self.page_bytes * 1_000 / u64::from(self.policy.byte_rate.max(1));
        let longest = self.policy.settle_max.max(self.policy.settle_min);
        Millis(spread.max(bytes)).clamp(self.policy.settle_min, longest)
    }

    /// Updates the timer of a page.
    pub(super) fn reschedule(&mut self, now: Timestamp, id: PageId) {
        let interval = self.settle_interval();
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        let operation_due = match page.operation {
            Operation::Idle => next_read(page, &self.policy, interval, self.draining),
            Operation::Reading(since) | Operation::Writing(since) => {
                Some(since + self.policy.response_timeout)
            }
        };
        let waiters = page.grants.values().flat_map(|grant| grant.waiters.iter());
        let expiry = waiters.map(|waiter| waiter.until).min();
        let wake_at = [operation_due, expiry].into_iter().flatten().min().map(|at| at.max(now));
        if wake_at == page.wake_at {
            return;
        }
        if let Some(before) = page.wake_at {
            self.timers.remove(&(before, id));
        }
        if let Some(at) = wake_at {
            self.timers.insert((at, id));
        }
        page.wake_at = wake_at;
    }

    /// Returns when [`Holder::poll`] must be called next, unless an event arrives earlier.
    pub fn next_poll(&self) -> Option<Timestamp> {
        if !self.pending_actions.is_empty() {
            return Some(Timestamp::default());
        }
        let timer = self.timers.first().map(|(at, _)| *at);
        let checks = self.home_check_due().into_iter().chain(self.earlier_check_due());
        timer.into_iter().chain(self.next_expiry()).chain(checks).min()
    }

    /// Handles everything that is due, and returns the resulting actions.
    pub fn poll(&mut self, now: Timestamp) -> Vec<HolderAction> {
        self.check_homes(now);
        self.check_earlier_runs(now);
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            if let Some(page) = self.pages.get_mut(&id) {
                page.wake_at = None;
            }
            self.handle_timer(now, id);
            self.reschedule(now + Millis(1), id);
        }
        self.expire_loans(now);
        if self.policy.lock_time > Millis(0) {
            self.admit_unlocked(now);
        }
        if self.policy.loans_enabled {
            self.borrow_for_delayed(now);
        }
        let actions = std::mem::take(&mut self.pending_actions);
        self.respond_to_loans(actions)
    }

    /// Admits waiting requests whose tokens are no longer locked.
    fn admit_unlocked(&mut self, now: Timestamp) {
        let waits = |page: &PageState| page.grants.values().any(|grant| !grant.waiters.is_empty());
        let waiting: Vec<PageId> =
            self.pages.iter().filter(|(_, page)| waits(page)).map(|(id, _)| *id).collect();
        for id in waiting {
            self.admit_waiters(now, id);
            self.reschedule(now, id);
        }
    }

    /// Asks for loans for requests that have waited too long for the store.
    fn borrow_for_delayed(&mut self, now: Timestamp) {
        let delayed = |waiter: &Waiter| {
            !waiter.loan_pending && now >= waiter.arrived + self.policy.borrow_after
        };
        let waiting = self.pages.iter().filter(|(_, page)| {
            page.grants.values().any(|grant| grant.waiters.iter().any(delayed))
        });
        let ids: Vec<PageId> = waiting.map(|(id, _)| *id).collect();
        for id in ids {
            self.borrow_for_all(now, id);
        }
    }

    fn handle_timer(&mut self, now: Timestamp, id: PageId) {
        self.expire_waiters(now, id);
        let interval = self.settle_interval();
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        match page.operation {
            Operation::Reading(since) | Operation::Writing(since) => {
                if now >= since + self.policy.response_timeout {
                    self.read_failed(now, id);
                }
            }
            Operation::Idle => {
                let due = next_read(page, &self.policy, interval, self.draining);
                if due.is_some_and(|due| due <= now) {
                    let cached = page.cached.clone().filter(|_| !page.totals_stale);
                    if let Some(content) = cached.filter(|_| self.policy.use_cache) {
                        page.processed_at = Some(now);
                        return self.process_page(now, id, content);
                    }
                    page.operation = Operation::Reading(now);
                    page.read_at = Some(now);
                    self.pending_actions.push(HolderAction::Read(id));
                }
            }
        }
    }

    fn expire_waiters(&mut self, now: Timestamp, id: PageId) {
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        let mut expired = Vec::new();
        for grant in page.grants.values_mut() {
            if grant.waiters.iter().any(|waiter| waiter.until <= now) {
                let waiters = std::mem::take(&mut grant.waiters);
                let (late, waiting): (VecDeque<Waiter>, _) =
                    waiters.into_iter().partition(|waiter| waiter.until <= now);
                grant.waiters = waiting;
                expired.extend(late);
            }
        }
        for waiter in expired {
            let detail = format!("no grant of {} tokens was available in time", waiter.amount);
            self.refuse(now, waiter.request, Code::BudgetUnreachable, detail);
        }
    }
}
