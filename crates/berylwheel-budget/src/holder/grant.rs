//! The tokens that a holder has of one budget.

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
use crate::holder::limit::SpendLimits;
use crate::holder::retry_delay::RefusalPeriod;
use crate::rate::SpendRate;

/// Length of the two windows for the largest recent reservation. A reservation is counted for one
/// to two windows.
const RECENT_WINDOW: Millis = Millis(600_000);

/// The admission of a request: its serial number, and the page version and time at that point.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Admission {
    pub(crate) serial: u64,
    pub(crate) version: u64,
    pub(crate) at: Timestamp,
}

#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) admission: Admission,
    pub(crate) amount: Tokens,
    pub(crate) key: Option<BillKey>,
}

/// A finished request that is not billed on the page yet.
#[derive(Debug)]
pub(crate) struct UnbilledRequest {
    pub(crate) admission: Admission,
    pub(crate) bill: Bill,
}

#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) request: RequestId,
    pub(crate) amount: Tokens,
    pub(crate) key: Option<BillKey>,
    pub(crate) arrived: Timestamp,
    pub(crate) until: Timestamp,
    /// The time after which the caller no longer needs a response.
    pub(crate) deadline: Timestamp,
    /// Holders that were asked for a loan so far.
    pub(crate) asked_lenders: Vec<Incarnation>,
    /// Whether a response from one of them is outstanding.
    pub(crate) loan_pending: bool,
}

/// A round of recalls, with the write sequence of each recipient when the recall was sent.
#[derive(Debug)]
pub(crate) struct RecallRound {
    pub(crate) started: Timestamp,
    pub(crate) until: Timestamp,
    pub(crate) recipients: Vec<(Incarnation, u64)>,
}

#[derive(Debug)]
pub(crate) struct Grant {
    /// The serial number of the next request.
    pub(crate) next_serial: u64,
    /// Outstanding tokens of this holder's row on the last page seen.
    pub(crate) held: Tokens,
    /// Tokens that the pending write returns. The write may have taken effect, so they are not
    /// free.
    pub(crate) returning: Tokens,
    pub(crate) reserved: Tokens,
    pub(crate) unsettled: Tokens,
    pub(crate) reservations: FastMap<RequestId, Reservation>,
    /// Unbilled requests in the order in which they finished. A write bills a prefix of them.
    pub(crate) unbilled: Vec<UnbilledRequest>,
    pub(crate) waiters: VecDeque<Waiter>,
    pub(crate) recall: Option<RecallRound>,
    pub(crate) next_recall: Timestamp,
    /// The delay after the last recall round that did not free enough tokens.
    pub(crate) recall_delay: Millis,
    pub(crate) recalled: bool,
    /// The current period in which requests are refused because other holders have the tokens.
    pub(crate) held_elsewhere: RefusalPeriod,
    /// The other holders on the last page seen, in descending order of their tokens.
    pub(crate) other_holders: Vec<Incarnation>,
    /// Until this time, no tokens are held beyond what requests need.
    pub(crate) spare_after: Timestamp,
    pub(crate) rate: SpendRate,
    /// Tokens used by all finished requests since the grant was created.
    pub(crate) total_used: Tokens,
    pub(crate) limits: SpendLimits,
    recent_max: [Tokens; 2],
    window_start: Timestamp,
    pub(crate) used_at: Timestamp,
}

impl Grant {
    pub(crate) fn new(now: Timestamp, next_serial: u64, policy: &HolderPolicy) -> Self {
        Self {
            next_serial,
            held: Tokens::ZERO,
            returning: Tokens::ZERO,
            reserved: Tokens::ZERO,
            unsettled: Tokens::ZERO,
            reservations: FastMap::default(),
            unbilled: Vec::new(),
            waiters: VecDeque::new(),
            recall: None,
            next_recall: Timestamp::default(),
            recall_delay: Millis(0),
            recalled: false,
            held_elsewhere: RefusalPeriod::default(),
            other_holders: Vec::new(),
            spare_after: Timestamp::default(),
            rate: SpendRate::new(now, policy),
            total_used: Tokens::ZERO,
            limits: SpendLimits::default(),
            recent_max: [Tokens::ZERO; 2],
            window_start: now,
            used_at: now,
        }
    }

