//! Spend limits that bound how much of a grant a holder can spend after each page write.
//!
//! Each write records a limit on the page: until [`crate::HolderPolicy::lock_time`] has elapsed,
//! the holder spends at most the `open` tokens of its row, and after that additionally at most
//! `pace` tokens per second. This lets a holder keep a large grant for a store outage. If it is
//! killed, the next process at its address can return all tokens except those that the limit had
//! unlocked by then.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

/// Returns the tokens that are unlocked within `span` at `pace` tokens per second.
pub(crate) fn unlocked_in(pace: Tokens, span: Millis) -> Tokens {
    Tokens((u128::from(pace.0) * u128::from(span.0) / 1_000) as u64)
}

/// The spend limit of one write, as a cap on the cumulative spend of the grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SpendLimit {
    pub(crate) cap: Tokens,
    /// Tokens unlocked per second after the lock time.
    pub(crate) pace: Tokens,
    pub(crate) since: Timestamp,
}

impl SpendLimit {
    fn cap_at(&self, now: Timestamp, lock_time: Millis) -> Tokens {
        self.cap + unlocked_in(self.pace, now.since(self.since + lock_time))
    }

    /// Returns when the cap reaches `total`, or `None` if it never does.
    fn reached_at(&self, total: Tokens, lock_time: Millis) -> Option<Timestamp> {
        let missing = total.saturating_sub(self.cap);
        if missing == Tokens::ZERO {
            return Some(self.since);
        }
        let span = (u128::from(missing.0) * 1_000).div_ceil(u128::from(self.pace.0.max(1)));
        let span = u64::try_from(span).ok().filter(|_| self.pace > Tokens::ZERO)?;
        Some(self.since + lock_time + Millis(span))
    }
}

/// The limits in force: that of the last confirmed write, and that of a pending write, which may
/// have taken effect.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SpendLimits {
    confirmed: Option<SpendLimit>,
    pending: Option<SpendLimit>,
}

impl SpendLimits {
    /// Adds the limit of a write that is about to be sent.
    pub(crate) fn set_pending(&mut self, limit: SpendLimit) {
        self.pending = Some(limit);
    }

    /// Replaces the previous limit by that of the pending write, which has taken effect.
    pub(crate) fn confirm(&mut self) {
        self.confirmed = self.pending.take().or(self.confirmed);
    }

    /// Removes the limit of the pending write, which can no longer take effect.
    pub(crate) fn discard(&mut self) {
        self.pending = None;
    }

    fn all(&self) -> impl Iterator<Item = SpendLimit> {
        [self.confirmed, self.pending].into_iter().flatten()
    }

    /// Returns the tokens that may still be spent at `now` when `spent` tokens have been spent.
    pub(crate) fn remaining(&self, now: Timestamp, lock_time: Millis, spent: Tokens) -> Tokens {
        let caps = self.all().map(|limit| limit.cap_at(now, lock_time));
        caps.min().map_or(Tokens(u64::MAX), |cap| cap.saturating_sub(spent))
    }

    /// Returns when the caps of all limits reach `total`. Returns `None` if one never does or if no
    /// limit is in force.
    pub(crate) fn reached_at(&self, total: Tokens, lock_time: Millis) -> Option<Timestamp> {
        let times: Option<Vec<Timestamp>> =
            self.all().map(|limit| limit.reached_at(total, lock_time)).collect();
        times?.into_iter().max()
    }
}
