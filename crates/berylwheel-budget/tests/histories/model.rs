//! The reference model: attempts, tokens served, and the bills that the ledger must contain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use berylwheel_budget::Account;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::UsageRecord;
use berylwheel_budget::UsageTag;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Waiting,
    Running,
    Ended,
    Refused,
    /// The router crashed while the attempt was waiting or running.
    Lost,
}

#[derive(Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub holder: Incarnation,
    pub budget: BudgetId,
    pub key: Option<BillKey>,
    pub amount: Tokens,
    pub used: Tokens,
    pub phase: Phase,
    pub tag: Option<UsageTag>,
    pub ended_at: Option<Timestamp>,
    /// Whether the ledger has settled the usage.
    pub resolved: bool,
}

#[derive(Debug, Default)]
pub struct Model {
    pub attempts: Vec<Attempt>,
    /// All bill keys that have ever been billed.
    pub billed_keys: BTreeSet<BillKey>,
    pub billed: BTreeMap<BudgetId, Tokens>,
    pub credited: BTreeMap<BudgetId, Tokens>,
    pub missing_bills: u64,
    pub double_bills: u64,
}

fn is_settled(account: &Account, attempt: &Attempt) -> bool {
    match (account.rows.get(&attempt.holder), attempt.tag) {
        (Some(row), Some(tag)) => tag.serial < row.serial || row.done.contains(tag.serial),
        (Some(_), None) => false,
        (None, _) => true,
    }
}

impl Model {
    /// Applies a page change by `writer` to the model, and checks the bills in it.
    pub fn apply_change(
        &mut self,
        old: &LedgerPage,
        new: &LedgerPage,
        writer: &Incarnation,
    ) -> Vec<String> {
        let mut faults = Vec::new();
        for (budget, account) in new.accounts() {
            let before = old.account(budget).map(|a| a.billed).unwrap_or_default();
            let mut expected = Tokens::ZERO;
            let ours = self.attempts.iter_mut().filter(|a| {
                !a.resolved && a.holder == *writer && a.budget == *budget && a.used > Tokens::ZERO
            });
            for attempt in ours.filter(|attempt| is_settled(account, attempt)) {
                if attempt.phase == Phase::Running {
                    faults.push(format!("{} was settled while it ran", attempt.request));
                }
                attempt.resolved = true;
                if attempt.key.is_none_or(|key| self.billed_keys.insert(key)) {
                    expected += attempt.used;
                }
            }
            let billed = account.billed - before;
            *self.billed.entry(budget.clone()).or_default() += expected;
            if billed != expected {
                faults.push(format!("{budget}: {writer} billed {billed}, expected {expected}"));
                self.missing_bills += u64::from(billed < expected);
                self.double_bills += u64::from(billed > expected);
            }
        }
        faults
    }

    /// Checks that the row of each holder covers its running and unsettled requests.
    pub fn check_page(&self, page: &LedgerPage) -> Vec<String> {
        let mut faults = Vec::new();
        if let Err(error) = page.check() {
            faults.push(error.to_string());
        }
        for (budget, account) in page.accounts() {
            let mut open: BTreeMap<&Incarnation, Tokens> = BTreeMap::new();
            for attempt in self.attempts.iter().filter(|a| !a.resolved && a.budget == *budget) {
                // A running request may use its whole reservation.
                let bound =
                    if attempt.phase == Phase::Running { attempt.amount } else { attempt.used };
                *open.entry(&attempt.holder).or_default() += bound;
            }
            for (holder, tokens) in open {
                let held = account.held_by(holder);
                if tokens > held {
                    faults.push(format!("{budget}: {holder} needs {tokens}, its row has {held}"));
                }
            }
            let credited = self.credited.get(budget).copied().unwrap_or_default();
            if account.credited != credited + account.owed {
                faults.push(format!("{budget}: credited differs from top-ups minus cuts"));
            }
        }
        faults
    }

    /// Returns the tokens served in excess of the credited tokens.
    ///
    /// A repeated run of a billed request is not charged to the budget and does not count.
    pub fn overspend(&self, page: &LedgerPage) -> u64 {
        let over = page.accounts().map(|(budget, account)| {
            let open = self.attempts.iter().filter(|a| !a.resolved && a.budget == *budget);
            let used: Tokens = open.map(|attempt| attempt.used).sum();
            (account.billed + used).saturating_sub(account.credited).0
        });
        over.sum()
    }

    /// Returns the usage records of all engines for `holder`.
    pub fn usage(&self, holder: &Incarnation) -> Vec<UsageRecord> {
        let record = |a: &Attempt| a.tag.map(|tag| UsageRecord { tag, used: a.used });
        self.attempts.iter().filter(|a| a.holder == *holder).filter_map(record).collect()
    }

    /// Checks the final state: all usage is billed, all requests are answered, and no tokens are
    /// outstanding.
    pub fn check_end(&mut self, page: &LedgerPage) -> Vec<String> {
        let mut faults = Vec::new();
        for attempt in &self.attempts {
            if attempt.used > Tokens::ZERO && !attempt.resolved {
                faults.push(format!("{} of {} is not billed", attempt.request, attempt.holder));
                self.missing_bills += 1;
            }
            if attempt.phase == Phase::Waiting {
                faults.push(format!("{} was never answered", attempt.request));
            }
        }
        for (budget, account) in page.accounts() {
            let billed = self.billed.get(budget).copied().unwrap_or_default();
            if account.billed != billed {
                faults.push(format!("{budget}: billed {}, expected {billed}", account.billed));
            }
            if !account.rows.is_empty() || account.balance + account.billed != account.credited {
                faults.push(format!("{budget}: tokens are still outstanding: {:?}", account.rows));
            }
        }
        faults
    }
}
