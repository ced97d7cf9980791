//! The [`Holder`] type and its event handlers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use berylwheel_types::BudgetId;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use berylwheel_types::VisitCounter;
use berylwheel_types::stable_hash;

use super::action::HolderAction;
use super::action::ReserveRequest;
use super::action::WriteResult;
use super::earlier::EarlierRuns;
use super::grant::Grant;
use super::grant::Waiter;
use super::home_cache::HomeCache;
use super::homes::Homes;
use super::loan::Borrower;
use super::loan::Loan;
use super::loan::LoanRequest;
use super::pages::Operation;
use super::pages::PageState;
use super::retry_delay::RefusalPeriod;
use crate::HolderPolicy;
use crate::LedgerPage;
use crate::PageId;
use crate::UsageTag;
use crate::page_of;

/// Largest number of tokens that one request may reserve. It is above any real request, and the sum
/// of as many as can wait at a router is far below the largest number.
const MAX_RESERVATION: Tokens = Tokens(1_000_000_000_000);
/// Maximum number of times that the backoff after write conflicts doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Returns a random backoff after a write conflict, derived from `random`.
///
/// When a whole fleet restarts at once, all routers write the same few pages: one write succeeds,
/// and all others conflict and have to read the page again. Jitter spreads their retries.
fn conflict_backoff(policy: &HolderPolicy, conflicts: u32, random: u64) -> Millis {
    let max_delay = policy.urgent_interval.0 << conflicts.min(MAX_BACKOFF_DOUBLINGS);
    Millis(random % (max_delay + 1))
}

/// The grants of one router incarnation, as a state machine without I/O.
///
/// The methods take events. [`Holder::poll`] returns the resulting actions.
///
/// ```
/// use berylwheel_budget::{Holder, HolderAction, HolderPolicy, ReserveRequest};
/// use berylwheel_types::{Timestamp, Tokens};
/// let now = Timestamp::from_millis(0);
/// let mut holder = Holder::new("r1@1".parse().unwrap(), HolderPolicy::default());
/// holder.reserve(now, ReserveRequest {
///     request: "q1".parse().unwrap(),
///     budget: "w1/main".parse().unwrap(),
///     key: None,
///     amount: Tokens(100),
///     deadline: Timestamp::from_millis(60_000),
/// });
/// assert!(matches!(holder.poll(now)[..], [HolderAction::Read(_)]));
/// ```
#[derive(Debug)]
pub struct Holder {
    pub(super) own_id: Incarnation,
    pub(super) policy: HolderPolicy,
    pub(super) router_count: usize,
    pub(super) pages: BTreeMap<PageId, PageState>,
    pub(super) requests: FastMap<RequestId, (PageId, BudgetId)>,
    /// The first serial number of a new grant. It is above those of removed grants, so that a
    /// serial number is never reused.
    pub(super) first_serial: u64,
    /// The sum of `PageState::size` over all pages.
    pub(super) page_bytes: u64,
    pub(super) draining: bool,
    /// Whether the router is about to stop, so that other routers become the homes of its budgets.
    pub(super) departing: bool,
    /// When the process started.
    pub(super) started: Timestamp,
    /// The router's peer address, `None` until it is known.
    pub(super) address: Option<SocketAddr>,
    /// Whether the router's clock agrees with those of its peers.
    pub(super) clock_agrees: bool,
    /// Tokens that earlier runs of this router may still hold.
    pub(super) earlier: EarlierRuns,
    pub(super) pending_actions: Vec<HolderAction>,
    pub(super) timers: BTreeSet<(Timestamp, PageId)>,
    /// Other holders that can be asked for loans.
    pub(super) lenders: Vec<Incarnation>,
    /// Tracks when this holder has to check the budgets that it is the home of.
    pub(super) homes: Homes,
    pub(super) loan_requests: FastMap<u64, LoanRequest>,
    pub(super) last_loan: u64,
    /// Requests whose tokens are reserved at another holder.
    pub(super) borrowed: FastMap<RequestId, Loan>,
    /// Lenders that did not answer in time, and until when they are skipped.
    pub(super) unresponsive: FastMap<Incarnation, Timestamp>,
    /// Loan requests of other holders that have no response yet.
    pub(super) undecided_loans: FastMap<RequestId, Borrower>,
    /// Loans granted to other holders, by the time at which they expire.
    pub(super) granted_loans: BTreeSet<(Timestamp, RequestId)>,
    /// The current period in which the store does not answer.
    pub(super) outage: RefusalPeriod,
    /// The budget totals in the configuration, and the version of that configuration.
    pub(super) totals: (Version, FastMap<BudgetId, Tokens>),
    pub(super) home_cache: RefCell<HomeCache>,
    pub(super) visits: VisitCounter,
    /// The era of the store, `None` until it is known.
    pub(super) era: Option<StoreEra>,
    /// When the store was restored last, if this holder was there.
    pub(super) era_began: Option<Timestamp>,
}

