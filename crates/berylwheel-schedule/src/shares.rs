//! Guaranteed minimum shares of the ranks, as credit counted in tokens.

use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Timestamp;

use crate::SchedulePolicy;
use crate::meter::DecayedSum;

/// Credit by rank. A rank with positive credit is under its minimum share.
#[derive(Debug)]
pub(crate) struct Shares {
    credit: [f64; 3],
    floors: [f64; 3],
    window: Millis,
    recent: DecayedSum,
}

impl Shares {
    pub(crate) fn new(policy: &SchedulePolicy) -> Self {
        let mut shares = Self {
            credit: [0.0; 3],
            floors: [0.0; 3],
            window: Millis(0),
            recent: DecayedSum::new(),
        };
        shares.set_policy(policy);
        shares
    }

    pub(crate) fn set_policy(&mut self, policy: &SchedulePolicy) {
        let floors = policy.ranks.map(|r| r.floor.fraction());
        let whole = floors.iter().sum::<f64>().max(1.0);
        self.floors = floors.map(|f| f / whole);
        self.window = policy.share_window;
    }

    pub(crate) fn credit(&self, rank: Rank) -> f64 {
        self.credit[rank.index()]
    }

    pub(crate) fn floor(&self, rank: Rank) -> f64 {
        self.floors[rank.index()]
    }

    /// Returns the rank to serve among those with `ready` work.
    pub(crate) fn choose(&self, ready: [bool; 3]) -> Option<Rank> {
        let ready = || Rank::ALL.into_iter().filter(|r| ready[r.index()]);
        ready().find(|r| self.credit(*r) > 0.0).or_else(|| ready().next())
    }

    /// Accounts for the start of `cost` tokens of `rank`. The ranks in `ready` had work that could
    /// start, those in `idle` had no work.
    pub(crate) fn started(
        &mut self,
        now: Timestamp,
        rank: Rank,
        cost: f64,
        ready: [bool; 3],
        idle: [bool; 3],
    ) {
        self.recent.add(now, self.window, cost);
        for i in 0..3 {
            if ready[i] {
                self.credit[i] += self.floors[i] * cost;
            } else if idle[i] {
                // A rank saves up nothing while it has no work. One whose servers are busy keeps
                // its credit: work for other servers must not cost it its minimum share.
                self.credit[i] = self.credit[i].min(0.0);
            }
        }
        let i = rank.index();
        // Borrowed capacity is held against the rank for the window only, so that a rank which
        // borrowed for hours has its minimum back soon after the others need theirs.
        let debt = (self.floors[i] * self.recent.value(now, self.window)).max(cost);
        self.credit[i] = (self.credit[i] - cost).max(-debt);
    }

    /// Gives back the charge of work that is queued again. This clears debt and earns no credit:
    /// the debt was bounded, so the charges together may be more than what was counted.
    pub(crate) fn undo(&mut self, rank: Rank, charge: f64) {
        let credit = &mut self.credit[rank.index()];
        *credit = (*credit + charge).min(credit.max(0.0));
    }

    /// Gives back tokens that were charged and not used; negative if more were used.
    ///
    /// Debt is bounded, so the tokens given back may be more than what was counted. Credit and debt
    /// that arise here are therefore bounded in the same way, by the tokens of the window without
    /// those given back.
    pub(crate) fn refund(&mut self, now: Timestamp, rank: Rank, tokens: f64) {
        let i = rank.index();
        self.recent.add(now, self.window, -tokens);
        let most = self.floors[i] * self.recent.value(now, self.window);
        let credit = self.credit[i];
        self.credit[i] = (credit + tokens).clamp(credit.min(-most), credit.max(most));
    }
}