    /// Returns the tokens that are neither reserved, unsettled nor being returned.
    pub(crate) fn free(&self) -> Tokens {
        self.held.saturating_sub(self.returning + self.reserved + self.unsettled)
    }

    /// Returns the free tokens that the spend limits let a new reservation take now.
    pub(crate) fn available_now(&self, now: Timestamp, policy: &HolderPolicy) -> Tokens {
        let remaining =
            self.limits.remaining(now, policy.lock_time, self.total_used + self.reserved);
        self.free().min(remaining)
    }

    /// Returns when a reservation of `amount` can start without a further write, given `ahead`
    /// tokens for requests queued before it. Returns `None` if the free tokens do not cover both,
    /// or if the spend limits never allow it.
    pub(crate) fn unlocked_at(
        &self,
        amount: Tokens,
        ahead: Tokens,
        policy: &HolderPolicy,
    ) -> Option<Timestamp> {
        let total = self.total_used + self.reserved + ahead + amount;
        self.limits.reached_at(total, policy.lock_time).filter(|_| ahead + amount <= self.free())
    }

    /// Returns when the tokens for `waiter` and all waiters before it are unlocked, if that is
    /// before its deadline.
    pub(crate) fn waiter_unlocked_at(
        &self,
        waiter: &Waiter,
        policy: &HolderPolicy,
    ) -> Option<Timestamp> {
        let before = self.waiters.iter().take_while(|other| other.request != waiter.request);
        let ahead = before.map(|other| other.amount).sum();
        self.unlocked_at(waiter.amount, ahead, policy).filter(|at| *at < waiter.deadline)
    }

    /// Returns whether a request waits for free tokens that are still locked.
    pub(crate) fn is_locked(&self, now: Timestamp, policy: &HolderPolicy) -> bool {
        let (free, available) = (self.free(), self.available_now(now, policy));
        self.waiters.iter().any(|waiter| available < waiter.amount && waiter.amount <= free)
    }

    /// Returns the largest recent reservation.
    pub(crate) fn max_reservation(&self) -> Tokens {
        self.recent_max[0].max(self.recent_max[1])
    }

    pub(crate) fn record_amount(&mut self, now: Timestamp, amount: Tokens) {
        if now.since(self.window_start) > RECENT_WINDOW {
            self.recent_max = [Tokens::ZERO, self.recent_max[0]];
            self.window_start = now;
        }
        if self.max_reservation() == Tokens::ZERO {
            self.rate.restart_if_unused(now);
        }
        self.recent_max[0] = self.recent_max[0].max(amount);
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
        let admission = Admission { serial: self.next_serial, version, at };
        self.next_serial += 1;
        self.reserved += amount;
        self.reservations.insert(request, Reservation { admission, amount, key });
    }

    /// Ends a reservation. Its usage, capped at the reserved amount, becomes unsettled.
    pub(crate) fn finish(&mut self, now: Timestamp, request: &RequestId, used: Tokens) {
        let Some(reservation) = self.reservations.remove(request) else {
            return;
        };
        let Reservation { admission, amount, key } = reservation;
        let used = used.min(amount);
        self.reserved -= amount;
        // A request without usage is settled too: an engine may have recorded usage that was not
        // delivered, and a reclaim must not bill it.
        self.unsettled += used;
        self.total_used += used;
        let bill = Bill { serial: admission.serial, key, used };
        self.unbilled.push(UnbilledRequest { admission, bill });
        self.rate.add(now, used);
        self.used_at = now;
    }

    /// Returns the admissions that remain unsettled after a write of the first `bill_count` bills.
    pub(crate) fn unsettled_after(&self, bill_count: usize) -> impl Iterator<Item = Admission> {
        let unbilled = self.unbilled.iter().skip(bill_count).map(|request| request.admission);
        self.reservations.values().map(|reservation| reservation.admission).chain(unbilled)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.held == Tokens::ZERO && self.is_idle() && self.waiters.is_empty()
    }

    /// Returns whether no request is running or unbilled.
    pub(crate) fn is_idle(&self) -> bool {
        self.reservations.is_empty() && self.unbilled.is_empty()
    }
}
