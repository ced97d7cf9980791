//! Loans between holders.
//!
//! Each budget has a home among the live routers, which holds tokens of the budget. The other
//! routers reserve tokens at the home. The fleet therefore keeps one margin per budget instead of
//! one per budget and router, and loses fewer tokens when routers are killed.
//!
//! A loan is a reservation in the lender's grant: no tokens move, and the ledger does not change.
//! The lender bills the usage that the borrower reports, or the whole amount if no report arrives
//! in time. If the home does not answer or has no tokens, the borrower takes its own grant from the
//! store.

use berylwheel_types::BudgetId;
use berylwheel_types::Code;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::LoanResponse;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::action::HolderAction;
use super::action::ReserveRequest;
use super::core::Holder;
use super::grant::Waiter;
use super::home_cache::home_score;
use crate::PageId;

/// Time limit for a lender's response. A message and its response take a few milliseconds.
const RESPONSE_TIMEOUT: Millis = Millis(120);
/// Time after a request's deadline in which the lender accepts its usage report.
const REPORT_TIMEOUT: Millis = Millis(3_000);
/// Time for which a lender that did not answer is skipped.
const LENDER_RETRY_DELAY: Millis = Millis(1_000);
/// Time after a timeout for which a late response is still recognised, so that its loan can be
/// returned.
const LATE_RESPONSE_TIMEOUT: Millis = Millis(20_000);
/// Maximum number of lenders to ask for one request. After that, the request waits for the store.
const MAX_LENDERS: usize = 4;

/// A loan request without a response.
#[derive(Debug)]
pub(crate) struct LoanRequest {
    page: PageId,
    budget: BudgetId,
    request: RequestId,
    lender: Incarnation,
    until: Timestamp,
    /// Whether the response is still awaited. A loan that is granted later is returned unused.
    awaited: bool,
}

/// The sender of a loan request.
#[derive(Debug)]
pub(crate) struct Borrower {
    incarnation: Incarnation,
    id: u64,
    deadline: Timestamp,
}

/// The reservation of a local request at another holder.
#[derive(Debug, Clone)]
pub(crate) struct Loan {
    lender: Incarnation,
    id: u64,
}

impl Holder {
    /// Returns the home of `budget`, chosen by rendezvous hashing over the live holders.
    ///
    /// Holders with different views of the live holders may choose different homes. Each of these
    /// then holds tokens.
    pub(super) fn home_of(&self, budget: &BudgetId) -> Incarnation {
        if let Some(home) = self.home_cache.borrow().get(budget) {
            return home.clone();
        }
        self.visits.add(self.lenders.len());
        let own = std::iter::once(&self.own_id).filter(|_| !self.departing);
        let all = self.lenders.iter().chain(own);
        let home = all.max_by_key(|holder| home_score(budget, holder)).unwrap_or(&self.own_id);
        self.home_cache.borrow_mut().insert(budget, home);
        home.clone()
    }

    /// Handles a loan request: reserves `amount` tokens for a request of another holder.
    ///
    /// [`HolderAction::RespondToLoan`] carries the response. [`Holder::loan_repaid`] ends the
    /// reservation. Without a report, the whole amount is billed some time after the request's
    /// deadline, `time` from now.
    pub fn loan_requested(
        &mut self,
        now: Timestamp,
        borrower: &Incarnation,
        id: u64,
        budget: &BudgetId,
        amount: Tokens,
        time: Millis,
    ) {
        let Some(request) = loan_request_id(borrower, id) else { return };
        let deadline = now + time;
        let borrower = borrower.clone();
        self.undecided_loans
            .insert(request.clone(), Borrower { incarnation: borrower, id, deadline });
        let (loan, budget) = (request.clone(), budget.clone());
        self.reserve(now, ReserveRequest { request, budget, key: None, amount, deadline });
        if let Some(wait) = self.unlock_delay(now, &loan).filter(|wait| *wait > Millis(0)) {
            let borrower = self.undecided_loans[&loan].incarnation.clone();
            let response = LoanResponse::Wait(wait);
            self.pending_actions.push(HolderAction::RespondToLoan { borrower, id, response });
        }
    }

