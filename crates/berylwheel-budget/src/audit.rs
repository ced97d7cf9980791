//! The trail of changes that operators and reclaims make to a budget.

use berylwheel_types::CreditId;
use berylwheel_types::Incarnation;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// One change to a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// When the change was made, by the clock of the router that made it.
    pub at: Timestamp,
    /// The operator, or the router that reclaimed a row.
    pub author: String,
    /// What was changed.
    pub change: Change,
}

/// A kind of change to a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The budget was created.
    Create,
    /// Tokens were added.
    Credit { id: CreditId, amount: Tokens },
    /// Tokens were taken away; `owed` of them at a later return.
    Cut { id: CreditId, amount: Tokens, owed: Tokens },
    /// No more grants are given.
    Close,
    /// An operator returned the row of a holder without its usage records.
    Release { holder: Incarnation, returned: Tokens },
    /// The row of a dead holder was billed from usage records and the rest returned.
    Reclaim { holder: Incarnation, billed: Tokens, returned: Tokens },
    /// A version of the configuration stated the total.
    State { version: Version, total: Tokens },
}
