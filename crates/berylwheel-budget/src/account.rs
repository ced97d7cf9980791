//! The account of one budget on a ledger page.

use std::collections::BTreeMap;

use berylwheel_types::BillKey;
use berylwheel_types::CreditId;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::AuditEntry;
use crate::SerialSet;
use crate::holder::unlocked_in;
use crate::keys;

/// Time after a bill for which a retry under the same bill key is recognised.
pub(crate) const RETRY_WINDOW: Millis = Millis(600_000);

/// Maximum clock skew between two VMs that comparisons of page times allow for.
pub(crate) const CLOCK_SKEW: Millis = Millis(60_000);

/// Maximum number of audit entries per budget. Older entries are removed to bound the page size.
const AUDIT_LIMIT: usize = 64;

/// Maximum number of credit ids per budget, enough for more than a month of hourly top-ups.
pub(crate) const CREDIT_LIMIT: usize = 1_024;

/// The tokens that one incarnation holds of a budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Tokens moved from the balance to this holder.
    pub granted: Tokens,
    /// Tokens moved back to the balance.
    pub returned: Tokens,
    /// Tokens billed out of the grant.
    pub settled: Tokens,
    /// The holder's estimate of its spend per hour.
    pub hourly: Tokens,
    /// The page version that the holder knew when it admitted its oldest unsettled request.
    pub floor: u64,
    /// The time at which the holder admitted its oldest unsettled request.
    pub since: Timestamp,
    /// All requests with a serial number below this one are settled.
    pub serial: u64,
    /// The serial numbers of settled requests, at or above `serial`.
    pub done: SerialSet,
    /// The maximum that the holder spends during the lock time after its last write, `None` if
    /// there is no limit.
    pub open: Option<Tokens>,
    /// Additional tokens per second that the holder may spend after the lock time.
    pub pace: Tokens,
}

impl Row {
    /// Returns the tokens that the holder can still spend or return.
    pub fn outstanding(&self) -> Tokens {
        self.granted.saturating_sub(self.returned + self.settled)
    }

    /// Returns the maximum that the holder can have spent since its last write, which is `age` old.
    /// Only the open tokens may be spent within the lock time `lock_time`. The age is `None` if no
    /// clock can tell it.
    pub(crate) fn max_spent(&self, age: Option<Millis>, lock_time: Millis) -> Tokens {
        let Some(open) = self.open else { return self.outstanding() };
        let unlocked = match age {
            _ if self.pace == Tokens::ZERO => open,
            Some(age) => open + unlocked_in(self.pace, Millis(age.0.saturating_sub(lock_time.0))),
            None => return self.outstanding(),
        };
        unlocked.min(self.outstanding())
    }

    /// Returns whether the request with this serial number is settled.
    pub(crate) fn is_settled(&self, serial: u64) -> bool {
        serial < self.serial || self.done.contains(serial)
    }
}

/// The bill under a bill key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BilledAt {
    /// The page version that recorded the bill.
    pub version: u64,
    /// The time at which the bill was recorded.
    pub at: Timestamp,
}

/// The usage of one request, to be billed to a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bill {
    pub(crate) serial: u64,
    pub(crate) key: Option<BillKey>,
    pub(crate) used: Tokens,
}

/// The account of a budget.
///
/// Its invariant is `credited = balance + billed + outstanding`, where `outstanding` is the sum
/// over all rows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// All top-ups minus the parts of cuts that have been collected.
    pub credited: Tokens,
    /// Tokens that are not granted to a holder.
    pub balance: Tokens,
    /// Tokens billed in total.
    pub billed: Tokens,
    /// The part of cuts that is still to be collected from returned tokens and top-ups.
    pub owed: Tokens,
    /// Whether new grants are refused.
    pub closed: bool,
    /// Outstanding grants, by holder.
    pub rows: BTreeMap<Incarnation, Row>,
    /// Bill keys that a late or repeated settlement may still carry.
    #[serde(with = "keys")]
    pub keys: BTreeMap<BillKey, BilledAt>,
    /// Amount and time of applied top-ups and cuts, by id.
    pub credits: BTreeMap<CreditId, (Tokens, Timestamp)>,
    /// The latest changes, oldest first.
    pub audit: Vec<AuditEntry>,
    /// The configuration version that set the total, if it was set by a configuration.
    pub stated: Option<Version>,
}

impl Account {
    /// Returns the outstanding tokens of all holders.
    pub fn outstanding(&self) -> Tokens {
        self.rows.values().map(Row::outstanding).sum()
    }

