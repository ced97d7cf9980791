//! The control thread: its state, the messages to it, and the life of a request on it.

mod apply;
pub(crate) mod command;
pub(crate) mod core;
pub(crate) mod effects;
pub(crate) mod event;
mod grants;
pub(crate) mod jobs;
pub(crate) mod snapshot;
