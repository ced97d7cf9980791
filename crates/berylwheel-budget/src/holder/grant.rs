//! A holder's part of one budget.

use std::collections::VecDeque;

use berylwheel_types::BillKey;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::HolderPolicy;
use crate::account::Bill;
use crate::holder::again::Shortage;
use crate::holder::limit::SpendLimits;
use crate::rate::SpendRate;

/// A reservation counts as recent for one to two of these.
const RECENT: Millis = Millis(600_000);

/// The page version and the time at which a request was admitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Admitted {
    pub(crate) serial: u64,
    pub(crate) version: u64,
    pub(crate) at: Timestamp,
}

#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) admitted: Admitted,
    pub(crate) amount: Tokens,
    pub(crate) key: Option<BillKey>,
}

/// A finished request that the page has not billed yet.
#[derive(Debug)]
pub(crate) struct Spent {
    pub(crate) admitted: Admitted,
    pub(crate) bill: Bill,
}

#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) request: RequestId,
    pub(crate) amount: Tokens,
    pub(crate) key: Option<BillKey>,
    pub(crate) arrived: Timestamp,
    pub(crate) until: Timestamp,
    /// When an answer is of no use any more.
    pub(crate) deadline: Timestamp,
    /// Holders that were asked for a loan.
    pub(crate) asked: Vec<Incarnation>,
    /// Whether one of them has not answered yet.
    pub(crate) asking: bool,
}

/// Recalls that are out, with each holder's write sequence when it was asked.
#[derive(Debug)]
pub(crate) struct RecallRound {
    pub(crate) started: Timestamp,
    pub(crate) until: Timestamp,
    pub(crate) asked: Vec<(Incarnation, u64)>,
}

#[derive(Debug)]
pub(crate) struct Grant {
    /// The serial number of the next request.
    pub(crate) next_serial: u64,
    /// The row's outstanding tokens as of the last page seen.
    pub(crate) held: Tokens,
    /// Tokens of a return that is being written. They may be gone already, so they are not free.
    pub(crate) leaving: Tokens,
    pub(crate) reserved: Tokens,
    pub(crate) unsettled: Tokens,
    pub(crate) reservations: FastMap<RequestId, Reservation>,
    /// In the order of finishing; a write covers a prefix.
    pub(crate) spent: Vec<Spent>,
    pub(crate) waiters: VecDeque<Waiter>,
    pub(crate) round: Option<RecallRound>,
    pub(crate) next_round: Timestamp,
    /// The pause after the next recall round without success.
    pub(crate) round_gap: Millis,
    pub(crate) recalled: bool,
    /// Since when requests are refused because other holders keep the tokens.
    pub(crate) kept: Shortage,
    /// The other holders as of the last page seen, those with the most tokens first.
    pub(crate) others: Vec<Incarnation>,
    /// Until then no tokens are held beyond what requests need.
    pub(crate) spare_after: Timestamp,
    pub(crate) rate: SpendRate,
    /// What requests that ended have used, since the grant began.
    pub(crate) total: Tokens,
    pub(crate) limits: SpendLimits,
    largest: [Tokens; 2],
    largest_since: Timestamp,
    pub(crate) used_at: Timestamp,
}

impl Grant {
    pub(crate) fn new(now: Timestamp, next_serial: u64, policy: &HolderPolicy) -> Self {
        Self {
            next_serial,
            held: Tokens::ZERO,
            leaving: Tokens::ZERO,
            reserved: Tokens::ZERO,
            unsettled: Tokens::ZERO,
            reservations: FastMap::default(),
            spent: Vec::new(),
            waiters: VecDeque::new(),
            round: None,
            next_round: Timestamp::default(),
            round_gap: Millis(0),
            recalled: false,
            kept: Shortage::default(),
            others: Vec::new(),
            spare_after: Timestamp::default(),
            rate: SpendRate::new(now, policy),
            total: Tokens::ZERO,
            limits: SpendLimits::default(),
            largest: [Tokens::ZERO; 2],
            largest_since: now,
            used_at: now,
        }
    }

