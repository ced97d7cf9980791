//! The engine's records of requests.

use std::task::Waker;

use async_channel::Sender;
use serde::Serialize;

/// The state of one request. It is kept after the connection closes, so that the stream can be
/// resumed and the usage queried.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    /// The value of `X-Request-Owner`.
    pub(crate) owner: Option<String>,
    /// The value of `X-Usage-Tag`, or of `Idempotency-Key` if that header is missing.
    pub(crate) usage_tag: Option<String>,
    /// The value of `X-Budget`.
    pub(crate) budget: Option<String>,
    /// Prompt length in tokens; each word counts as one token.
    pub(crate) prompt_tokens: u64,
    /// Whether generation has started.
    pub(crate) started: bool,
    /// Number of tokens generated so far.
    pub(crate) generated_tokens: u64,
    /// Whether generation has ended.
    pub(crate) finished: bool,
    /// Whether the request was cancelled before it finished.
    pub(crate) cancelled: bool,
    /// Closed to cancel the request.
    pub(crate) cancel: Sender<()>,
    /// Wakers of the tasks that wait for tokens.
    pub(crate) wakers: Vec<Waker>,
}

/// An entry in the response to `GET /v1/usage`.
#[derive(Debug, Serialize)]
pub(crate) struct UsageEntry<'a> {
    request: &'a str,
    owner: Option<&'a str>,
    usage_tag: Option<&'a str>,
    budget: Option<&'a str>,
    tokens: u64,
    finished: bool,
}

impl RequestRecord {
    /// Returns the usage entry. A request that has not started counts no tokens.
    pub(crate) fn usage_entry<'a>(&'a self, request: &'a str) -> UsageEntry<'a> {
        UsageEntry {
            request,
            owner: self.owner.as_deref(),
            usage_tag: self.usage_tag.as_deref(),
            budget: self.budget.as_deref(),
            tokens: if self.started { self.prompt_tokens + self.generated_tokens } else { 0 },
            finished: self.finished,
        }
    }

    /// Wakes all tasks that wait for tokens.
    pub(crate) fn wake_readers(&mut self) {
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }
}
