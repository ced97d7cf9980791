//! Writes of a page: settlements, grants and returns.

use berylwheel_types::BudgetId;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::action::HolderAction;
use super::core::Holder;
use super::grant::Grant;
use super::grant::UnbilledRequest;
use super::limit::SpendLimit;
use super::pages::Effect;
use super::pages::Operation;
use super::pages::PendingWrite;
use super::restore::Withholding;
use super::wait::WaitContext;
use super::wait::decide_waiters;
use crate::Account;
use crate::Applied;
use crate::HolderPolicy;
use crate::LedgerPage;
use crate::PageId;
use crate::Writer;
use crate::page_of;

/// Time after a recall for which a holder keeps no spare tokens. Otherwise it would immediately
/// take back the tokens that others have recalled.
const SPARE_COOLDOWN: Millis = Millis(5_000);

/// Spend allowed while the store is unreachable, as a multiple of the expected spend. Spend doubles
/// within seconds when a workspace sends more than usual.
const RATE_FACTOR: u64 = 2;

/// Interval between writes of a page in use.
const WRITE_INTERVAL: Millis = Millis(1_000);

/// The period of `Row::hourly`.
const HOUR: Millis = Millis(3_600_000);

/// The desired size of a grant.
struct Target {
    tokens: Tokens,
    /// Whether `tokens` covers only current requests, without a margin.
    without_margin: bool,
}

struct GrantSizer<'a> {
    now: Timestamp,
    policy: &'a HolderPolicy,
    router_count: usize,
    draining: bool,
    own_id: &'a Incarnation,
    /// Whether this holder is the home of the budget, `None` if loans are disabled.
    is_home: Option<bool>,
    withholding: &'a Withholding,
}

impl GrantSizer<'_> {
    fn target(&self, grant: &Grant, account: &Account) -> Target {
        let unreserved = account.held_by(self.own_id).saturating_sub(grant.reserved);
        let balance = self.withholding.available(account);
        let reachable = unreserved + if account.closed { Tokens::ZERO } else { balance };
        let mut need = Tokens::ZERO;
        for waiter in &grant.waiters {
            if need + waiter.amount <= reachable {
                need += waiter.amount;
            }
        }
        let needed = grant.reserved + need;
        let minimum = Target { tokens: needed, without_margin: true };
        let idle = self.is_home != Some(true)
            && grant.is_idle()
            && grant.waiters.is_empty()
            && self.now >= grant.used_at + self.policy.idle_timeout;
        let cooling_down = grant.recalled || self.now < grant.spare_after;
        if self.draining || account.closed || cooling_down || idle || self.is_home == Some(false) {
            return minimum;
        }
        let unspent = (account.balance + account.outstanding()).saturating_sub(account.owed);
        let shared = unspent.0 as f64 * self.policy.share.fraction();
        // Callers with persistent connections reach only a few routers. A router may therefore hold
        // a share in proportion to its spend, if that is more than an equal share.
        let own = grant.rate.spend_in(self.now, HOUR).0 as f64;
        let others = account.rows.iter().filter(|(holder, _)| *holder != self.own_id);
        let total = own + others.map(|(_, row)| row.hourly.0 as f64).sum::<f64>();
        let part = match self.is_home {
            Some(_) => 1.0,
            None => (own / total.max(1.0)).max(1.0 / self.router_count as f64),
        };
        let max_size = (shared * part) as u64;
        let max_reservation = grant.max_reservation().0;
        if max_size < 2 * max_reservation {
            return minimum;
        }
        let spend = grant.rate.spend_in(self.now, self.policy.horizon).0;
        // Request arrivals are random, so the spend varies by the square root of the number of
        // requests, which matters for small budgets. Two standard deviations are added.
        let deviation = 2.0 * (spend as f64 * max_reservation as f64).sqrt();
        let min_size = (max_size as f64 * self.policy.min_grant.fraction()) as u64;
        let wanted =
            (spend + self.policy.margin * max_reservation + deviation as u64).max(min_size);
        Target { tokens: needed.max(Tokens(wanted.min(max_size))), without_margin: false }
    }

    /// Bills all finished requests and moves the grant towards its target size.
    fn apply(&self, version: u64, grant: &mut Grant, account: &mut Account) -> GrantChange {
        let bill_count = grant.unbilled.len();
        let bill = |billed, request: &UnbilledRequest| {
            billed + account.bill(self.own_id, &request.bill, version, self.now)
        };
        let billed = grant.unbilled.iter().fold(Tokens::ZERO, bill);
        let target = self.target(grant, account);
        let held = account.held_by(self.own_id);
        let mut change = GrantChange { bill_count, billed, ..GrantChange::default() };
        let desired = target.tokens;
        let grow = target.without_margin
            || bill_count > 0
            || !grant.waiters.is_empty()
            || held.0 < desired.0 / 2;
        let shrink =
            target.without_margin || held.0 > desired.0 + desired.0 / 4 + grant.max_reservation().0;
        if held < desired && grow {
            let amount = (desired - held).min(self.withholding.available(account));
            change.granted = account.grant(self.own_id, amount);
        } else if held > desired && shrink {
            change.returned = account.return_tokens(self.own_id, held - desired);
        }
        if grant.recalled {
            grant.recalled = false;
            grant.spare_after = self.now + SPARE_COOLDOWN;
        }
        change
    }
}

