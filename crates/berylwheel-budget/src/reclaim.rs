//! Reclaim of the tokens that a dead incarnation held.

use berylwheel_types::Incarnation;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::AuditEntry;
use crate::Change;
use crate::LedgerPage;
use crate::UsageTag;
use crate::account::Bill;

/// The usage of one request, as recorded by an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageRecord {
    /// The tag that the holder assigned to the request.
    pub tag: UsageTag,
    /// The number of tokens served.
    pub used: Tokens,
}

/// The result of a reclaim on one page.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reclaimed {
    /// Tokens billed from usage records.
    pub billed: Tokens,
    /// Tokens returned to the balance.
    pub returned: Tokens,
}

impl LedgerPage {
    /// Bills the unsettled usage of `dead`, and returns its remaining tokens to the balances.
    ///
    /// The caller must have evidence that the process has ended, and `usage` must hold the records
    /// of every engine that may have served its requests. If several engines recorded the same
    /// request, the largest record is billed. `author` is the router that reclaims.
    ///
    /// A write that the process sent before it died may still reach the store later. It takes
    /// effect if the page has not been written since, so the caller must check for rows of dead
    /// incarnations again.
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
        // The largest record of each request comes first. The others are then skipped as settled.
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
            let returned = account.return_tokens(dead, account.held_by(dead));
            account.prune(now);
            total.billed += billed;
            total.returned += returned;
            let change = Change::Reclaim { holder: dead.clone(), billed, returned };
            account.record(AuditEntry { at: now, author: author.into(), change });
        }
        total
    }
}
