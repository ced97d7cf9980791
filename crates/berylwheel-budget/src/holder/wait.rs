//! Requests that wait for a grant, and the recalls that they trigger.

use std::collections::VecDeque;

use berylwheel_types::Code;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::action::HolderAction;
use super::core::Holder;
use super::grant::Grant;
use super::grant::RecallRound;
use super::grant::Waiter;
use super::restore::Withholding;
use crate::Account;
use crate::HolderPolicy;
use crate::LedgerPage;
use crate::PageId;

/// Maximum delay between unsuccessful recall rounds, as a multiple of the first delay.
const MAX_DELAY_FACTOR: u64 = 4;

/// Decisions on the requests that a page does not cover.
#[derive(Debug, Default)]
pub(crate) struct WaitDecisions {
    pub(crate) refused: Vec<Waiter>,
    /// Requests that the budget would cover if other holders returned their tokens.
    pub(crate) held_elsewhere: Vec<Waiter>,
    pub(crate) recall_targets: Vec<Incarnation>,
    /// Whether requests that the page does not cover keep waiting.
    pub(crate) uncovered: bool,
    /// Whether to ask other holders for loans.
    pub(crate) borrow: bool,
}

/// The state on which decisions about waiting requests are based.
pub(crate) struct WaitContext<'a> {
    pub(crate) now: Timestamp,
    pub(crate) policy: &'a HolderPolicy,
    pub(crate) own_id: &'a Incarnation,
    /// The latest time at which the page was known to match the store.
    pub(crate) read_at: Option<Timestamp>,
    /// All holders, with the sequence numbers of their last writes.
    pub(crate) writers: &'a [(Incarnation, u64)],
    /// The holders that can be asked for loans.
    pub(crate) lenders: &'a [Incarnation],
    /// What must not be taken from the balance.
    pub(crate) withholding: &'a Withholding,
}

/// Decides on the waiting requests that neither the grant nor the balance covers.
///
/// A request is refused only if the tokens of the other live holders would not cover it, or after a
/// recall round that started after its arrival has been answered or has timed out.
pub(crate) fn decide_waiters(
    context: &WaitContext<'_>,
    account: &Account,
    grant: &mut Grant,
) -> WaitDecisions {
    let WaitContext { now, policy, own_id, read_at, writers, lenders, withholding } = *context;
    let held = account.held_by(own_id).saturating_sub(grant.reserved);
    let balance = withholding.available(account);
    let mut available = held + if account.closed { Tokens::ZERO } else { balance };
    let mut decisions = WaitDecisions::default();
    let holds = |holder: &Incarnation| holder != own_id && account.held_by(holder) > Tokens::ZERO;
    let holders = writers.iter().filter(|(holder, _)| holds(holder));
    let total: Tokens = available + account.balance - balance
        + holders.clone().map(|(holder, _)| account.held_by(holder)).sum();
    // With loans enabled, the holder knows which of the others are live and can return tokens.
    let is_live = |holder: &Incarnation| !policy.loans_enabled || lenders.contains(holder);
    let others: Vec<&(Incarnation, u64)> = holders.filter(|(holder, _)| is_live(holder)).collect();
    let mut reachable: Tokens =
        available + others.iter().map(|(holder, _)| account.held_by(holder)).sum();
    if account.closed {
        reachable = available;
    }
    let recall_done = grant.recall.as_ref().is_some_and(|round| {
        let answered = |(holder, sequence): &(Incarnation, u64)| {
            // One write may have been in flight when the recall arrived, so two writes are
            // required.
            let wrote = writers.iter().any(|(other, now)| other == holder && *now > sequence + 1);
            wrote || account.held_by(holder) == Tokens::ZERO
        };
        now >= round.until || round.recipients.iter().all(answered)
    });
    let recall_started = grant.recall.as_ref().map(|round| round.started);
    let mut uncovered = false;
    let mut waiting = VecDeque::new();
    for waiter in std::mem::take(&mut grant.waiters) {
        if waiter.amount <= available {
            available -= waiter.amount;
            waiting.push_back(waiter);
            continue;
        }
        // A read that started before the request arrived may miss a top-up made in between.
        let is_fresh = read_at.is_some_and(|at| waiter.arrived <= at + policy.max_staleness);
        let exceeds_reachable = waiter.amount > reachable && is_fresh && !withholding.is_settling;
        let held_by_others = exceeds_reachable && !account.closed && waiter.amount <= total;
        let recall_failed = recall_done && recall_started.is_some_and(|at| waiter.arrived <= at);
        if exceeds_reachable && !held_by_others {
            decisions.refused.push(waiter);
        } else if held_by_others || recall_failed {
            decisions.held_elsewhere.push(waiter);
        } else {
            uncovered = true;
            waiting.push_back(waiter);
        }
    }
    grant.waiters = waiting;
    decisions.uncovered = uncovered;
    if recall_done {
        let max_delay = policy.recall_delay.0 * MAX_DELAY_FACTOR;
        let delay = (grant.recall_delay.0 * 2).clamp(policy.recall_delay.0, max_delay);
        grant.recall_delay = Millis(delay);
        grant.next_recall = now + grant.recall_delay;
        grant.recall = None;
    }
    if !uncovered {
        grant.recall = None;
        if decisions.refused.is_empty() && decisions.held_elsewhere.is_empty() {
            grant.recall_delay = Millis(0);
            grant.next_recall = Timestamp::default();
        }
    } else if policy.loans_enabled
        && grant.waiters.iter().any(|waiter| waiter.asked_lenders.is_empty())
    {
        // A loan is faster than a recall, which needs page writes.
        decisions.borrow = true;
    } else if grant.recall.is_none() && now >= grant.next_recall && !others.is_empty() {
        decisions.recall_targets = others.iter().map(|(holder, _)| holder.clone()).collect();
        let recipients = others.into_iter().cloned().collect();
        grant.recall =
            Some(RecallRound { started: now, until: now + policy.recall_timeout, recipients });
    }
    decisions
}

