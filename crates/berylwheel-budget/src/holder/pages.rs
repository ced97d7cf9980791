//! A holder's view of one ledger page and the write that is under way.

use std::collections::BTreeMap;

use berylwheel_types::BudgetId;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::grant::Grant;
use crate::HolderPolicy;
use crate::LedgerPage;

/// The operation in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Idle,
    Reading(Timestamp),
    Writing(Timestamp),
}

/// What a write changes for one budget.
#[derive(Debug)]
pub(crate) struct Effect {
    pub(crate) budget: BudgetId,
    /// Number of bills, from the first of `Grant::spent`.
    pub(crate) covered: usize,
    pub(crate) billed: Tokens,
    pub(crate) granted: Tokens,
    pub(crate) returned: Tokens,
}

/// A write whose outcome is not known yet.
///
/// Until it is, the same content goes out again under the same sequence number, so the page can
/// take it at most once.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) sequence: u64,
    pub(crate) expected: u64,
    pub(crate) content: LedgerPage,
    pub(crate) effects: Vec<Effect>,
}

#[derive(Debug)]
pub(crate) struct PageState {
    pub(crate) grants: BTreeMap<BudgetId, Grant>,
    pub(crate) step: Step,
    pub(crate) pending: Option<PendingWrite>,
    /// The last sequence number used, whether its write took effect or not.
    pub(crate) sequence: u64,
    pub(crate) revision: u64,
    /// The page at that revision, if a write may be based on it without a read.
    pub(crate) cached: Option<LedgerPage>,
    pub(crate) version: u64,
    /// About how many bytes the page takes.
    pub(crate) size: u64,
    /// When the latest read was asked for.
    pub(crate) read_at: Option<Timestamp>,
    /// When the page was last looked at, by a read or as the last write left it.
    pub(crate) seen_at: Option<Timestamp>,
    pub(crate) written_at: Timestamp,
    /// When the first unsettled change arose.
    pub(crate) dirty: Option<Timestamp>,
    pub(crate) retry_at: Timestamp,
    pub(crate) failures: u32,
    /// Writes in a row that another holder's came before.
    pub(crate) losses: u32,
    /// Whether the page may lack totals that the configuration states.
    pub(crate) restate: bool,
    /// When the page is looked at next.
    pub(crate) wake: Option<Timestamp>,
}

impl PageState {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            grants: BTreeMap::new(),
            step: Step::Idle,
            pending: None,
            sequence: 0,
            revision: 0,
            cached: None,
            version: 0,
            size: 0,
            read_at: None,
            seen_at: None,
            written_at: now,
            dirty: None,
            retry_at: Timestamp::default(),
            failures: 0,
            losses: 0,
            restate: false,
            wake: None,
        }
    }

    /// Returns the time after which a page with grants is written again.
    pub(crate) fn refresh_after(&self, policy: &HolderPolicy) -> Millis {
        let used = |grant: &Grant| !grant.is_quiet() || grant.used_at > self.written_at;
        match self.grants.values().any(used) {
            true => policy.refresh,
            false => policy.refresh_quiet,
        }
    }

    pub(crate) fn mark_dirty(&mut self, now: Timestamp) {
        self.dirty.get_or_insert(now);
    }

    /// Applies the pending write, which has taken effect.
    pub(crate) fn confirm(&mut self, now: Timestamp) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.version = pending.content.version();
        self.restate = false;
        self.written_at = now;
        if let Step::Writing(since) = self.step {
            // The page was as expected when the write arrived, so it is known as of then.
            self.read_at = self.read_at.max(Some(since));
        }
        for grant in self.grants.values_mut() {
            grant.limits.confirm();
        }
        self.cached = Some(pending.content);
        for effect in pending.effects {
            let Some(grant) = self.grants.get_mut(&effect.budget) else {
                continue;
            };
            let gone = effect.returned + effect.billed;
            grant.held = (grant.held + effect.granted).saturating_sub(gone);
            grant.leaving = Tokens::ZERO;
            let settled: Tokens = grant.spent.drain(..effect.covered).map(|s| s.bill.used).sum();
            grant.unsettled -= settled;
        }
    }

    /// Drops the pending write, which can no longer take effect.
    pub(crate) fn discard(&mut self, now: Timestamp) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        for grant in self.grants.values_mut() {
            grant.limits.discard();
        }
        for effect in pending.effects {
            if let Some(grant) = self.grants.get_mut(&effect.budget) {
                grant.leaving = Tokens::ZERO;
            }
        }
        self.mark_dirty(now);
    }
}