    /// Returns the tokens that `holder` can still spend or return.
    pub fn held_by(&self, holder: &Incarnation) -> Tokens {
        self.rows.get(holder).map(Row::outstanding).unwrap_or_default()
    }

    /// Returns whether `credited = balance + billed + outstanding`, and no row has returned and
    /// settled more than it was granted.
    pub fn is_conserved(&self) -> bool {
        // The sums use 128 bits, since a corrupt page may hold any value.
        let wide = |tokens: Tokens| i128::from(tokens.0);
        let left = |row: &Row| wide(row.granted) - wide(row.returned) - wide(row.settled);
        let out: i128 = self.rows.values().map(left).sum();
        self.rows.values().all(|row| left(row) >= 0)
            && wide(self.credited) == wide(self.balance) + wide(self.billed) + out
    }

    /// Moves up to `amount` from the balance to `holder`, and returns the amount moved.
    pub(crate) fn grant(&mut self, holder: &Incarnation, amount: Tokens) -> Tokens {
        let amount = if self.closed { Tokens::ZERO } else { amount.min(self.balance) };
        if amount > Tokens::ZERO {
            self.balance -= amount;
            self.rows.entry(holder.clone()).or_default().granted += amount;
        }
        amount
    }

    /// Moves exactly `amount` to `holder`, as a write did that a restored store has lost.
    ///
    /// The balance may lack tokens that another holder had returned by a lost write. They are added
    /// to the account and owed to it until that holder has written its return again.
    pub(crate) fn grant_again(&mut self, holder: &Incarnation, amount: Tokens) {
        let missing = amount.saturating_sub(self.balance);
        self.credited += missing;
        self.owed += missing;
        self.balance = self.balance + missing - amount;
        self.rows.entry(holder.clone()).or_default().granted += amount;
    }

    /// Moves up to `amount` from `holder` back to the balance, and returns the amount moved. Owed
    /// tokens are then collected from the balance.
    pub(crate) fn return_tokens(&mut self, holder: &Incarnation, amount: Tokens) -> Tokens {
        let Some(row) = self.rows.get_mut(holder) else {
            return Tokens::ZERO;
        };
        let amount = amount.min(row.outstanding());
        row.returned += amount;
        self.balance += amount;
        self.collect_owed();
        amount
    }

    /// Collects owed tokens from the balance, as far as it covers them.
    pub(crate) fn collect_owed(&mut self) {
        let taken = self.owed.min(self.balance);
        self.owed -= taken;
        self.balance -= taken;
        self.credited -= taken;
    }

    /// Bills the usage of one request of `holder`, and returns the tokens billed.
    ///
    /// Nothing is billed if the request or its bill key has been billed before. Usage above the
    /// holder's outstanding tokens is billed only up to them.
    pub(crate) fn bill(
        &mut self,
        holder: &Incarnation,
        bill: &Bill,
        version: u64,
        now: Timestamp,
    ) -> Tokens {
        let Some(row) = self.rows.get_mut(holder) else {
            return Tokens::ZERO;
        };
        if row.is_settled(bill.serial) {
            return Tokens::ZERO;
        }
        row.done.insert(bill.serial);
        if bill.key.is_some_and(|key| self.keys.contains_key(&key)) {
            return Tokens::ZERO;
        }
        let amount = bill.used.min(row.outstanding());
        row.settled += amount;
        self.billed += amount;
        if let Some(key) = bill.key
            && amount > Tokens::ZERO
        {
            self.keys.insert(key, BilledAt { version, at: now });
        }
        amount
    }

    /// Removes rows without tokens, serial numbers below the `serial` of their row, and bill keys
    /// that no later settlement can carry.
    pub(crate) fn prune(&mut self, now: Timestamp) {
        self.rows.retain(|_, row| row.outstanding() > Tokens::ZERO);
        for row in self.rows.values_mut() {
            row.done.remove_below(row.serial);
        }
        let floor = self.rows.values().map(|row| row.floor).min();
        let since = self.rows.values().map(|row| row.since).min().unwrap_or(now).min(now);
        self.keys.retain(|_, billed_at| {
            // A retry admitted within the retry window may still be unsettled at a holder whose
            // floor is above the version of the bill, so admission times are compared too.
            let expired = since > billed_at.at + RETRY_WINDOW + CLOCK_SKEW;
            !expired || floor.is_some_and(|floor| floor <= billed_at.version)
        });
    }

    pub(crate) fn record(&mut self, entry: AuditEntry) {
        self.audit.push(entry);
        if self.audit.len() > AUDIT_LIMIT {
            self.audit.remove(0);
        }
    }
}
