//! Handlers of caller requests: chat completions and plain services.

pub(crate) mod at_most_once;
pub(crate) mod chat;
pub(crate) mod engine;
pub(crate) mod idempotency;
pub(crate) mod memory;
pub(crate) mod relay;
pub(crate) mod request_guard;
pub(crate) mod request_handler;
pub(crate) mod service;
