//! Ledger pages: each holds a set of budgets and is written by compare-and-swap.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::stable_hash;
use serde::Deserialize;
use serde::Serialize;

use crate::Account;

/// Format number of an encoded page, stored in its first byte.
const FORMAT: u8 = 5;

/// Largest version of a page, which leaves room for all further changes.
const MAX_VERSION: u64 = u64::MAX / 2;

/// Estimated encoded sizes of the parts of a page in bytes, used by [`LedgerPage::estimated_size`].
const ACCOUNT_SIZE: usize = 32;
const ROW_SIZE: usize = 48;
const KEY_SIZE: usize = 24;
const CREDIT_SIZE: usize = 24;

/// The number of a ledger page.
///
/// ```
/// use berylwheel_budget::PageId;
/// assert_eq!(PageId(7).key(), "/berylwheel/ledger/7");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PageId(pub u32);

impl PageId {
    /// Returns the store key of the page.
    pub fn key(self) -> String {
        format!("/berylwheel/ledger/{self}")
    }
}

impl fmt::Display for PageId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Returns the page of `budget` in a ledger of `pages` pages.
///
/// The number of pages must not change while budgets exist, since they would map to other pages.
///
/// ```
/// use berylwheel_budget::page_of;
/// let budget = "w1/main".parse().unwrap();
/// assert_eq!(page_of(&budget, 64), page_of(&budget, 64));
/// assert!(page_of(&budget, 64).0 < 64);
/// ```
pub fn page_of(budget: &BudgetId, pages: u32) -> PageId {
    let pages = u64::from(pages.max(1));
    PageId((stable_hash(&[budget.as_str()]) % pages) as u32)
}

/// The error of a ledger page that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodePageError(String);

impl fmt::Display for DecodePageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ledger page cannot be decoded: {}", self.0)
    }
}

impl std::error::Error for DecodePageError {}

/// The error of a budget whose tokens do not add up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConservationError {
    /// The budget.
    pub budget: BudgetId,
}

impl fmt::Display for ConservationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "budget {}: credited tokens differ from balance + billed + outstanding",
            self.budget
        )
    }
}

impl std::error::Error for ConservationError {}

/// A set of budgets that is written atomically.
///
/// ```
/// use berylwheel_budget::LedgerPage;
/// use berylwheel_types::{Timestamp, Tokens};
/// let now = Timestamp::from_millis(0);
/// let budget = "w1/main".parse().unwrap();
/// let mut page = LedgerPage::default();
/// page.create(&budget, "anna", now).unwrap();
/// page.credit(&budget, "order-1".parse().unwrap(), Tokens(100), "anna", now).unwrap();
/// assert_eq!(page.account(&budget).unwrap().balance, Tokens(100));
/// assert_eq!(LedgerPage::decode(&page.encode()).unwrap(), page);
/// page.check().unwrap();
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerPage {
    pub(crate) version: u64,
    pub(crate) accounts: BTreeMap<BudgetId, Account>,
    /// The last write of each holder.
    pub(crate) writers: BTreeMap<Incarnation, Writer>,
    /// The era of the store in which the page was last written.
    pub(crate) era: StoreEra,
    /// When the page was first written in this era, if it had been written in an earlier one and the
    /// clock of its writer was confirmed.
    pub(crate) restored_at: Option<Timestamp>,
}

/// The last write of a holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Its sequence number.
    pub sequence: u64,
    /// The time at which its content was created, by the holder's clock.
    pub at: Timestamp,
    /// The holder's peer address, `None` if it was not known yet. No other process can have listened
    /// at this address while the holder ran.
    pub address: Option<SocketAddr>,
    /// The era of the store.
    pub era: StoreEra,
}

