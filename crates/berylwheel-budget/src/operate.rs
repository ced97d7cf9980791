//! Changes that operators and configurations make to budgets.

use berylwheel_types::BudgetId;
use berylwheel_types::Code;
use berylwheel_types::CreditId;
use berylwheel_types::Incarnation;
use berylwheel_types::Refusal;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;

use crate::Account;
use crate::AuditEntry;
use crate::Change;
use crate::LedgerPage;
use crate::account::CREDIT_LIMIT;

/// Whether an idempotent change took effect now or had been applied before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The change took effect.
    Now,
    /// The change had been applied before, so nothing changed.
    Before,
}

impl LedgerPage {
    fn account_mut(&mut self, budget: &BudgetId) -> Result<&mut Account, Refusal> {
        self.accounts.get_mut(budget).ok_or_else(|| {
            Refusal::not_run(Code::UnknownBudget, format!("budget {budget} does not exist"))
        })
    }

    /// Creates an empty budget.
    ///
    /// # Errors
    ///
    /// `ChangeConflict` if the budget already exists.
    pub fn create(
        &mut self,
        budget: &BudgetId,
        author: &str,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        if self.accounts.contains_key(budget) {
            let detail = format!("budget {budget} already exists");
            return Err(Refusal::not_run(Code::ChangeConflict, detail));
        }
        let mut account = Account::default();
        account.record(AuditEntry { at: now, author: author.into(), change: Change::Create });
        self.accounts.insert(budget.clone(), account);
        self.version += 1;
        Ok(())
    }

    /// Adds `amount` tokens to a budget, once per `id`. Owed tokens are collected from the balance.
    ///
    /// # Errors
    ///
    /// `UnknownBudget` if the budget does not exist; `ChangeConflict` if the id was used with
    /// another amount; `InvalidField` if the total would exceed the range of a token count.
    pub fn credit(
        &mut self,
        budget: &BudgetId,
        id: CreditId,
        amount: Tokens,
        author: &str,
        now: Timestamp,
    ) -> Result<Applied, Refusal> {
        let account = self.account_mut(budget)?;
        if check_credit_id(account, &id, amount)? == Applied::Before {
            return Ok(Applied::Before);
        }
        if account.credited.0.checked_add(amount.0).is_none() {
            return Err(Refusal::not_run(
                Code::InvalidField,
                "the credit exceeds the largest possible token count",
            ));
        }
        account.credited += amount;
        account.balance += amount;
        account.collect_owed();
        record_credit_id(account, &id, amount, now);
        let change = Change::Credit { id, amount };
        account.record(AuditEntry { at: now, author: author.into(), change });
        self.version += 1;
        Ok(Applied::Now)
    }

    /// Sets the total of a budget to that of a configuration version. Creates the budget if needed.
    ///
    /// Each version is applied once, and never after a newer one. If the total is lowered, the
    /// difference is collected as by [`LedgerPage::cut`].
    pub fn set_total(
        &mut self,
        budget: &BudgetId,
        version: Version,
        total: Tokens,
        author: &str,
        now: Timestamp,
    ) -> Applied {
        let account = self.accounts.entry(budget.clone()).or_default();
        if account.stated.is_some_and(|known| known >= version) {
            return Applied::Before;
        }
        let current = account.credited.saturating_sub(account.owed);
        if account.stated.is_some() && current == total {
            return Applied::Before;
        }
        account.stated = Some(version);
        if total >= current {
            let increase = total - current;
            let waived = increase.min(account.owed);
            account.owed -= waived;
            account.credited += increase - waived;
            account.balance += increase - waived;
        } else {
            account.owed += current - total;
            account.collect_owed();
        }
        let change = Change::State { version, total };
        account.record(AuditEntry { at: now, author: author.into(), change });
        self.version += 1;
        Applied::Now
    }

