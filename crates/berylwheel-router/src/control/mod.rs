//! The control thread: its state, its events, and the lifecycle of requests.

mod apply;
pub(crate) mod command;
pub(crate) mod core;
pub(crate) mod driver;
pub(crate) mod effects;
mod evacuation;
pub(crate) mod event;
mod external;
mod holder;
pub(crate) mod quarantine;
pub(crate) mod requests;
mod signals;
pub(crate) mod snapshot;
mod work;