impl Holder {
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        request: RequestId,
        code: Code,
        detail: impl Into<String>,
    ) {
        self.requests.remove(&request);
        let refusal = Refusal::not_run(code, detail);
        let delay = self.outage.retry_delay(now, self.policy.wait_timeout);
        let refusal = match code {
            Code::BudgetUnreachable => refusal.retry_after(delay),
            _ => refusal,
        };
        self.pending_actions.push(HolderAction::Refused(request, refusal));
    }

    /// Refuses a request that the budget would cover if other holders returned their tokens.
    pub(super) fn refuse_held_elsewhere(&mut self, now: Timestamp, waiter: Waiter) {
        let min_delay = self.policy.wait_timeout;
        let mut delay = min_delay;
        if let Some((id, budget)) = self.requests.remove(&waiter.request)
            && let Some(grant) =
                self.pages.get_mut(&id).and_then(|page| page.grants.get_mut(&budget))
        {
            grant.held_elsewhere.start(now);
            delay = grant.held_elsewhere.retry_delay(now, min_delay);
        }
        let detail = format!("other routers hold the {} tokens requested", waiter.amount);
        let refusal = Refusal::not_run(Code::BudgetSpent, detail).retry_after(delay);
        self.pending_actions.push(HolderAction::Refused(waiter.request, refusal));
    }

    /// Refuses every waiting request of a page.
    pub(super) fn refuse_all(&mut self, now: Timestamp, id: PageId, code: Code, detail: &str) {
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        let waiters = page.grants.values_mut().flat_map(|grant| std::mem::take(&mut grant.waiters));
        for waiter in waiters.collect::<Vec<_>>() {
            self.refuse(now, waiter.request, code, detail);
        }
    }

    /// Refuses requests for budgets that are not on the page, and removes their grants.
    pub(super) fn refuse_unknown(&mut self, now: Timestamp, id: PageId, content: &LedgerPage) {
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        let mut refused = Vec::new();
        let first_serial = &mut self.first_serial;
        page.grants.retain(|budget, grant| {
            if content.account(budget).is_some() {
                return true;
            }
            *first_serial = grant.next_serial.max(*first_serial);
            for waiter in std::mem::take(&mut grant.waiters) {
                refused.push((waiter.request, format!("budget {budget} does not exist")));
            }
            !grant.is_empty()
        });
        for (request, detail) in refused {
            self.refuse(now, request, Code::UnknownBudget, detail);
        }
    }

    /// Admits the waiting requests that the grants cover, in order of arrival.
    pub(super) fn admit_waiters(&mut self, now: Timestamp, id: PageId) {
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        for grant in page.grants.values_mut().filter(|grant| !grant.waiters.is_empty()) {
            let mut waiting = VecDeque::new();
            for waiter in std::mem::take(&mut grant.waiters) {
                // After a pause of the process, a request may be long past its wait limit and its
                // bill key already removed from the page. It must not be admitted then.
                if waiter.amount > grant.available_now(now, &self.policy) || waiter.until <= now {
                    waiting.push_back(waiter);
                    continue;
                }
                let Waiter { request, amount, key, .. } = waiter;
                grant.admit(request.clone(), amount, key, page.version, now);
                grant.held_elsewhere.end();
                self.pending_actions.push(HolderAction::Reserved(request));
            }
            grant.waiters = waiting;
        }
    }
}