    /// Returns how long a request waits at most until the free tokens for it are unlocked.
    fn unlock_delay(&self, now: Timestamp, request: &RequestId) -> Option<Millis> {
        let (page, budget) = self.requests.get(request)?;
        let grant = self.pages.get(page)?.grants.get(budget)?;
        let waiter = grant.waiters.iter().find(|waiter| waiter.request == *request)?;
        Some(grant.waiter_unlocked_at(waiter, &self.policy)?.since(now))
    }

    /// Replaces the decisions on loan requests by responses to their borrowers.
    pub(super) fn respond_to_loans(&mut self, actions: Vec<HolderAction>) -> Vec<HolderAction> {
        if self.undecided_loans.is_empty() {
            return actions;
        }
        let respond = |action| match action {
            HolderAction::Reserved(request) => match self.undecided_loans.remove(&request) {
                None => HolderAction::Reserved(request),
                Some(Borrower { incarnation, id, deadline }) => {
                    self.granted_loans.insert((deadline + REPORT_TIMEOUT, request));
                    HolderAction::RespondToLoan {
                        borrower: incarnation,
                        id,
                        response: LoanResponse::Granted,
                    }
                }
            },
            HolderAction::Refused(request, refusal) => {
                match self.undecided_loans.remove(&request) {
                    None => HolderAction::Refused(request, refusal),
                    Some(Borrower { incarnation, id, .. }) => HolderAction::RespondToLoan {
                        borrower: incarnation,
                        id,
                        response: response_for_refusal(&refusal),
                    },
                }
            }
            action => action,
        };
        actions.into_iter().map(respond).collect()
    }

    /// Handles a borrower's report of the usage of its request.
    pub fn loan_repaid(&mut self, now: Timestamp, borrower: &Incarnation, id: u64, used: Tokens) {
        let Some(request) = loan_request_id(borrower, id) else { return };
        self.granted_loans.retain(|(_, loan)| *loan != request);
        self.settle(now, &request, used);
    }

    /// Handles a lender's response to a loan request.
    pub fn loan_response_received(&mut self, now: Timestamp, id: u64, response: LoanResponse) {
        if let LoanResponse::Wait(wait) = response {
            return self.extend_loan_wait(now, id, wait);
        }
        let granted = response == LoanResponse::Granted;
        let Some(loan_request) = self.loan_requests.remove(&id) else { return };
        let LoanRequest { page, budget, request, lender, awaited, .. } = loan_request;
        if !awaited {
            return self.return_loan(lender, id, granted);
        }
        let grant = self.pages.get_mut(&page).and_then(|page| page.grants.get_mut(&budget));
        let Some(grant) = grant else { return self.return_loan(lender, id, granted) };
        let waits = grant.waiters.iter().position(|waiter| waiter.request == request);
        let Some(at) = waits else { return self.return_loan(lender, id, granted) };
        if granted {
            grant.waiters.remove(at);
            self.requests.remove(&request);
            grant.held_elsewhere.end();
            self.borrowed.insert(request.clone(), Loan { lender, id });
            self.pending_actions.push(HolderAction::Reserved(request));
        } else if let LoanResponse::Spent | LoanResponse::Held = response {
            // The lender has already tried the store and the other holders.
            if let Some(waiter) = grant.waiters.remove(at) {
                self.refuse_for_lender(now, waiter, response);
            }
        } else {
            self.ask_next_lender(now, page, &budget, &request);
        }
        self.reschedule(now, page);
    }

    fn refuse_for_lender(&mut self, now: Timestamp, waiter: Waiter, response: LoanResponse) {
        if response == LoanResponse::Held {
            return self.refuse_held_elsewhere(now, waiter);
        }
        let detail = format!("the budget does not cover {} tokens", waiter.amount);
        self.refuse(now, waiter.request, Code::BudgetSpent, detail);
    }

