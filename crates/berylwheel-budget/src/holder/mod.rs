//! The grants that one router holds, and the requests that spend them.

mod action;
mod core;
mod dump;
mod earlier;
mod grant;
mod home_cache;
mod homes;
mod limit;
mod loan;
mod pages;
mod restore;
mod retry_delay;
mod timing;
mod wait;
mod write;

pub use action::HolderAction;
pub use action::ReserveRequest;
pub use action::WriteResult;
pub use core::Holder;
pub use dump::BudgetDump;
pub use dump::HolderDump;
pub(crate) use limit::unlocked_in;