#[derive(Debug, Default)]
struct GrantChange {
    bill_count: usize,
    billed: Tokens,
    granted: Tokens,
    returned: Tokens,
}

impl GrantChange {
    fn has_effect(&self) -> bool {
        self.bill_count > 0 || self.granted > Tokens::ZERO || self.returned > Tokens::ZERO
    }
}

impl Holder {
    /// Resends the pending write unchanged.
    pub(super) fn resend(&mut self, now: Timestamp, id: PageId) {
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        let Some(pending) = &page.pending else {
            return;
        };
        let (expected, content) = (pending.expected, pending.content.clone());
        page.operation = Operation::Writing(now);
        self.pending_actions.push(HolderAction::Write { page: id, expected, content });
        self.reschedule(now, id);
    }

    /// Applies the budget totals of the configuration to a page, and returns whether it changed.
    fn apply_totals(&self, now: Timestamp, id: PageId, content: &mut LedgerPage) -> bool {
        let (version, totals) = &self.totals;
        let author = self.own_id.to_string();
        let mut own: Vec<_> =
            totals.iter().filter(|(budget, _)| page_of(budget, self.policy.pages) == id).collect();
        own.sort();
        let applied = own.into_iter().map(|(budget, total)| {
            content.set_total(budget, *version, *total, &author, now) == Applied::Now
        });
        applied.fold(false, |any, one| any | one)
    }

    /// Returns, for each budget of a page, whether this holder is its home. The map is empty if
    /// loans are disabled.
    fn home_flags(&self, id: PageId) -> FastMap<BudgetId, bool> {
        let budgets = self.pages.get(&id).into_iter().flat_map(|page| page.grants.keys());
        let budgets = budgets.filter(|_| self.policy.loans_enabled);
        budgets.map(|budget| (budget.clone(), self.home_of(budget) == self.own_id)).collect()
    }

