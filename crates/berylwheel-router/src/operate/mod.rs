//! The admin API and the operations behind it: configuration, budgets and engine orders.

pub(crate) mod admin;
pub(crate) mod change;
pub(crate) mod ledger;
pub(crate) mod orders;
