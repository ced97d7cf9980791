//! Grants that the home of a budget takes before the first request for it.
//!
//! A home takes tokens as soon as the set of live holders is stable. Otherwise a budget that is
//! first used during a store outage would refuse all requests until the store is back.

use std::collections::btree_map::Entry;

use berylwheel_types::BudgetId;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use super::core::Holder;
use super::grant::Grant;
use super::pages::PageState;
use crate::page_of;

/// Time without a change of the live holders after which their set is considered stable. Holders
/// that start together discover each other within a second; until then each considers itself the
/// home of every budget.
const STABILIZATION_DELAY: Millis = Millis(1_000);
/// The same delay for a holder that knows no other holders.
const STABILIZATION_DELAY_ALONE: Millis = Millis(3_000);

/// Tracks whether this holder has to check the budgets that it may be the home of.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    /// When the set of live holders last changed.
    stable_since: Option<Timestamp>,
    /// Whether the set of live holders has changed since the last check.
    changed: bool,
    /// Budgets with a new total in the configuration that is not written to their page yet.
    pub(super) new_totals: FastSet<BudgetId>,
}

impl Homes {
    fn due_at(&self, no_others: bool) -> Option<Timestamp> {
        let delay = if no_others { STABILIZATION_DELAY_ALONE } else { STABILIZATION_DELAY };
        let waiting = self.changed || !self.new_totals.is_empty();
        self.stable_since.filter(|_| waiting).map(|since| since + delay)
    }
}

impl Holder {
    /// Sets the other live holders, which can be asked for loans.
    pub fn set_lenders(&mut self, now: Timestamp, mut lenders: Vec<Incarnation>) {
        self.visits.add(lenders.len());
        lenders.sort_unstable();
        if self.homes.stable_since.is_none() || lenders != self.lenders {
            let examined = self.home_cache.borrow_mut().update(&self.lenders, &lenders);
            self.visits.add(examined);
            self.homes.stable_since = Some(now);
            self.homes.changed = true;
            self.lenders = lenders;
        }
    }

    /// Returns when this holder has to check the budgets that it is the home of, if at all.
    pub(super) fn home_check_due(&self) -> Option<Timestamp> {
        let enabled = self.policy.loans_enabled && !self.draining && !self.departing;
        self.homes.due_at(self.lenders.is_empty()).filter(|_| enabled)
    }

    /// Schedules page reads for the budgets that this holder is the home of: for those with a new
    /// total, and for those of which it has no grant yet.
    pub(super) fn check_homes(&mut self, now: Timestamp) {
        if self.home_check_due().is_none_or(|due| now < due) {
            return;
        }
        self.homes.changed = false;
        let new_totals = std::mem::take(&mut self.homes.new_totals);
        let budgets = self.totals.1.keys().filter(|budget| self.home_of(budget) == self.own_id);
        for budget in budgets.cloned().collect::<Vec<_>>() {
            let id = page_of(&budget, self.policy.pages);
            let page = self.pages.entry(id).or_insert_with(|| PageState::new(now));
            page.totals_stale |= new_totals.contains(&budget);
            let first_serial = self.first_serial;
            let policy = &self.policy;
            if let Entry::Vacant(vacant) = page.grants.entry(budget) {
                vacant.insert(Grant::new(now, first_serial, policy));
                page.totals_stale = true;
            }
            self.reschedule(now, id);
        }
    }
}