    /// Processes an up-to-date page without a pending write: admits and refuses waiting requests,
    /// and writes the page if anything changes.
    pub(super) fn process_page(&mut self, now: Timestamp, id: PageId, mut content: LedgerPage) {
        let withholding = self.withholding(now, id, &content);
        let totals_changed = self.apply_totals(now, id, &mut content);
        let restores = self.apply_lost_writes(now, id, &mut content);
        let totals_changed = totals_changed | self.return_earlier_grants(id, &mut content);
        self.refuse_unknown(now, id, &content);
        if let Some(page) = self.pages.get_mut(&id) {
            for (budget, grant) in &mut page.grants {
                // The page is authoritative: an operator may have released the row.
                let account = content.account(budget);
                grant.held = account.map(|a| a.held_by(&self.own_id)).unwrap_or_default();
                grant.other_holders =
                    account.map(|a| other_holders_of(a, &self.own_id)).unwrap_or_default();
            }
        }
        self.admit_waiters(now, id);
        let home_flags = self.home_flags(id);
        let era = self.current_era();
        let Some(page) = self.pages.get_mut(&id) else {
            return;
        };
        let writers: Vec<_> =
            content.writers.iter().map(|(holder, last)| (holder.clone(), last.sequence)).collect();
        let holds = page.grants.values().any(|grant| grant.held > Tokens::ZERO);
        page.totals_stale = totals_changed;
        // A holder with tokens shows that it has written all that the page had lost.
        let joins_era = holds && content.writers.get(&self.own_id).is_none_or(|w| w.era != era);
        let mut changed = totals_changed
            || restores
            || joins_era
            || holds && now >= page.written_at + page.refresh_after(&self.policy);
        // Each sequence number is used for one content only, so the page shows which write it has.
        let sequence = page.sequence + 1;
        let writer = Writer { sequence, at: now, address: self.address, era };
        let version = content.begin_write(&self.own_id, writer, self.clock_agrees);
        let mut limits = Vec::new();
        let mut uncovered = false;
        let mut effects = Vec::new();
        let mut refused = Vec::new();
        let mut held_elsewhere = Vec::new();
        let mut borrowing = Vec::new();
        for (budget, grant) in &mut page.grants {
            let Some(account) = content.accounts.get_mut(budget) else {
                continue;
            };
            let sizer = GrantSizer {
                now,
                policy: &self.policy,
                router_count: self.router_count,
                draining: self.draining,
                own_id: &self.own_id,
                is_home: home_flags.get(budget).copied(),
                withholding: &withholding,
            };
            let change = sizer.apply(version, grant, account);
            let context = WaitContext {
                now,
                policy: &self.policy,
                own_id: &self.own_id,
                read_at: page.read_at,
                writers: &writers,
                lenders: &self.lenders,
                withholding: &withholding,
            };
            let decisions = decide_waiters(&context, account, grant);
            held_elsewhere.extend(decisions.held_elsewhere);
            uncovered |= decisions.uncovered;
            // A request that waits for locked tokens needs a write that unlocks them.
            changed |= grant.is_locked(now, &self.policy);
            refused.extend(decisions.refused.into_iter().map(|waiter| (waiter, account.closed)));
            borrowing.extend(decisions.borrow.then(|| budget.clone()));
            let recall = |holder| HolderAction::Recall { holder, budget: budget.clone() };
            self.pending_actions.extend(decisions.recall_targets.into_iter().map(recall));
            let unsettled: Vec<_> = grant.unsettled_after(change.bill_count).collect();
            let tokens = self.policy.open_tokens(now, grant, account, self.clock_agrees);
            let pace = match self.clock_agrees {
                true => self.policy.open_pace(now, grant, account),
                false => Tokens::ZERO,
            };
            if let Some(row) = account.rows.get_mut(&self.own_id) {
                if self.policy.lock_time > Millis(0) {
                    row.open = Some(tokens.min(row.outstanding()));
                    row.pace = pace;
                    limits.push((budget.clone(), grant.total_used + tokens, pace));
                }
                row.hourly = grant.rate.spend_in(now, HOUR);
                row.floor = unsettled.iter().map(|a| a.version).min().unwrap_or(version);
                row.since = unsettled.iter().map(|a| a.at).min().unwrap_or(now);
                row.serial = unsettled.iter().map(|a| a.serial).min().unwrap_or(grant.next_serial);
            }
            account.prune(now);
            if change.has_effect() {
                changed = true;
                grant.returning = change.returned;
                let GrantChange { bill_count, billed, granted, returned } = change;
                effects.push(Effect {
                    budget: budget.clone(),
                    bill_count,
                    billed,
                    granted,
                    returned,
                });
            }
        }
        let idle_timeout = self.policy.idle_timeout;
        let first_serial = &mut self.first_serial;
        page.grants.retain(|_, grant| {
            *first_serial = grant.next_serial.max(*first_serial);
            !grant.is_empty() || now < grant.used_at + idle_timeout
        });
        page.dirty_since = None;
        if uncovered {
            // A request may be refused only after a read from the store, not from a cached page.
            page.cached = None;
        }
        if changed {
            for (budget, cap, pace) in limits {
                if let Some(grant) = page.grants.get_mut(&budget) {
                    grant.limits.set_pending(SpendLimit { cap, pace, since: now });
                }
            }
            page.sequence = sequence;
            page.operation = Operation::Writing(now);
            let write =
                HolderAction::Write { page: id, expected: page.revision, content: content.clone() };
            page.pending = Some(PendingWrite {
                sequence,
                expected: page.revision,
                content,
                effects,
                restores,
            });
            self.pending_actions.push(write);
        }
        for budget in borrowing {
            self.borrow_for(now, id, &budget);
        }
        for waiter in held_elsewhere {
            self.refuse_held_elsewhere(now, waiter);
        }
        for (waiter, closed) in refused {
            let detail = if closed {
                "the budget is closed and does not cover"
            } else {
                "the budget does not cover"
            };
            let detail = format!("{detail} {} tokens", waiter.amount);
            self.refuse(now, waiter.request, Code::BudgetSpent, detail);
        }
    }
}

