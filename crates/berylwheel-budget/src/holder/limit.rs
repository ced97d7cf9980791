//! Limits on what a holder spends after a write of the page.
//!
//! Each write promises that the holder spends no more than its row's `open` tokens until
//! [`crate::HolderPolicy::lock`] has gone by, and from then on no more than its row's `pace` a second
//! besides. So a holder can hold much for an outage of the store, and when it is killed, the next
//! process at its address can return all but what the promise had opened by then.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

/// Returns the tokens that `pace` tokens a second open in `span`.
pub(crate) fn opened_in(pace: Tokens, span: Millis) -> Tokens {
    Tokens((u128::from(pace.0) * u128::from(span.0) / 1_000) as u64)
}

/// The promise of one write, in tokens that were ever spent out of the grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SpendLimit {
    pub(crate) cap: Tokens,
    /// Tokens a second that are opened once the lock is over.
    pub(crate) pace: Tokens,
    pub(crate) since: Timestamp,
}

impl SpendLimit {
    fn cap_at(&self, now: Timestamp, lock: Millis) -> Tokens {
        self.cap + opened_in(self.pace, now.since(self.since + lock))
    }

    /// Returns when `total` tokens may have been spent, unless that is never.
    fn reaches(&self, total: Tokens, lock: Millis) -> Option<Timestamp> {
        let missing = total.saturating_sub(self.cap);
        if missing == Tokens::ZERO {
            return Some(self.since);
        }
        let span = (u128::from(missing.0) * 1_000).div_ceil(u128::from(self.pace.0.max(1)));
        let span = u64::try_from(span).ok().filter(|_| self.pace > Tokens::ZERO)?;
        Some(self.since + lock + Millis(span))
    }
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

    fn all(&self) -> impl Iterator<Item = SpendLimit> {
        [self.confirmed, self.pending].into_iter().flatten()
    }

    /// Returns what may be spent at `now` when `spent` was spent so far.
    pub(crate) fn room(&self, now: Timestamp, lock: Millis, spent: Tokens) -> Tokens {
        let caps = self.all().map(|limit| limit.cap_at(now, lock));
        caps.min().map_or(Tokens(u64::MAX), |cap| cap.saturating_sub(spent))
    }

    /// Returns when `total` tokens may have been spent, if promises are in force and that is ever.
    pub(crate) fn reaches(&self, total: Tokens, lock: Millis) -> Option<Timestamp> {
        let times: Option<Vec<Timestamp>> = self.all().map(|l| l.reaches(total, lock)).collect();
        times?.into_iter().max()
    }
}