impl Holder {
    /// Creates a holder without grants.
    pub fn new(own_id: Incarnation, policy: HolderPolicy) -> Self {
        Self {
            own_id,
            policy,
            router_count: 1,
            pages: BTreeMap::new(),
            requests: FastMap::default(),
            first_serial: 0,
            page_bytes: 0,
            draining: false,
            departing: false,
            started: Timestamp::default(),
            address: None,
            clock_agrees: false,
            earlier: EarlierRuns::default(),
            pending_actions: Vec::new(),
            timers: BTreeSet::new(),
            lenders: Vec::new(),
            homes: Homes::default(),
            loan_requests: FastMap::default(),
            last_loan: 0,
            borrowed: FastMap::default(),
            unresponsive: FastMap::default(),
            undecided_loans: FastMap::default(),
            granted_loans: BTreeSet::new(),
            outage: RefusalPeriod::default(),
            totals: (Version::default(), FastMap::default()),
            home_cache: RefCell::default(),
            visits: VisitCounter::default(),
            era: None,
            era_began: None,
        }
    }

    /// Returns the number of other holders examined since the start.
    ///
    /// ```
    /// use berylwheel_budget::{Holder, HolderPolicy};
    /// let holder = Holder::new("r1@1".parse().unwrap(), HolderPolicy::default());
    /// assert_eq!(holder.visits(), 0);
    /// ```
    pub fn visits(&self) -> u64 {
        self.visits.total()
    }

    /// Sets the number of routers that share the budgets, this one included.
    pub fn set_routers(&mut self, count: usize) {
        self.router_count = count.max(1);
    }

    /// Sets the budget totals of a configuration version. Pages that lack them are updated.
    pub fn set_totals(
        &mut self,
        now: Timestamp,
        version: Version,
        totals: FastMap<BudgetId, Tokens>,
    ) {
        for (budget, total) in &totals {
            if self.totals.1.get(budget) == Some(total) {
                continue;
            }
            // Every holder that reads a page also updates its totals, so only the home of a budget
            // has to read the page right away.
            if self.policy.loans_enabled {
                self.homes.new_totals.insert(budget.clone());
                continue;
            }
            let id = page_of(budget, self.policy.pages);
            let page = self.pages.entry(id).or_insert_with(|| PageState::new(now));
            page.totals_stale = true;
        }
        self.totals = (version, totals);
        let ids: Vec<_> = self.pages.keys().copied().collect();
        for id in ids {
            self.reschedule(now, id);
        }
    }

