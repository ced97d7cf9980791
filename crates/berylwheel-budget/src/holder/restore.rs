//! Writes that a store has lost when it was restored from an older copy, and how they are applied
//! again.
//!
//! A page states the sequence number of the last write of each holder. A holder that finds a lower
//! number than that of its last confirmed write applies its later writes again, as part of its next
//! one. Until all holders have had time for that, nobody takes tokens from the balance of a page.

use std::collections::VecDeque;

use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::stable_hash;

use super::core::Holder;
use super::grant::Grant;
use super::pages::PageState;
use crate::Account;
use crate::LedgerPage;
use crate::PageId;
use crate::Row;
use crate::account::Bill;

/// Time for which confirmed writes are kept. The copy that a store is restored from is some seconds
/// old.
const RETENTION: Millis = Millis(60_000);
/// Time for which no tokens are taken from the balance of a restored page. A router calls the store
/// at least every 3.4 s, and then needs one read and one write.
const SETTLE_TIME: Millis = Millis(5_000);
/// Maximum age of a copy for which tokens are kept back for a holder that has not written since.
const COPY_AGE: Millis = Millis(15_000);
/// Spend that is assumed of such a holder, as a multiple of its own estimate.
const SPEND_FACTOR: u64 = 2;
/// Maximum delay of the first read after a restore, so that routers do not all read at once.
const READ_SPREAD: Millis = Millis(200);
/// The period of `Row::hourly`.
const HOUR: Millis = Millis(3_600_000);

/// What a confirmed write changed in one budget, in the order in which it was applied.
#[derive(Debug, Clone)]
pub(crate) struct BudgetChange {
    pub(crate) budget: BudgetId,
    pub(crate) bills: Vec<Bill>,
    pub(crate) granted: Tokens,
    pub(crate) returned: Tokens,
}

/// A confirmed write.
#[derive(Debug, Clone)]
struct KeptWrite {
    sequence: u64,
    confirmed_at: Timestamp,
    changes: Vec<BudgetChange>,
}

/// The confirmed writes of one page, oldest first.
#[derive(Debug, Default)]
pub(crate) struct KeptWrites {
    writes: VecDeque<KeptWrite>,
    /// The highest sequence number of a write that is no longer kept.
    forgotten: u64,
}

impl KeptWrites {
    pub(crate) fn add(&mut self, now: Timestamp, sequence: u64, changes: Vec<BudgetChange>) {
        while let Some(first) = self.writes.front()
            && now.since(first.confirmed_at) > RETENTION
        {
            self.forgotten = first.sequence;
            self.writes.pop_front();
        }
        if !changes.is_empty() {
            self.writes.push_back(KeptWrite { sequence, confirmed_at: now, changes });
        }
    }

    /// Keeps all writes for the full time again, since they are now in a later copy of the store.
    pub(crate) fn renew(&mut self, now: Timestamp) {
        for write in &mut self.writes {
            write.confirmed_at = now;
        }
    }

    fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// Returns the changes of the writes above `sequence`.
    fn after(&self, sequence: u64) -> impl Iterator<Item = &BudgetChange> {
        let lost = self.writes.iter().filter(move |write| write.sequence > sequence);
        lost.flat_map(|write| &write.changes)
    }
}

impl Account {
    /// Applies a change of `holder` that a restored store has lost.
    fn apply_again(
        &mut self,
        holder: &Incarnation,
        change: &BudgetChange,
        version: u64,
        now: Timestamp,
    ) {
        for bill in &change.bills {
            self.bill(holder, bill, version, now);
        }
        if change.granted > Tokens::ZERO {
            self.grant_again(holder, change.granted);
        }
        self.return_tokens(holder, change.returned);
    }
}

/// Returns the tokens that a holder may have been granted by lost writes.
fn possible_grants(row: &Row) -> Tokens {
    let spend = u128::from(row.hourly.0) * u128::from(COPY_AGE.0) / u128::from(HOUR.0);
    let spend = Tokens(u64::try_from(spend).unwrap_or(u64::MAX).saturating_mul(SPEND_FACTOR));
    spend.max(row.open.unwrap_or_default())
}

impl LedgerPage {
    /// Returns the holders that have not written the page in `era`.
    pub(super) fn unrestored_holders(&self, era: StoreEra) -> Vec<Incarnation> {
        let writers = self.writers.iter().filter(|(_, writer)| writer.era != era);
        writers.map(|(holder, _)| holder.clone()).collect()
    }
}

/// The part of a balance that a holder must not take.
#[derive(Debug, Clone, Default)]
pub(super) struct Withholding {
    /// Whether holders may still have to apply lost writes.
    pub(super) is_settling: bool,
    /// The holders that have not written since the restore.
    pub(super) unrestored: Vec<Incarnation>,
}