    /// Removes `amount` tokens from a budget, once per `id`.
    ///
    /// The tokens are collected from the balance as far as it covers them. The rest is owed and
    /// collected from returned tokens and top-ups. At most the outstanding tokens can be owed.
    ///
    /// # Errors
    ///
    /// `UnknownBudget` if the budget does not exist; `ChangeConflict` if the id was used with
    /// another amount; `InvalidField` if fewer than `amount` tokens are unspent.
    pub fn cut(
        &mut self,
        budget: &BudgetId,
        id: CreditId,
        amount: Tokens,
        author: &str,
        now: Timestamp,
    ) -> Result<Applied, Refusal> {
        let account = self.account_mut(budget)?;
        if check_credit_id(account, &id, amount)? == Applied::Before {
            return Ok(Applied::Before);
        }
        let unspent = (account.balance + account.outstanding()).saturating_sub(account.owed);
        if amount > unspent {
            let detail = format!("cannot cut {amount} tokens, since only {unspent} are unspent");
            return Err(Refusal::not_run(Code::InvalidField, detail));
        }
        account.owed += amount;
        account.collect_owed();
        record_credit_id(account, &id, amount, now);
        let change = Change::Cut { id, amount, owed: account.owed };
        account.record(AuditEntry { at: now, author: author.into(), change });
        self.version += 1;
        Ok(Applied::Now)
    }

    /// Closes a budget for new grants. Outstanding grants remain valid.
    ///
    /// # Errors
    ///
    /// `UnknownBudget` if the budget does not exist.
    pub fn close(
        &mut self,
        budget: &BudgetId,
        author: &str,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let account = self.account_mut(budget)?;
        if !account.closed {
            account.closed = true;
            account.record(AuditEntry { at: now, author: author.into(), change: Change::Close });
            self.version += 1;
        }
        Ok(())
    }

    /// Moves the outstanding tokens of `holder` to the balance without billing, and returns their
    /// amount.
    ///
    /// This is only for a holder that is known to have ended and whose usage records are not
    /// available: its unsettled usage is never billed, and a holder that still runs would
    /// overspend.
    ///
    /// # Errors
    ///
    /// `UnknownBudget` if the budget does not exist; `InvalidField` if the holder has no tokens of
    /// it.
    pub fn release(
        &mut self,
        budget: &BudgetId,
        holder: &Incarnation,
        author: &str,
        now: Timestamp,
    ) -> Result<Tokens, Refusal> {
        let account = self.account_mut(budget)?;
        let held = account.held_by(holder);
        if held == Tokens::ZERO {
            let detail = format!("holder {holder} has no tokens of budget {budget}");
            return Err(Refusal::not_run(Code::InvalidField, detail));
        }
        let returned = account.return_tokens(holder, held);
        account.prune(now);
        let change = Change::Release { holder: holder.clone(), returned };
        account.record(AuditEntry { at: now, author: author.into(), change });
        self.version += 1;
        Ok(returned)
    }

    /// Returns the latest changes to a budget, oldest first.
    pub fn audit(&self, budget: &BudgetId) -> &[AuditEntry] {
        self.accounts.get(budget).map(|account| account.audit.as_slice()).unwrap_or_default()
    }
}

fn check_credit_id(account: &Account, id: &CreditId, amount: Tokens) -> Result<Applied, Refusal> {
    match account.credits.get(id) {
        None => Ok(Applied::Now),
        Some((before, _)) if *before == amount => Ok(Applied::Before),
        Some((before, _)) => {
            let detail = format!("id {id} was already used for {before} tokens");
            Err(Refusal::not_run(Code::ChangeConflict, detail))
        }
    }
}

fn record_credit_id(account: &mut Account, id: &CreditId, amount: Tokens, now: Timestamp) {
    account.credits.insert(id.clone(), (amount, now));
    if account.credits.len() <= CREDIT_LIMIT {
        return;
    }
    let oldest = account.credits.iter().min_by_key(|(_, (_, at))| *at).map(|(id, _)| id.clone());
    if let Some(oldest) = oldest {
        account.credits.remove(&oldest);
    }
}
