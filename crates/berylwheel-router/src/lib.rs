//! One router: a control thread that owns all control state, and threads that carry traffic.

mod admin;
mod change;
mod chat;
mod claims;
mod command;
mod control;
mod effects;
mod engine;
mod event;
mod fleet;
mod jobs;
mod ledger;
mod metrics;
mod once;
mod process;
mod registry;
mod service;
mod snapshot;
mod ticket;
mod traffic;
mod translate;

pub use change::ChangeRequest;
pub use change::Configuration;
pub use change::EditRequest;
pub use change::RollbackRequest;
pub use chat::ChatRequest;
pub use chat::EngineEvent;
pub use claims::ClaimAnswer;
pub use claims::Claims;
pub use claims::home_of;
pub use ledger::BudgetChange;
pub use ledger::Ledger;
pub use process::Running;
pub use process::start;
