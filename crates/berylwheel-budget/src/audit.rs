//! The audit trail of a budget: changes made by operators, configurations and reclaims.

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
    /// The time of the change, by the clock of the router that made it.
    pub at: Timestamp,
    /// The operator, or the router that reclaimed a row or applied a configuration.
    pub author: String,
    /// The kind of change.
    pub change: Change,
}

/// A kind of change to a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The budget was created.
    Create,
    /// Tokens were added.
    Credit { id: CreditId, amount: Tokens },
    /// Tokens were removed. `owed` is the part that is still to be collected from returned tokens.
    Cut { id: CreditId, amount: Tokens, owed: Tokens },
    /// The budget was closed for new grants.
    Close,
    /// An operator returned the tokens of a holder without billing its unsettled usage.
    Release { holder: Incarnation, returned: Tokens },
    /// The usage of a dead holder was billed from usage records, and the rest was returned.
    Reclaim { holder: Incarnation, billed: Tokens, returned: Tokens },
    /// A configuration version set the total.
    State { version: Version, total: Tokens },
}
