//! Handlers of caller requests: chat completions and plain services.

pub(crate) mod call_once;
pub(crate) mod chat;
pub(crate) mod engine;
pub(crate) mod memory;
pub(crate) mod once;
pub(crate) mod relay;
pub(crate) mod service;
pub(crate) mod ticket;
pub(crate) mod traffic;
