//! One budget on a ledger page.

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
use crate::Serials;
use crate::holder::opened_in;
use crate::keys;

/// A retry under the same bill key is recognised for this long after the bill.
pub(crate) const RETRY_WINDOW: Millis = Millis(600_000);

/// Allowance for the difference between the clocks of two VMs when times on a page are compared.
pub(crate) const CLOCK_SKEW: Millis = Millis(60_000);

/// Audit entries kept per budget; older ones are dropped to bound the size of a page.
const AUDIT_LIMIT: usize = 64;

/// Credit ids kept per budget, more than a month of hourly top-ups.
pub(crate) const CREDIT_LIMIT: usize = 1_024;

/// What one incarnation holds of a budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Tokens moved out of the balance to this holder.
    pub granted: Tokens,
    /// Tokens moved back to the balance.
    pub returned: Tokens,
    /// Tokens billed out of the grant.
    pub settled: Tokens,
    /// The holder's estimate of what it spends in an hour.
    pub hourly: Tokens,
    /// The page version known when the holder's oldest unsettled request was admitted.
    pub floor: u64,
    /// When the holder's oldest unsettled request was admitted.
    pub since: Timestamp,
    /// Every request of the holder with a serial number below this is settled.
    pub serial: u64,
    /// Serial numbers at or above `serial` that are settled.
    pub done: Serials,
    /// The most that the holder spends for some time after its last write; everything if not stated.
    pub open: Option<Tokens>,
    /// Tokens a second that the holder may spend besides once that time is over.
    pub pace: Tokens,
}

impl Row {
    /// Returns what the holder can still spend or return.
    pub fn outstanding(&self) -> Tokens {
        self.granted.saturating_sub(self.returned + self.settled)
    }

    /// Returns the most that the holder has spent when its last write is `age` old and `lock` is the
    /// time for which only the open tokens may be spent.
    pub(crate) fn opened(&self, age: Millis, lock: Millis) -> Tokens {
        let Some(open) = self.open else { return self.outstanding() };
        let opened = open + opened_in(self.pace, Millis(age.0.saturating_sub(lock.0)));
        opened.min(self.outstanding())
    }

    /// Returns whether the request with this serial number is settled.
    pub(crate) fn is_settled(&self, serial: u64) -> bool {
        serial < self.serial || self.done.contains(serial)
    }
}

/// When a bill key was billed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyMark {
    /// The version of the page that billed it.
    pub version: u64,
    /// The time of the bill.
    pub at: Timestamp,
}

/// A usage to bill to a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bill {
    pub(crate) serial: u64,
    pub(crate) key: Option<BillKey>,
    pub(crate) used: Tokens,
}

/// A budget: `credited = balance + billed + sum of outstanding rows`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// All top-ups less all cuts that have been taken.
    pub credited: Tokens,
    /// Tokens that no holder has.
    pub balance: Tokens,
    /// Tokens billed.
    pub billed: Tokens,
    /// The part of cuts that returns still have to cover.
    pub owed: Tokens,
    /// Whether new grants are refused.
    pub closed: bool,
    /// Grants out, by holder.
    pub rows: BTreeMap<Incarnation, Row>,
    /// Bill keys that a late or repeated settlement may still carry.
    #[serde(with = "keys")]
    pub keys: BTreeMap<BillKey, KeyMark>,
    /// Top-ups and cuts that were applied, by id, with their amount and time.
    pub credits: BTreeMap<CreditId, (Tokens, Timestamp)>,
    /// The latest changes.
    pub audit: Vec<AuditEntry>,
    /// The version of the configuration that the total comes from, if a configuration states it.
    pub stated: Option<Version>,
}

impl Account {
    /// Returns the tokens out in grants.
    pub fn outstanding(&self) -> Tokens {
        self.rows.values().map(Row::outstanding).sum()
    }

    /// Returns what `holder` can still spend or return.
    pub fn held_by(&self, holder: &Incarnation) -> Tokens {
        self.rows.get(holder).map(Row::outstanding).unwrap_or_default()
    }

    /// Returns whether `credited = balance + billed + outstanding`.
    ///
    /// A row that has returned and settled more than it was granted breaks this as well.
    pub fn is_conserved(&self) -> bool {
        // Wide numbers, since a damaged page may hold any value.
        let wide = |tokens: Tokens| i128::from(tokens.0);
        let left = |row: &Row| wide(row.granted) - wide(row.returned) - wide(row.settled);
        let out: i128 = self.rows.values().map(left).sum();
        self.rows.values().all(|row| left(row) >= 0)
            && wide(self.credited) == wide(self.balance) + wide(self.billed) + out
    }

    /// Moves up to `amount` from the balance to `holder` and returns how much was moved.
    pub(crate) fn grant(&mut self, holder: &Incarnation, amount: Tokens) -> Tokens {
        let amount = if self.closed { Tokens::ZERO } else { amount.min(self.balance) };
        if amount > Tokens::ZERO {
            self.balance -= amount;
            self.rows.entry(holder.clone()).or_default().granted += amount;
        }
        amount
    }

    /// Moves up to `amount` from `holder` back to the balance, less what is owed.
    pub(crate) fn give_back(&mut self, holder: &Incarnation, amount: Tokens) -> Tokens {
        let Some(row) = self.rows.get_mut(holder) else {
            return Tokens::ZERO;
        };
        let amount = amount.min(row.outstanding());
        row.returned += amount;
        self.balance += amount;
        self.collect_owed();
        amount
    }

    /// Takes what is owed from the balance as far as it reaches.
    pub(crate) fn collect_owed(&mut self) {
        let taken = self.owed.min(self.balance);
        self.owed -= taken;
        self.balance -= taken;
        self.credited -= taken;
    }

    /// Bills one usage of `holder` and returns the tokens billed.
    ///
    /// A request or bill key that is billed already costs nothing. A usage above what the holder
    /// has is billed up to that.
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
            self.keys.insert(key, KeyMark { version, at: now });
        }
        amount
    }

    /// Drops rows without tokens, serial numbers below the row's own, and keys that no settlement
    /// can carry any more.
    pub(crate) fn prune(&mut self, now: Timestamp) {
        self.rows.retain(|_, row| row.outstanding() > Tokens::ZERO);
        for row in self.rows.values_mut() {
            row.done.remove_below(row.serial);
        }
        let floor = self.rows.values().map(|row| row.floor).min();
        let since = self.rows.values().map(|row| row.since).min().unwrap_or(now).min(now);
        self.keys.retain(|_, mark| {
            // A retry admitted within the window after the bill may be unsettled at a holder
            // whose floor is past the bill, so its time of admission counts as well.
            let expired = since > mark.at + RETRY_WINDOW + CLOCK_SKEW;
            !expired || floor.is_some_and(|floor| floor <= mark.version)
        });
    }

    pub(crate) fn record(&mut self, entry: AuditEntry) {
        self.audit.push(entry);
        if self.audit.len() > AUDIT_LIMIT {
            self.audit.remove(0);
        }
    }
}