impl LedgerPage {
    /// Encodes the page for the store.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into a vector fails only for sequences of unknown length, which a page lacks.
        postcard::to_extend(self, vec![FORMAT]).expect("page encodes")
    }

    /// Decodes a page. A page that has never been written has no bytes to decode: its content is the
    /// default.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are empty, have another format, are truncated or are not a valid page.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodePageError> {
        let error = |detail: &dyn fmt::Display| DecodePageError(detail.to_string());
        let page: Self = match bytes.split_first() {
            // Taken for a new page, it would be granted its budgets again.
            None => return Err(error(&"no bytes")),
            Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(|e| error(&e))?,
            Some((format, _)) => return Err(error(&format!("unknown format {format}"))),
        };
        if page.version > MAX_VERSION {
            return Err(error(&format!("version {}", page.version)));
        }
        Ok(page)
    }

    /// Returns the version of the page, which is incremented by each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the budgets on the page.
    pub fn accounts(&self) -> impl Iterator<Item = (&BudgetId, &Account)> {
        self.accounts.iter()
    }

    /// Returns the account of `budget`.
    pub fn account(&self, budget: &BudgetId) -> Option<&Account> {
        self.accounts.get(budget)
    }

    /// Returns the sequence number of the last write of `holder`, or zero if it has not written.
    pub fn sequence_of(&self, holder: &Incarnation) -> u64 {
        self.writers.get(holder).map_or(0, |writer| writer.sequence)
    }

    /// Returns the incarnations that hold tokens of any budget on this page.
    pub fn holders(&self) -> Vec<Incarnation> {
        let mut holders: Vec<_> =
            self.accounts.values().flat_map(|account| account.rows.keys().cloned()).collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Checks that the tokens of every budget add up.
    ///
    /// # Errors
    ///
    /// Returns the first budget whose `credited` differs from `balance + billed + outstanding`.
    pub fn check(&self) -> Result<(), ConservationError> {
        match self.accounts.iter().find(|(_, account)| !account.is_conserved()) {
            Some((budget, _)) => Err(ConservationError { budget: budget.clone() }),
            None => Ok(()),
        }
    }

    /// Estimates the encoded size of the page in bytes.
    pub(crate) fn estimated_size(&self) -> u64 {
        let size = |(budget, account): (&BudgetId, &Account)| {
            let names = budget.as_str().len() + CREDIT_SIZE * account.credits.len();
            let rows = ROW_SIZE * account.rows.len();
            ACCOUNT_SIZE
                + names
                + rows
                + KEY_SIZE * account.keys.len()
                + CREDIT_SIZE * account.audit.len()
        };
        self.accounts.iter().map(size).sum::<usize>() as u64
    }

    /// Starts a write of `holder` and returns the new version of the page.
    ///
    /// `clock_agrees` tells whether the time of the write can be compared with those of others.
    pub(crate) fn begin_write(
        &mut self,
        holder: &Incarnation,
        writer: Writer,
        clock_agrees: bool,
    ) -> u64 {
        self.version += 1;
        if self.era != writer.era {
            self.restored_at = Some(writer.at).filter(|_| self.is_written() && clock_agrees);
            self.era = writer.era;
        }
        // A newer incarnation supersedes older ones of the same router. Entries of incarnations
        // that still have a row are kept, since their writes still matter.
        let superseded: Vec<_> = self
            .writers
            .keys()
            .filter(|old| old.router == holder.router && old.number < holder.number)
            .filter(|old| self.accounts.values().all(|account| !account.rows.contains_key(*old)))
            .cloned()
            .collect();
        for old in superseded {
            self.writers.remove(&old);
        }
        self.writers.insert(holder.clone(), writer);
        self.version
    }

    /// Returns whether any holder has written the page.
    pub(crate) fn is_written(&self) -> bool {
        !self.writers.is_empty()
    }

    /// Moves the tokens that an ended holder cannot have spent within `age` after its last write
    /// back to the balances, and returns their amount. The age is `None` if no clock can tell it;
    /// only rows that open no further tokens as time passes are used then.
    pub(crate) fn return_locked(
        &mut self,
        holder: &Incarnation,
        age: Option<Millis>,
        lock_time: Millis,
    ) -> Tokens {
        let mut returned = Tokens::ZERO;
        for account in self.accounts.values_mut() {
            let Some(row) = account.rows.get(holder) else { continue };
            let locked = row.outstanding().saturating_sub(row.max_spent(age, lock_time));
            returned += account.return_tokens(holder, locked);
        }
        returned
    }

    /// Returns whether a clock has to tell how much `holder` can have spent of any of its rows.
    pub(crate) fn needs_clock(&self, holder: &Incarnation) -> bool {
        let mut rows = self.accounts.values().filter_map(|account| account.rows.get(holder));
        rows.any(|row| row.pace > Tokens::ZERO)
    }
}