    /// Extends the wait for a lender whose tokens are still locked.
    fn extend_loan_wait(&mut self, now: Timestamp, id: u64, wait: Millis) {
        let until = now + wait + RESPONSE_TIMEOUT;
        let Some(loan_request) =
            self.loan_requests.get_mut(&id).filter(|loan_request| loan_request.awaited)
        else {
            return;
        };
        loan_request.until = until;
        let (page, budget, request) =
            (loan_request.page, loan_request.budget.clone(), loan_request.request.clone());
        let grant = self.pages.get_mut(&page).and_then(|page| page.grants.get_mut(&budget));
        let waiters = grant.into_iter().flat_map(|grant| &mut grant.waiters);
        for waiter in waiters.filter(|waiter| waiter.request == request) {
            waiter.until = waiter.until.max(until).min(waiter.deadline);
        }
        self.reschedule(now, page);
    }

    /// Asks the next lender after one has declined or timed out.
    fn ask_next_lender(
        &mut self,
        now: Timestamp,
        id: PageId,
        budget: &BudgetId,
        request: &RequestId,
    ) {
        let grant = self.pages.get_mut(&id).and_then(|page| page.grants.get_mut(budget));
        let waiters = grant.into_iter().flat_map(|grant| &mut grant.waiters);
        for waiter in waiters.filter(|waiter| waiter.request == *request) {
            waiter.loan_pending = false;
        }
        self.borrow_for(now, id, budget);
        self.reschedule(now, id);
    }

    /// Returns a granted loan that is no longer needed.
    fn return_loan(&mut self, lender: Incarnation, id: u64, granted: bool) {
        if granted {
            self.pending_actions.push(HolderAction::Repay { lender, id, used: Tokens::ZERO });
        }
    }

    /// Reports the usage of a request to its lender. Returns whether the request had a loan.
    pub(super) fn repay_loan(&mut self, request: &RequestId, used: Tokens) -> bool {
        let Some(Loan { lender, id }) = self.borrowed.remove(request) else { return false };
        self.pending_actions.push(HolderAction::Repay { lender, id, used });
        true
    }

    /// Asks for a loan for each request that waits for `budget` and has no loan request in flight.
    ///
    /// While the store does not answer, requests without a lender left to ask are refused at once.
    pub(super) fn borrow_for(&mut self, now: Timestamp, id: PageId, budget: &BudgetId) {
        if !self.policy.loans_enabled || self.draining {
            return;
        }
        let home = Some(self.home_of(budget)).filter(|home| *home != self.own_id);
        let Some(page) = self.pages.get_mut(&id) else { return };
        let store_failing = page.failures > 0;
        let Some(grant) = page.grants.get_mut(budget) else { return };
        let mut refused = Vec::new();
        let others = &grant.other_holders;
        // While the store does not answer, only requests that wait for locked tokens may wait on.
        let locked: FastSet<RequestId> = grant
            .waiters
            .iter()
            .filter(|_| store_failing)
            .filter(|waiter| grant.waiter_unlocked_at(waiter, &self.policy).is_some())
            .map(|waiter| waiter.request.clone())
            .collect();
        for waiter in grant.waiters.iter_mut().filter(|waiter| !waiter.loan_pending) {
            if self.undecided_loans.contains_key(&waiter.request) {
                // Loans are not chained: a lender lends only from its own grant.
                if store_failing && !locked.contains(&waiter.request) {
                    refused.push(waiter.request.clone());
                }
                continue;
            }
            let holds = |lender: &&Incarnation| others.contains(lender);
            let known = others.iter().filter(|other| self.lenders.binary_search(other).is_ok());
            let unknown = self.lenders.iter().filter(|lender| store_failing && !holds(lender));
            let is_unresponsive = |lender: &&Incarnation| {
                self.unresponsive.get(*lender).is_some_and(|until| now < *until)
            };
            let first = home.iter().filter(|_| waiter.asked_lenders.is_empty());
            let mut candidates = first.chain(known).chain(unknown).filter(|lender| {
                !waiter.asked_lenders.contains(lender) && !is_unresponsive(lender)
            });
            let next =
                candidates.next().filter(|_| waiter.asked_lenders.len() < MAX_LENDERS).cloned();
            let Some(lender) = next else {
                if store_failing && !locked.contains(&waiter.request) {
                    refused.push(waiter.request.clone());
                }
                continue;
            };
            waiter.loan_pending = true;
            waiter.asked_lenders.push(lender.clone());
            self.last_loan += 1;
            let loan_request = LoanRequest {
                page: id,
                budget: budget.clone(),
                request: waiter.request.clone(),
                lender: lender.clone(),
                until: now + RESPONSE_TIMEOUT,
                awaited: true,
            };
            self.loan_requests.insert(self.last_loan, loan_request);
            self.pending_actions.push(HolderAction::Borrow {
                lender,
                id: self.last_loan,
                budget: budget.clone(),
                amount: waiter.amount,
                time: waiter.deadline.since(now),
            });
        }
        grant.waiters.retain(|waiter| !refused.contains(&waiter.request));
        // Without a waiting request nothing else would read the page and notice that the store
        // answers again.
        page.totals_stale |= !refused.is_empty();
        for request in refused {
            self.refuse_unreachable(now, request);
        }
    }