/// Returns the other holders of an account, in descending order of their tokens.
fn other_holders_of(account: &Account, own_id: &Incarnation) -> Vec<Incarnation> {
    let mut others: Vec<_> = account
        .rows
        .iter()
        .filter(|(holder, row)| *holder != own_id && row.outstanding() > Tokens::ZERO)
        .map(|(holder, row)| (row.outstanding(), holder.clone()))
        .collect();
    others.sort_by(|a, b| b.cmp(a));
    others.into_iter().map(|(_, holder)| holder).collect()
}

impl HolderPolicy {
    /// Returns the tokens that a holder may spend during the lock time after a write: those that
    /// its requests need, the expected spend until the next write, and a share of the budget.
    ///
    /// A holder whose clock does not agree with its peers' opens nothing more until its next write,
    /// so that the tokens that it cannot have spent do not depend on a clock. It opens the expected
    /// spend of the lock time at once instead. With the spend of a whole store outage, a few kills
    /// made a budget that lasts for a minute unusable.
    fn open_tokens(
        &self,
        now: Timestamp,
        grant: &Grant,
        account: &Account,
        clock_agrees: bool,
    ) -> Tokens {
        let span = if clock_agrees { WRITE_INTERVAL } else { self.lock_time };
        let waiting: Tokens = grant.waiters.iter().map(|waiter| waiter.amount).sum();
        let unspent = account.balance + account.outstanding();
        let part = Tokens((unspent.0 as f64 * self.open_share.fraction()) as u64);
        grant.reserved + waiting + grant.rate.spend_in(now, span) + part
    }

    /// Returns the tokens per second that are unlocked after the lock time: twice the expected
    /// spend, or a share of the budget if that is more, since a little-used budget has a low
    /// estimate.
    fn open_pace(&self, now: Timestamp, grant: &Grant, account: &Account) -> Tokens {
        let unspent = account.balance + account.outstanding();
        let part = Tokens((unspent.0 as f64 * self.pace_share.fraction()) as u64);
        let spend = grant.rate.spend_in(now, WRITE_INTERVAL);
        part.max(Tokens(spend.0 * RATE_FACTOR))
    }
}
