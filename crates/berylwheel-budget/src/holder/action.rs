//! Inputs and outputs of a holder.

use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::Incarnation;
use berylwheel_types::LoanResponse;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::LedgerPage;
use crate::PageId;

/// A request to reserve tokens.
#[derive(Debug, Clone)]
pub struct ReserveRequest {
    /// The id of the attempt.
    pub request: RequestId,
    /// The budget to charge.
    pub budget: BudgetId,
    /// The bill key, if the caller may retry the request.
    pub key: Option<BillKey>,
    /// The maximum number of tokens that the request can use.
    pub amount: Tokens,
    /// The time after which the caller no longer needs a response.
    pub deadline: Timestamp,
}

/// An action that the owner of a holder has to carry out.
///
/// The owner reports the result of each `Read` with `page_read` or `read_failed`, and that of each
/// `Write` with `page_written`.
#[derive(Debug, Clone)]
pub enum HolderAction {
    /// Read a page.
    Read(PageId),
    /// Write a page if its revision is still `expected`, which is 0 for an absent page.
    Write { page: PageId, expected: u64, content: LedgerPage },
    /// Ask another holder to return its unreserved tokens.
    Recall { holder: Incarnation, budget: BudgetId },
    /// Ask another holder to reserve tokens for a local request, whose deadline is `time` from now.
    /// The response is passed to
    /// [`Holder::loan_response_received`](crate::Holder::loan_response_received).
    Borrow { lender: Incarnation, id: u64, budget: BudgetId, amount: Tokens, time: Millis },
    /// Respond to a loan request of another holder.
    RespondToLoan { borrower: Incarnation, id: u64, response: LoanResponse },
    /// Report the usage of a request to the holder that reserved its tokens.
    Repay { lender: Incarnation, id: u64, used: Tokens },
    /// The request may start.
    Reserved(RequestId),
    /// The request must not start.
    Refused(RequestId, Refusal),
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and gave the page this revision.
    Written(u64),
    /// The write was rejected, since the page had another revision than expected.
    Conflict,
    /// The outcome is unknown: the write may have taken effect.
    Unknown,
}