impl Withholding {
    /// Returns the tokens of the balance that may be granted.
    pub(super) fn available(&self, account: &Account) -> Tokens {
        if self.is_settling {
            return Tokens::ZERO;
        }
        let rows = self.unrestored.iter().filter_map(|holder| account.rows.get(holder));
        account.balance.saturating_sub(rows.map(possible_grants).sum())
    }
}

impl Holder {
    /// Records that the store was restored from a copy and is now in `era`. Revisions of before do
    /// not count any more, and confirmed writes may be gone.
    ///
    /// The first era of a process is no restore.
    ///
    /// ```
    /// use berylwheel_budget::{Holder, HolderPolicy};
    /// use berylwheel_types::{StoreEra, Timestamp};
    /// let mut holder = Holder::new("r1@1".parse().unwrap(), HolderPolicy::default());
    /// let now = Timestamp::from_millis(1_000);
    /// holder.set_era(now, StoreEra(3));
    /// // A holder without tokens has nothing to write again.
    /// assert!(holder.poll(now).is_empty());
    /// ```
    pub fn set_era(&mut self, now: Timestamp, era: StoreEra) {
        if self.era.replace(era).is_none_or(|known| known == era) {
            return;
        }
        self.era_began = Some(now);
        let spread = stable_hash(&["restore", self.own_id.router.as_str()]) % (READ_SPREAD.0 + 1);
        let ids: Vec<PageId> = self.pages.keys().copied().collect();
        for id in ids {
            let Some(page) = self.pages.get_mut(&id) else { continue };
            page.revision = 0;
            page.cached = None;
            page.is_restored = true;
            page.settles_at = None;
            page.retry_at = page.retry_at.max(now + Millis(spread));
            if let Some(pending) = &mut page.pending {
                // A page may have the expected revision again by chance.
                pending.expected = u64::MAX;
                pending.restores = false;
            }
            self.reschedule(now, id);
        }
    }

    pub(super) fn current_era(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// Applies the confirmed writes of this holder that a page lacks. Returns whether the page has to be
    /// written.
    ///
    /// That is also so if it lacks none: a write that another holder had sent before the restore may
    /// still replace the page, until one of this era was written.
    pub(super) fn apply_lost_writes(
        &mut self,
        now: Timestamp,
        id: PageId,
        content: &mut LedgerPage,
    ) -> bool {
        let Some(page) = self.pages.get_mut(&id).filter(|page| page.is_restored) else {
            return false;
        };
        let known = content.sequence_of(&self.own_id);
        if known < page.kept.forgotten {
            log::error!(page:% = id, sequence = known; "the copy of the store is older than the kept writes");
        }
        let version = content.version() + 1;
        let (mut count, mut billed) = (0, Tokens::ZERO);
        for change in page.kept.after(known) {
            let Some(account) = content.accounts.get_mut(&change.budget) else { continue };
            let before = account.billed;
            account.apply_again(&self.own_id, change, version, now);
            billed += account.billed - before;
            count += 1;
            // A budget that is no longer in use gets a grant, so that its tokens are returned.
            let (first_serial, policy) = (self.first_serial, &self.policy);
            let grants = page.grants.entry(change.budget.clone());
            grants.or_insert_with(|| Grant::new(now, first_serial, policy));
        }
        if page.kept.is_empty() {
            page.is_restored = false;
            return false;
        }
        if count == 0 {
            return true;
        }
        log::warn!(
            page:% = id, changes = count, billed = billed.0, era:% = self.current_era();
            "writes that the store had lost are applied again"
        );
        true
    }

    /// Returns what must not be granted from the balances of a page.
    pub(super) fn withholding(
        &mut self,
        now: Timestamp,
        id: PageId,
        content: &LedgerPage,
    ) -> Withholding {
        let era = self.current_era();
        let unrestored = content.unrestored_holders(era);
        let stated = content.restored_at.filter(|_| content.era == era);
        let is_seen = self.era_began.is_some();
        let Some(page) = self.pages.get_mut(&id) else { return Withholding::default() };
        if !is_seen && stated.is_none() && unrestored.is_empty() {
            return Withholding::default();
        }
        // A process that has started since knows the time of the restore from the page only.
        let stated = stated.filter(|_| self.clock_agrees);
        let began = self.era_began.or(stated).unwrap_or(now).min(now);
        let settles_at = *page.settles_at.get_or_insert(began + SETTLE_TIME);
        let others = unrestored.into_iter().filter(|holder| *holder != self.own_id);
        Withholding { is_settling: now < settles_at, unrestored: others.collect() }
    }
}

impl PageState {
    /// Returns whether the page has to be read because the store was restored.
    pub(super) fn needs_restore(&self) -> bool {
        let holds = self.grants.values().any(|grant| grant.held > Tokens::ZERO);
        self.is_restored && (holds || !self.kept.is_empty())
    }
}
