//! The error type reported to callers and operators.

use std::fmt;

use crate::Code;
use crate::ExecutionState;
use crate::Millis;

/// The reason why a request was refused or failed, and whether it ran.
///
/// ```
/// use berylwheel_types::{Code, ExecutionState, Refusal};
/// let refusal = Refusal::not_run(Code::BudgetSpent, "needs 10 tokens, 3 left");
/// assert_eq!(refusal.ran, ExecutionState::NotRun);
/// assert_eq!(refusal.to_string(), "1201 budget spent: needs 10 tokens, 3 left");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered result code.
    pub code: Code,
    /// Whether the request ran.
    pub ran: ExecutionState,
    /// Details specific to this request.
    pub detail: String,
    /// The delay after which a retry may succeed.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal for a request that was not sent to any backend server.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self { code, ran: ExecutionState::NotRun, detail: detail.into(), retry_after: None }
    }

    /// Creates a failure for a request that may or may not have run.
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self { ran: ExecutionState::Unknown, ..Self::not_run(code, detail) }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after(self, delay: Millis) -> Self {
        Self { retry_after: Some(delay), ..self }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl std::error::Error for Refusal {}
