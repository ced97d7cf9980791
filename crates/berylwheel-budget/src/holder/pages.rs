//! A holder's state for one ledger page, with its pending write.

use std::collections::BTreeMap;

use berylwheel_types::BudgetId;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::grant::Grant;
use super::restore::BudgetChange;
use super::restore::KeptWrites;
use crate::HolderPolicy;
use crate::LedgerPage;

/// The store operation in flight, with its start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Operation {
    Idle,
    Reading(Timestamp),
    Writing(Timestamp),
}

/// The changes that a write makes to one budget.
#[derive(Debug)]
pub(crate) struct Effect {
    pub(crate) budget: BudgetId,
    /// Number of billed requests, counted from the start of `Grant::spent`.
    pub(crate) bill_count: usize,
    pub(crate) billed: Tokens,
    pub(crate) granted: Tokens,
    pub(crate) returned: Tokens,
}

/// A write whose outcome is not known yet.
///
/// Until it is known, the same content is resent under the same sequence number, so that it takes
/// effect at most once.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) sequence: u64,
    pub(crate) expected: u64,
    pub(crate) content: LedgerPage,
    pub(crate) effects: Vec<Effect>,
    /// Whether the write applies lost writes again.
    pub(crate) restores: bool,
}

#[derive(Debug)]
pub(crate) struct PageState {
    pub(crate) grants: BTreeMap<BudgetId, Grant>,
    pub(crate) operation: Operation,
    pub(crate) pending: Option<PendingWrite>,
    /// The last sequence number used, whether or not its write took effect.
    pub(crate) sequence: u64,
    pub(crate) revision: u64,
    /// The content at `revision`, if a write may be based on it without a read.
    pub(crate) cached: Option<LedgerPage>,
    pub(crate) version: u64,
    /// Estimated size of the encoded page in bytes.
    pub(crate) size: u64,
    /// When the latest read or the latest successful write was sent.
    pub(crate) read_at: Option<Timestamp>,
    /// When the cached content was last processed without a read.
    pub(crate) processed_at: Option<Timestamp>,
    pub(crate) written_at: Timestamp,
    /// When the oldest unsettled change was made.
    pub(crate) dirty_since: Option<Timestamp>,
    pub(crate) retry_at: Timestamp,
    pub(crate) failures: u32,
    /// Consecutive write conflicts.
    pub(crate) conflicts: u32,
    /// Whether the page may lack budget totals of the configuration.
    pub(crate) totals_stale: bool,
    /// The confirmed writes, in case the store is restored from an older copy.
    pub(crate) kept: KeptWrites,
    /// Whether the store was restored, and confirmed writes may be missing.
    pub(crate) is_restored: bool,
    /// When tokens may be taken from the balance of a restored page.
    pub(crate) settles_at: Option<Timestamp>,
    /// The time of the page's timer.
    pub(crate) wake_at: Option<Timestamp>,
}

impl PageState {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            grants: BTreeMap::new(),
            operation: Operation::Idle,
            pending: None,
            sequence: 0,
            revision: 0,
            cached: None,
            version: 0,
            size: 0,
            read_at: None,
            processed_at: None,
            written_at: now,
            dirty_since: None,
            retry_at: Timestamp::default(),
            failures: 0,
            conflicts: 0,
            totals_stale: false,
            kept: KeptWrites::default(),
            is_restored: false,
            settles_at: None,
            wake_at: None,
        }
    }

    /// Returns the maximum interval between writes of a page with grants.
    pub(crate) fn refresh_after(&self, policy: &HolderPolicy) -> Millis {
        let used = |grant: &Grant| !grant.is_idle() || grant.used_at > self.written_at;
        match self.grants.values().any(used) {
            true => policy.refresh_interval,
            false => policy.refresh_idle,
        }
    }

    pub(crate) fn mark_dirty(&mut self, now: Timestamp) {
        self.dirty_since.get_or_insert(now);
    }

    /// Applies the effects of the pending write, which has taken effect.
    pub(crate) fn confirm(&mut self, now: Timestamp) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.version = pending.content.version();
        self.totals_stale = false;
        self.written_at = now;
        if let Operation::Writing(since) = self.operation {
            // A successful write implies that the page matched the store when the write was sent.
            self.read_at = self.read_at.max(Some(since));
        }
        for grant in self.grants.values_mut() {
            grant.limits.confirm();
        }
        self.cached = Some(pending.content);
        if pending.restores {
            self.is_restored = false;
            self.kept.renew(now);
        }
        let mut changes = Vec::new();
        for effect in pending.effects {
            let Some(grant) = self.grants.get_mut(&effect.budget) else {
                continue;
            };
            let removed = effect.returned + effect.billed;
            grant.held = (grant.held + effect.granted).saturating_sub(removed);
            grant.returning = Tokens::ZERO;
            let settled = grant.unbilled.drain(..effect.bill_count).map(|request| request.bill);
            let bills: Vec<_> = settled.filter(|bill| bill.used > Tokens::ZERO).collect();
            grant.unsettled -= bills.iter().map(|bill| bill.used).sum();
            let Effect { budget, granted, returned, .. } = effect;
            changes.push(BudgetChange { budget, bills, granted, returned });
        }
        self.kept.add(now, pending.sequence, changes);
    }

    /// Discards the pending write, which can no longer take effect.
    pub(crate) fn discard(&mut self, now: Timestamp) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        for grant in self.grants.values_mut() {
            grant.limits.discard();
        }
        for effect in pending.effects {
            if let Some(grant) = self.grants.get_mut(&effect.budget) {
                grant.returning = Tokens::ZERO;
            }
        }
        self.mark_dirty(now);
    }
}
