//! What operators do: the admin interface, changes, budgets and orders.

pub(crate) mod admin;
pub(crate) mod change;
pub(crate) mod ledger;
pub(crate) mod orders;
