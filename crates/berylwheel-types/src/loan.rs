//! The answer of one router to another that asks for tokens.

use serde::Deserialize;
use serde::Serialize;

use crate::Millis;

/// What a router answers that was asked to reserve tokens for another one's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanAnswer {
    /// The tokens are reserved.
    Granted,
    /// The tokens are there, and can be reserved after this time at the latest.
    Wait(Millis),
    /// The budget does not cover the request.
    Spent,
    /// The budget would cover it, but for tokens that others hold.
    Held,
    /// The router cannot tell.
    Unavailable,
}
