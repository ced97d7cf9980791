//! Guaranteed minimum shares of the ranks, enforced with per-rank credit in tokens.

use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Timestamp;

use crate::SchedulePolicy;
use crate::estimate::DecayedSum;

/// Credit of each rank. A rank with positive credit is below its minimum share.
#[derive(Debug)]
pub(crate) struct MinimumShares {
    credit: [f64; 3],
    min_shares: [f64; 3],
    window: Millis,
    /// Tokens charged to all ranks in the window.
    recent_tokens: DecayedSum,
}

impl MinimumShares {
    pub(crate) fn new(policy: &SchedulePolicy) -> Self {
        let mut shares = Self {
            credit: [0.0; 3],
            min_shares: [0.0; 3],
            window: Millis(0),
            recent_tokens: DecayedSum::new(),
        };
        shares.set_policy(policy);
        shares
    }

    pub(crate) fn set_policy(&mut self, policy: &SchedulePolicy) {
        let min_shares = policy.ranks.map(|r| r.min_share.fraction());
        let total = min_shares.iter().sum::<f64>().max(1.0);
        self.min_shares = min_shares.map(|share| share / total);
        self.window = policy.share_window;
    }

    pub(crate) fn credit(&self, rank: Rank) -> f64 {
        self.credit[rank.index()]
    }

    pub(crate) fn min_share(&self, rank: Rank) -> f64 {
        self.min_shares[rank.index()]
    }

    /// Returns the rank to serve next among the `ready` ranks: the most urgent one below its
    /// minimum share, or else the most urgent one.
    pub(crate) fn next_rank(&self, ready: [bool; 3]) -> Option<Rank> {
        let ready = || Rank::ALL.into_iter().filter(|r| ready[r.index()]);
        ready().find(|r| self.credit(*r) > 0.0).or_else(|| ready().next())
    }

    /// Charges `rank` for starting a request of `cost` tokens. Ranks in `ready` had a request that
    /// could start; ranks in `idle` had empty queues.
    pub(crate) fn charge(
        &mut self,
        now: Timestamp,
        rank: Rank,
        cost: f64,
        ready: [bool; 3],
        idle: [bool; 3],
    ) {
        self.recent_tokens.add(now, self.window, cost);
        for i in 0..3 {
            if ready[i] {
                self.credit[i] += self.min_shares[i] * cost;
            } else if idle[i] {
                // An idle rank keeps no credit. A rank whose backend servers are busy does keep it:
                // requests started on other servers must not reduce its minimum share.
                self.credit[i] = self.credit[i].min(0.0);
            }
        }
        let i = rank.index();
        // Debt is limited to the rank's minimum share of the window, so that a rank that used idle
        // capacity for hours gets its minimum share back soon after the other ranks need theirs.
        let max_debt = (self.min_shares[i] * self.recent_tokens.value(now, self.window)).max(cost);
        self.credit[i] = (self.credit[i] - cost).max(-max_debt);
    }

    /// Reverses the charge of a request that is queued again.
    ///
    /// This reduces debt but never creates credit. Because debt is capped, the charges may add up
    /// to more than the recorded debt.
    pub(crate) fn reverse_charge(&mut self, rank: Rank, charge: f64) {
        let credit = &mut self.credit[rank.index()];
        *credit = (*credit + charge).min(credit.max(0.0));
    }

    /// Refunds tokens that were charged but not used; negative if more were used than charged.
    ///
    /// Because debt is capped, refunds may exceed the recorded debt. Credit and debt created here
    /// are therefore capped in the same way, based on the tokens in the window less the refund.
    pub(crate) fn refund(&mut self, now: Timestamp, rank: Rank, tokens: f64) {
        let i = rank.index();
        self.recent_tokens.add(now, self.window, -tokens);
        let limit = self.min_shares[i] * self.recent_tokens.value(now, self.window);
        let credit = self.credit[i];
        self.credit[i] = (credit + tokens).clamp(credit.min(-limit), credit.max(limit));
    }
}
