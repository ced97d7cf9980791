//! The state of a holder for operators.

use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use serde::Serialize;

use super::core::Holder;
use crate::PageId;
use crate::UnusableGrant;

/// The grants of one holder.
#[derive(Debug, Serialize)]
pub struct HolderDump {
    /// The incarnation of the holder.
    pub holder: Incarnation,
    /// Whether the holder is returning all tokens.
    pub draining: bool,
    /// One entry for each budget in use.
    pub budgets: Vec<BudgetDump>,
    /// Tokens of ended runs, of the budgets that this holder is the home of.
    pub unusable: Vec<UnusableGrant>,
}

/// The grant that one holder has of one budget.
#[derive(Debug, Serialize)]
pub struct BudgetDump {
    /// The id of the budget.
    pub budget: BudgetId,
    /// The page that holds it.
    pub page: PageId,
    /// Tokens granted and neither returned nor settled.
    pub held: Tokens,
    /// Tokens reserved by requests in progress.
    pub reserved: Tokens,
    /// Tokens used by finished requests and not settled yet.
    pub unsettled: Tokens,
    /// Tokens free for new requests.
    pub free: Tokens,
    /// Number of requests that wait for a grant.
    pub waiting: usize,
    /// Estimated spend per hour, as of the latest request.
    pub hourly: Tokens,
    /// When the latest request arrived or ended.
    pub used_at: Timestamp,
}

impl Holder {
    /// Returns the state for operators.
    pub fn dump(&self) -> HolderDump {
        let budgets = self.pages.iter().flat_map(|(id, page)| {
            page.grants.iter().map(|(budget, grant)| BudgetDump {
                budget: budget.clone(),
                page: *id,
                held: grant.held,
                reserved: grant.reserved,
                unsettled: grant.unsettled,
                free: grant.free(),
                waiting: grant.waiters.len(),
                hourly: grant.rate.spend_in(grant.used_at, Millis(3_600_000)),
                used_at: grant.used_at,
            })
        });
        HolderDump {
            holder: self.own_id.clone(),
            draining: self.draining,
            budgets: budgets.collect(),
            unusable: self.unusable(),
        }
    }

    /// Returns the tokens that runs hold which have ended, of the budgets that this holder is the
    /// home of, as of the last read or write of their pages.
    ///
    /// ```
    /// use berylwheel_budget::{Holder, HolderPolicy};
    /// let holder = Holder::new("r1@1".parse().unwrap(), HolderPolicy::default());
    /// assert!(holder.unusable().is_empty());
    /// ```
    pub fn unusable(&self) -> Vec<UnusableGrant> {
        // A run that others have replaced is known by its successor, which heartbeats tell of.
        let is_ended = |run: &Incarnation| {
            let later =
                |other: &Incarnation| other.router == run.router && other.number > run.number;
            later(&self.own_id) || self.lenders.iter().any(later)
        };
        let pages = self.pages.values().filter_map(|page| Some((page, page.cached.as_ref()?)));
        let grants = pages.flat_map(|(page, content)| {
            let own = page.grants.keys().filter(|budget| self.home_of(budget) == self.own_id);
            own.flat_map(|budget| content.unusable(budget, is_ended)).collect::<Vec<_>>()
        });
        grants.collect()
    }
}
