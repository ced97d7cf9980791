//! Limits on what a holder spends for some time after a write of the page.
//!
//! Each write promises that the holder spends no more than its row's `open` tokens until
//! [`crate::HolderPolicy::lock`] has gone by. So a holder can hold much for an outage of the store, and
//! when it is killed while the store is there, the next process at its address can return all but
//! the open tokens: the promise was still in force when the process ended.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

/// The promise of one write, in tokens that were ever spent out of the grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SpendLimit {
    pub(crate) cap: Tokens,
    pub(crate) since: Timestamp,
}

/// The promises that are in force: that of the page as it was last confirmed, and that of a write
/// that may have taken effect.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SpendLimits {
    confirmed: Option<SpendLimit>,
    pending: Option<SpendLimit>,
}

impl SpendLimits {
    /// Makes the promise of a write that is sent now.
    pub(crate) fn promise(&mut self, limit: SpendLimit) {
        self.pending = Some(limit);
    }

    /// The write has taken effect, so that the promise before it counts no more.
    pub(crate) fn confirm(&mut self) {
        self.confirmed = self.pending.take().or(self.confirmed);
    }

    /// The write can no longer take effect.
    pub(crate) fn discard(&mut self) {
        self.pending = None;
    }

    /// Returns what may be spent at `now` when `spent` was spent so far.
    pub(crate) fn room(&self, now: Timestamp, lock: Millis, spent: Tokens) -> Tokens {
        let limits = [self.confirmed, self.pending].into_iter().flatten();
        let caps = limits.filter(|limit| now < limit.since + lock).map(|limit| limit.cap);
        caps.min().map_or(Tokens(u64::MAX), |cap| cap.saturating_sub(spent))
    }

    /// Returns when no promise is in force any more, if there is one.
    pub(crate) fn unlocked_at(&self, lock: Millis) -> Option<Timestamp> {
        let limits = [self.confirmed, self.pending].into_iter().flatten();
        limits.map(|limit| limit.since + lock).max()
    }
}
