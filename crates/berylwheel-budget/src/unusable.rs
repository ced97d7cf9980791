//! Tokens that nobody can spend, since the process that holds them has ended.

use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use serde::Serialize;

use crate::LedgerPage;

/// Why the tokens of an ended process are unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnusableCause {
    /// The process may have spent them before it ended. Only an operator can release them.
    MayBeSpent,
    /// No later run at the address of the process has returned them yet: none has started, or none
    /// whose clock is confirmed has read the page.
    NotReturned,
}

/// The tokens of one ended process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UnusableGrant {
    /// The budget.
    pub budget: BudgetId,
    /// The run of the router that holds the tokens.
    pub holder: Incarnation,
    /// The number of tokens.
    pub tokens: Tokens,
    /// The last write of the run, by its clock. It has ended later.
    pub since: Option<Timestamp>,
    /// Why they are unusable.
    pub cause: UnusableCause,
}

impl LedgerPage {
    /// Returns the tokens of `budget` that are held by runs which have ended: those for which
    /// `is_ended` returns true, and those of which a later run at the same address has written this
    /// page.
    ///
    /// ```
    /// use berylwheel_budget::LedgerPage;
    /// let page = LedgerPage::default();
    /// assert!(page.unusable(&"w1/main".parse().unwrap(), |_| true).is_empty());
    /// ```
    pub fn unusable(
        &self,
        budget: &BudgetId,
        is_ended: impl Fn(&Incarnation) -> bool,
    ) -> Vec<UnusableGrant> {
        let rows = self.accounts.get(budget).into_iter().flat_map(|account| &account.rows);
        let unusable = |(holder, row): (&Incarnation, &crate::Row)| {
            let tokens = row.outstanding();
            let replaced = self.has_later_writer(holder);
            if tokens == Tokens::ZERO || !replaced && !is_ended(holder) {
                return None;
            }
            let returned = replaced || row.open.is_some_and(|open| tokens <= open);
            let cause = match returned {
                true => UnusableCause::MayBeSpent,
                false => UnusableCause::NotReturned,
            };
            let since = self.writers.get(holder).map(|writer| writer.at);
            Some(UnusableGrant {
                budget: budget.clone(),
                holder: holder.clone(),
                tokens,
                since,
                cause,
            })
        };
        rows.filter_map(unusable).collect()
    }

    /// Returns whether a later run of the same router at the same address has written this page.
    fn has_later_writer(&self, run: &Incarnation) -> bool {
        let Some(own) = self.writers.get(run) else { return false };
        self.writers.iter().any(|(other, writer)| {
            other.router == run.router
                && other.number > run.number
                && own.address.is_some()
                && writer.address == own.address
        })
    }
}