    fn refuse_unreachable(&mut self, now: Timestamp, request: RequestId) {
        self.requests.remove(&request);
        let detail = "the store does not answer, and no other router can lend tokens";
        let refusal = Refusal::not_run(Code::BudgetUnreachable, detail);
        let delay = self.outage.retry_delay(now, self.policy.retry_max);
        let refusal = refusal.retry_after(delay);
        self.pending_actions.push(HolderAction::Refused(request, refusal));
    }

    /// Asks for loans for all waiting requests of a page.
    pub(super) fn borrow_for_all(&mut self, now: Timestamp, id: PageId) {
        let Some(page) = self.pages.get(&id) else { return };
        let waiting = page.grants.iter().filter(|(_, grant)| !grant.waiters.is_empty());
        let budgets: Vec<BudgetId> = waiting.map(|(budget, _)| budget.clone()).collect();
        for budget in budgets {
            self.borrow_for(now, id, &budget);
        }
    }

    /// Times out loan requests without a response, and bills loans without a report in full.
    pub(super) fn expire_loans(&mut self, now: Timestamp) {
        self.loan_requests.retain(|_, loan_request| {
            loan_request.awaited || now < loan_request.until + LATE_RESPONSE_TIMEOUT
        });
        self.unresponsive.retain(|_, until| now < *until);
        let late: Vec<(PageId, BudgetId, RequestId)> = self
            .loan_requests
            .values_mut()
            .filter(|loan_request| loan_request.awaited && loan_request.until <= now)
            .map(|loan_request| {
                loan_request.awaited = false;
                self.unresponsive.insert(loan_request.lender.clone(), now + LENDER_RETRY_DELAY);
                (loan_request.page, loan_request.budget.clone(), loan_request.request.clone())
            })
            .collect();
        for (page, budget, request) in late {
            self.ask_next_lender(now, page, &budget, &request);
        }
        while let Some((until, request)) = self.granted_loans.first().cloned() {
            if until > now {
                return;
            }
            self.granted_loans.pop_first();
            let amount = self.reserved(&request);
            self.settle(now, &request, amount);
        }
    }

    /// Returns when the next loan request or granted loan expires.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        let asked = self
            .loan_requests
            .values()
            .filter(|loan_request| loan_request.awaited)
            .map(|loan_request| loan_request.until)
            .min();
        let lent = self.granted_loans.first().map(|(until, _)| *until);
        asked.into_iter().chain(lent).min()
    }

    fn reserved(&self, request: &RequestId) -> Tokens {
        let found = self.requests.get(request).and_then(|(page, budget)| {
            let grant = self.pages.get(page)?.grants.get(budget)?;
            Some(grant.reservations.get(request)?.amount)
        });
        found.unwrap_or_default()
    }
}

fn response_for_refusal(refusal: &Refusal) -> LoanResponse {
    match (refusal.code, refusal.retry_after) {
        (Code::BudgetSpent, None) => LoanResponse::Spent,
        (Code::BudgetSpent, Some(_)) => LoanResponse::Held,
        _ => LoanResponse::Unavailable,
    }
}

/// Returns the id under which the lender reserves the tokens of a loan.
fn loan_request_id(borrower: &Incarnation, id: u64) -> Option<RequestId> {
    format!("loan:{}:{}:{id}", borrower.router, borrower.number).parse().ok()
}