    /// Returns what a new reservation can take.
    pub(crate) fn free(&self) -> Tokens {
        self.held.saturating_sub(self.leaving + self.reserved + self.unsettled)
    }

    /// Returns what a new reservation can take now.
    pub(crate) fn room(&self, now: Timestamp, policy: &HolderPolicy) -> Tokens {
        let room = self.limits.room(now, policy.lock, self.total + self.reserved);
        self.free().min(room)
    }

    /// Returns when a reservation of `amount` can start without a write, if it has only to wait behind
    /// `ahead` tokens of others.
    pub(crate) fn unlocked_at(
        &self,
        amount: Tokens,
        ahead: Tokens,
        policy: &HolderPolicy,
    ) -> Option<Timestamp> {
        let total = self.total + self.reserved + ahead + amount;
        self.limits.reaches(total, policy.lock).filter(|_| ahead + amount <= self.free())
    }

    /// Returns when the tokens for `waiter` are unlocked, behind those for the waiters before it, if
    /// that is before its deadline.
    pub(crate) fn unlocked_for(&self, waiter: &Waiter, policy: &HolderPolicy) -> Option<Timestamp> {
        let before = self.waiters.iter().take_while(|other| other.request != waiter.request);
        let ahead = before.map(|other| other.amount).sum();
        self.unlocked_at(waiter.amount, ahead, policy).filter(|at| *at < waiter.deadline)
    }

    /// Returns whether requests wait for tokens that are in hand and locked.
    pub(crate) fn is_locked(&self, now: Timestamp, policy: &HolderPolicy) -> bool {
        let (free, room) = (self.free(), self.room(now, policy));
        self.waiters.iter().any(|waiter| room < waiter.amount && waiter.amount <= free)
    }

    /// Returns the largest recent reservation.
    pub(crate) fn largest(&self) -> Tokens {
        self.largest[0].max(self.largest[1])
    }

    pub(crate) fn note_amount(&mut self, now: Timestamp, amount: Tokens) {
        if now.since(self.largest_since) > RECENT {
            self.largest = [Tokens::ZERO, self.largest[0]];
            self.largest_since = now;
        }
        if self.largest() == Tokens::ZERO {
            self.rate.begin(now);
        }
        self.largest[0] = self.largest[0].max(amount);
        self.used_at = now;
    }

    pub(crate) fn admit(
        &mut self,
        request: RequestId,
        amount: Tokens,
        key: Option<BillKey>,
        version: u64,
        at: Timestamp,
    ) {
        let admitted = Admitted { serial: self.next_serial, version, at };
        self.next_serial += 1;
        self.reserved += amount;
        self.reservations.insert(request, Reservation { admitted, amount, key });
    }

    /// Ends a reservation. What it used up to the reserved amount waits for settlement.
    pub(crate) fn finish(&mut self, now: Timestamp, request: &RequestId, used: Tokens) {
        let Some(reservation) = self.reservations.remove(request) else {
            return;
        };
        let Reservation { admitted, amount, key } = reservation;
        let used = used.min(amount);
        self.reserved -= amount;
        // A request that used nothing is settled as well: an engine may have recorded usage that
        // was not delivered, which a reclaim must not bill.
        self.unsettled += used;
        self.total += used;
        let bill = Bill { serial: admitted.serial, key, used };
        self.spent.push(Spent { admitted, bill });
        self.rate.add(now, used);
        self.used_at = now;
    }

    /// Returns the admissions that a write covering `covered` bills leaves unsettled.
    pub(crate) fn unsettled_after(&self, covered: usize) -> impl Iterator<Item = Admitted> {
        let spent = self.spent.iter().skip(covered).map(|spent| spent.admitted);
        self.reservations.values().map(|reservation| reservation.admitted).chain(spent)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.held == Tokens::ZERO && self.is_quiet() && self.waiters.is_empty()
    }

    /// Returns whether no request runs and no bill is open.
    pub(crate) fn is_quiet(&self) -> bool {
        self.reservations.is_empty() && self.spent.is_empty()
    }
}