    /// Requests a reservation. [`Holder::poll`] returns the response, immediately if the grant
    /// covers the amount.
    pub fn reserve(&mut self, now: Timestamp, reserve: ReserveRequest) {
        if self.draining {
            let refusal = Refusal::not_run(Code::Draining, "the router is draining its grants");
            self.pending_actions.push(HolderAction::Refused(reserve.request, refusal));
            return;
        }
        if reserve.amount > MAX_RESERVATION {
            let detail = format!("no budget covers a request of {} tokens", reserve.amount);
            let refusal = Refusal::not_run(Code::BudgetSpent, detail);
            self.pending_actions.push(HolderAction::Refused(reserve.request, refusal));
            return;
        }
        if self.requests.contains_key(&reserve.request)
            || self.borrowed.contains_key(&reserve.request)
        {
            let refusal = Refusal::not_run(Code::Internal, "the request id is already in use");
            self.pending_actions.push(HolderAction::Refused(reserve.request, refusal));
            return;
        }
        let budget = reserve.budget.clone();
        let id = page_of(&budget, self.policy.pages);
        self.requests.insert(reserve.request.clone(), (id, reserve.budget.clone()));
        let page = self.pages.entry(id).or_insert_with(|| PageState::new(now));
        let grant = page
            .grants
            .entry(reserve.budget)
            .or_insert_with(|| Grant::new(now, self.first_serial, &self.policy));
        grant.record_amount(now, reserve.amount);
        if reserve.amount <= grant.available_now(now, &self.policy) {
            grant.admit(reserve.request.clone(), reserve.amount, reserve.key, page.version, now);
            self.pending_actions.push(HolderAction::Reserved(reserve.request));
            return;
        }
        // If the grant covers the request with locked tokens, the request waits for their
        // unlocking.
        let ahead = grant.waiters.iter().map(|waiter| waiter.amount).sum();
        let unlocked = grant.unlocked_at(reserve.amount, ahead, &self.policy).unwrap_or(now);
        let until = unlocked.max(now) + self.policy.wait_timeout;
        grant.waiters.push_back(Waiter {
            request: reserve.request,
            amount: reserve.amount,
            key: reserve.key,
            arrived: now,
            until: reserve.deadline.min(until),
            deadline: reserve.deadline,
            asked_lenders: Vec::new(),
            loan_pending: false,
        });
        self.borrow_for(now, id, &budget);
        self.reschedule(now, id);
    }

    /// Ends a request that used `used` tokens, and frees the rest of its reservation.
    ///
    /// Usage above the reservation is not billed.
    pub fn settle(&mut self, now: Timestamp, request: &RequestId, used: Tokens) {
        if self.repay_loan(request, used) {
            return;
        }
        let Some((id, budget)) = self.requests.get(request).cloned() else {
            return;
        };
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        let Some(grant) = page.grants.get_mut(&budget) else {
            return;
        };
        if !grant.reservations.contains_key(request) {
            return;
        }
        self.requests.remove(request);
        grant.finish(now, request, used);
        page.mark_dirty(now);
        self.admit_waiters(now, id);
        self.reschedule(now, id);
    }

    /// Ends a request that used no tokens, or cancels one that is still waiting.
    pub fn release(&mut self, now: Timestamp, request: &RequestId) {
        if self.repay_loan(request, Tokens::ZERO) {
            return;
        }
        let Some((id, budget)) = self.requests.get(request).cloned() else {
            return;
        };
        let grant = self.pages.get_mut(&id).and_then(|page| page.grants.get_mut(&budget));
        if let Some(grant) = grant
            && let Some(at) = grant.waiters.iter().position(|waiter| waiter.request == *request)
        {
            grant.waiters.remove(at);
            self.requests.remove(request);
            self.reschedule(now, id);
            return;
        }
        self.settle(now, request, Tokens::ZERO);
    }

    /// Returns the tag under which an engine records the usage of a reserved request.
    pub fn usage_tag(&self, request: &RequestId) -> Option<UsageTag> {
        let (id, budget) = self.requests.get(request)?;
        let reservation = self.pages.get(id)?.grants.get(budget)?.reservations.get(request)?;
        Some(UsageTag::new(budget, reservation.admission.serial, reservation.key))
    }

    /// Handles a recall: another holder needs the unreserved tokens of `budget`.
    pub fn recall(&mut self, now: Timestamp, budget: &BudgetId) {
        let id = page_of(budget, self.policy.pages);
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        if let Some(grant) = page.grants.get_mut(budget) {
            grant.recalled = true;
            self.reschedule(now, id);
        }
    }

