//! Reclaim of what a dead incarnation held.

use berylwheel_types::Incarnation;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::AuditEntry;
use crate::Change;
use crate::LedgerPage;
use crate::UsageTag;
use crate::account::Bill;

/// The usage that an engine recorded for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageRecord {
    /// The tag that the holder gave the request.
    pub tag: UsageTag,
    /// Tokens served.
    pub used: Tokens,
}

/// What a reclaim did on one page.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reclaimed {
    /// Tokens billed from usage records.
    pub billed: Tokens,
    /// Tokens returned to the balance.
    pub returned: Tokens,
}

impl LedgerPage {
    /// Bills the unsettled usage of `dead` and returns the rest of its rows to the balances.
    ///
    /// The caller has evidence that the process is gone, and `usage` holds the records of every
    /// engine that may have served it. Several records of one request, from several engines, are
    /// billed as the largest of them. `author` is the router that reclaims.
    ///
    /// A write that the process sent before it died may reach the store after this. It wins only if
    /// the page was not written since, so the caller looks for rows of dead incarnations again.
    pub fn reclaim(
        &mut self,
        dead: &Incarnation,
        usage: &[UsageRecord],
        author: &str,
        now: Timestamp,
    ) -> Reclaimed {
        let mut total = Reclaimed::default();
        let known = self.writers.remove(dead).is_some();
        if !known && self.accounts.values().all(|account| !account.rows.contains_key(dead)) {
            return total;
        }
        self.version += 1;
        // The largest record of a request comes first, and the others find it settled.
        let mut usage: Vec<_> = usage.iter().collect();
        usage.sort_by_key(|record| (record.tag.serial, std::cmp::Reverse(record.used)));
        for (budget, account) in &mut self.accounts {
            if !account.rows.contains_key(dead) {
                continue;
            }
            let mut billed = Tokens::ZERO;
            for record in usage.iter().filter(|record| record.tag.is_for(budget)) {
                let UsageTag { serial, key, .. } = record.tag;
                let bill = Bill { serial, key, used: record.used };
                billed += account.bill(dead, &bill, self.version, now);
            }
            let returned = account.give_back(dead, account.held_by(dead));
            account.prune(now);
            total.billed += billed;
            total.returned += returned;
            let change = Change::Reclaim { holder: dead.clone(), billed, returned };
            account.record(AuditEntry { at: now, author: author.into(), change });
        }
        total
    }
}
