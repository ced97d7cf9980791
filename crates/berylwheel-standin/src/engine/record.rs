//! What the engine remembers of a request.

use std::task::Waker;

use async_channel::Sender;
use serde::Serialize;

/// One request, from its arrival on. It outlives the connection.
#[derive(Debug)]
pub(crate) struct Record {
    /// The owner that `X-Request-Owner` named.
    pub(crate) owner: Option<String>,
    /// The value of `X-Usage-Tag`, or else of `Idempotency-Key`.
    pub(crate) usage_tag: Option<String>,
    /// The value of `X-Budget`.
    pub(crate) budget: Option<String>,
    /// Words of the prompt.
    pub(crate) prompt: u64,
    /// Whether generation began.
    pub(crate) started: bool,
    /// Tokens generated so far.
    pub(crate) generated: u64,
    /// Whether no more tokens follow.
    pub(crate) finished: bool,
    /// Whether it was cancelled before it was finished.
    pub(crate) cancelled: bool,
    /// Closed when the request is cancelled.
    pub(crate) cancel: Sender<()>,
    /// Readers that wait for tokens.
    pub(crate) readers: Vec<Waker>,
}

/// One line of `GET /v1/usage`.
#[derive(Debug, Serialize)]
pub(crate) struct Usage<'a> {
    request: &'a str,
    owner: Option<&'a str>,
    usage_tag: Option<&'a str>,
    budget: Option<&'a str>,
    tokens: u64,
    finished: bool,
}

impl Record {
    /// Returns the usage. A request that has not started has used nothing.
    pub(crate) fn usage<'a>(&'a self, request: &'a str) -> Usage<'a> {
        Usage {
            request,
            owner: self.owner.as_deref(),
            usage_tag: self.usage_tag.as_deref(),
            budget: self.budget.as_deref(),
            tokens: if self.started { self.prompt + self.generated } else { 0 },
            finished: self.finished,
        }
    }

    /// Wakes the readers.
    pub(crate) fn wake(&mut self) {
        for reader in self.readers.drain(..) {
            reader.wake();
        }
    }
}
