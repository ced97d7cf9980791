//! What the home of a budget does before the first request for it.
//!
//! A home holds tokens as soon as the live holders have settled. A budget that is first asked for
//! while the store is down would otherwise refuse everything until the store is back.

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

/// Time without a change of the live holders after which the homes are taken for settled. Holders
/// that start together know each other after a second; until then each counts itself the home of all.
const SETTLE_TIME: Millis = Millis(1_000);
/// The same for a holder that knows no others.
const ALONE_TIME: Millis = Millis(3_000);

/// The stated budgets whose home has not looked at them yet.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    /// Since when the live holders are the same.
    since: Option<Timestamp>,
    /// Whether homes may have moved since they were last looked for.
    moved: bool,
    /// Budgets whose stated total is new.
    pub(super) unstated: FastSet<BudgetId>,
}

impl Homes {
    fn settled_at(&self, alone: bool) -> Option<Timestamp> {
        let time = if alone { ALONE_TIME } else { SETTLE_TIME };
        let waiting = self.moved || !self.unstated.is_empty();
        self.since.filter(|_| waiting).map(|since| since + time)
    }
}

impl Holder {
    /// Sets the other holders that can be asked for loans now.
    pub fn set_lenders(&mut self, now: Timestamp, mut lenders: Vec<Incarnation>) {
        lenders.sort_unstable();
        if self.homes.since.is_none() || lenders != self.lenders {
            self.homes.since = Some(now);
            self.homes.moved = true;
            self.lenders = lenders;
        }
    }

    /// Returns when this holder looks at the budgets that it is the home of, if it has to.
    pub(super) fn homes_due(&self) -> Option<Timestamp> {
        let takes = self.policy.borrow && !self.draining && !self.departing;
        self.homes.settled_at(self.lenders.is_empty()).filter(|_| takes)
    }

    /// States new totals of the budgets that this holder is the home of, and takes tokens of those
    /// that it holds nothing of.
    pub(super) fn take_homes(&mut self, now: Timestamp) {
        if self.homes_due().is_none_or(|due| now < due) {
            return;
        }
        self.homes.moved = false;
        let unstated = std::mem::take(&mut self.homes.unstated);
        let own = self.totals.1.keys().filter(|budget| *self.home_of(budget) == self.me);
        for budget in own.cloned().collect::<Vec<_>>() {
            let id = page_of(&budget, self.policy.pages);
            let page = self.pages.entry(id).or_insert_with(|| PageState::new(now));
            page.restate |= unstated.contains(&budget);
            let first_serial = self.first_serial;
            let policy = &self.policy;
            if let Entry::Vacant(vacant) = page.grants.entry(budget) {
                vacant.insert(Grant::new(now, first_serial, policy));
                page.restate = true;
            }
            self.reschedule(now, id);
        }
    }
}
