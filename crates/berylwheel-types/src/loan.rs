//! The response to a router that asks another one for a token loan.

use serde::Deserialize;
use serde::Serialize;

use crate::Millis;

/// The response to a request to reserve tokens for a request that another router serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanResponse {
    /// The tokens are reserved.
    Granted,
    /// The budget covers the request, and the tokens can be reserved within this time.
    Wait(Millis),
    /// The remaining budget does not cover the request.
    Spent,
    /// The budget would cover the request only if tokens that are held elsewhere were released.
    Held,
    /// The router cannot determine the state of the budget.
    Unavailable,
}
