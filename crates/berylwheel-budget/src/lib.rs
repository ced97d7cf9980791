//! Prepaid token budgets: ledger pages, grant holders, billing, reclaim and records of
//! non-repeatable calls.
//!
//! This crate does no I/O and reads no clock: the caller passes the time as an argument and carries
//! out the returned actions.

mod account;
mod audit;
mod holder;
mod idempotency;
mod keys;
mod operate;
mod page;
mod policy;
mod rate;
mod reclaim;
mod serials;
mod tag;
mod unusable;

pub use account::Account;
pub use account::BilledAt;
pub use account::Row;
pub use audit::AuditEntry;
pub use audit::Change;
pub use holder::BudgetDump;
pub use holder::Holder;
pub use holder::HolderAction;
pub use holder::HolderDump;
pub use holder::ReserveRequest;
pub use holder::WriteResult;
pub use idempotency::CallDecision;
pub use idempotency::CallState;
pub use idempotency::IdempotencyRecord;
pub use idempotency::ServiceResponse;
pub use idempotency::decide_call;
pub use operate::Applied;
pub use page::ConservationError;
pub use page::DecodePageError;
pub use page::LedgerPage;
pub use page::PageId;
pub use page::Writer;
pub use page::page_of;
pub use policy::HolderPolicy;
pub use reclaim::Reclaimed;
pub use reclaim::UsageRecord;
pub use serials::SerialSet;
pub use tag::UsageTag;
pub use unusable::UnusableCause;
pub use unusable::UnusableGrant;
