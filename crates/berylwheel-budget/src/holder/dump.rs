//! The state of a holder for operators.

use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use serde::Serialize;

use super::core::Holder;
use crate::PageId;

/// The grants of one holder.
#[derive(Debug, Serialize)]
pub struct HolderDump {
    /// The incarnation of the holder.
    pub holder: Incarnation,
    /// Whether the holder is returning all tokens.
    pub draining: bool,
    /// One entry for each budget in use.
    pub budgets: Vec<BudgetDump>,
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
        }
    }
}