    /// Stops being the home of any budget, ahead of a shutdown. Requests are still served until
    /// [`Holder::drain`] is called.
    pub fn depart(&mut self, now: Timestamp) {
        self.departing = true;
        self.home_cache.get_mut().clear();
        let ids: Vec<_> = self.pages.keys().copied().collect();
        for id in ids {
            if let Some(page) = self.pages.get_mut(&id) {
                page.mark_dirty(now);
            }
            self.reschedule(now, id);
        }
    }

    /// Starts to return all tokens. Requests in progress keep their reservations until they end.
    pub fn drain(&mut self, now: Timestamp) {
        self.draining = true;
        let ids: Vec<_> = self.pages.keys().copied().collect();
        for id in ids {
            self.refuse_all(now, id, Code::Draining, "the router is draining its grants");
            if let Some(page) = self.pages.get_mut(&id) {
                page.mark_dirty(now);
            }
            self.reschedule(now, id);
        }
    }

    /// Returns whether no tokens are held, no usage is unsettled and no write is pending.
    pub fn is_empty(&self) -> bool {
        self.pages
            .values()
            .all(|page| page.pending.is_none() && page.grants.values().all(Grant::is_empty))
    }

    /// Handles the result of a read. An absent page has revision 0 and empty content.
    ///
    /// A page that fails its conservation check is treated as unreadable, since a write based on it
    /// would hide the corruption.
    pub fn page_read(&mut self, now: Timestamp, id: PageId, revision: u64, content: LedgerPage) {
        self.outage.end();
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        if revision < page.revision {
            // An outdated response to an earlier read.
            return;
        }
        if content.check().is_err() {
            self.read_failed(now, id);
            return;
        }
        if let Some(pending) = &page.pending {
            if content.sequence_of(&self.own_id) == pending.sequence {
                page.confirm(now);
            } else if revision == pending.expected {
                if matches!(page.operation, Operation::Writing(_)) {
                    // A duplicate response to the read on which the write in flight is based.
                    return;
                }
                self.resend(now, id);
                return;
            } else {
                page.discard(now);
            }
        }
        page.operation = Operation::Idle;
        page.failures = 0;
        page.revision = revision;
        page.cached = self.policy.use_cache.then(|| content.clone());
        page.version = content.version();
        let size = content.estimated_size();
        self.page_bytes = self.page_bytes + size - page.size;
        page.size = size;
        self.process_page(now, id, content);
        self.reschedule(now, id);
    }

    /// Handles the result of a write.
    pub fn page_written(&mut self, now: Timestamp, id: PageId, result: WriteResult) {
        match result {
            WriteResult::Written(_) | WriteResult::Conflict => self.outage.end(),
            WriteResult::Unknown => self.outage.start(now),
        }
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        let Some(pending) = &page.pending else {
            return;
        };
        match result {
            // A revision at or below the expected one answers an earlier write.
            WriteResult::Written(revision) if revision > pending.expected => {
                page.revision = revision;
                page.confirm(now);
                page.operation = Operation::Idle;
                page.failures = 0;
                page.conflicts = 0;
                self.admit_waiters(now, id);
            }
            WriteResult::Written(_) => {}
            // When the response to a write is lost, the resent write can report `Conflict` although
            // the first one took effect. A read resolves both cases.
            WriteResult::Conflict | WriteResult::Unknown => {
                page.operation = Operation::Idle;
                page.cached = None;
                if result == WriteResult::Conflict && self.policy.loans_enabled {
                    let random =
                        stable_hash(&[self.own_id.router.as_str(), &pending.sequence.to_string()]);
                    page.retry_at = now + conflict_backoff(&self.policy, page.conflicts, random);
                    page.conflicts += 1;
                }
            }
        }
        self.reschedule(now, id);
    }

    /// Handles a read that failed or timed out.
    pub fn read_failed(&mut self, now: Timestamp, id: PageId) {
        self.outage.start(now);
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        page.operation = Operation::Idle;
        page.cached = None;
        let delay = self.policy.retry_min.0 << page.failures.min(8);
        page.failures += 1;
        page.retry_at = now + Millis(delay.min(self.policy.retry_max.0));
        self.borrow_for_all(now, id);
        self.reschedule(now, id);
    }
}
