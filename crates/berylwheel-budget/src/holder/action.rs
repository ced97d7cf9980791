//! What goes into and comes out of a holder.

use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::LoanAnswer;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::LedgerPage;
use crate::PageId;

/// A request for tokens.
#[derive(Debug, Clone)]
pub struct Reserve {
    /// The attempt.
    pub request: RequestId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The bill key, if the caller may retry the request.
    pub key: Option<BillKey>,
    /// The most that the request can use.
    pub amount: Tokens,
    /// When an answer is of no use any more.
    pub deadline: Timestamp,
}

/// What the owner of a holder has to do.
///
/// Each `Read` is answered with `page_read` or `read_failed`, each `Write` with `page_written`.
#[derive(Debug, Clone)]
pub enum HolderAction {
    /// Read a page.
    Read(PageId),
    /// Write a page if its revision is still `expected`; 0 stands for a page that is absent.
    Write { page: PageId, expected: u64, content: LedgerPage },
    /// Ask another holder to return what it has not reserved.
    Recall { holder: Incarnation, budget: BudgetId },
    /// Ask another holder to reserve tokens for a request of this one, which ends `time` from now.
    /// The answer goes to `lent`.
    Borrow { lender: Incarnation, id: u64, budget: BudgetId, amount: Tokens, time: Millis },
    /// Answer another holder's question for a loan.
    Lend { borrower: Incarnation, id: u64, answer: LoanAnswer },
    /// Report to another holder what a request used that is reserved there.
    Repay { lender: Incarnation, id: u64, used: Tokens },
    /// The request may start.
    Reserved(RequestId),
    /// The request must not start.
    Refused(RequestId, Refusal),
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The page has this revision now.
    Won(u64),
    /// The page had another revision.
    Lost,
    /// The write may have taken effect.
    Unknown,
}
