//! What is known of the requests on one caller's connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

use super::server::ResponseBody;

/// Marks a response, as an extension, whose request is not to be read to its end: its connection is
/// closed as it is, since the link has no room for the rest.
#[derive(Debug, Clone, Copy)]
pub struct LeaveUnread;

/// Counts the requests on a caller's connection. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub(crate) struct ExchangeCounts(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    started: AtomicU64,
    ended: AtomicU64,
    answered: AtomicU64,
    /// Number of bytes received since the last request head was read or its response ended.
    received: AtomicU64,
    leave_unread: AtomicBool,
}

impl ExchangeCounts {
    /// Returns the number of requests whose head was read.
    pub(crate) fn started(&self) -> u64 {
        self.0.started.load(Ordering::Relaxed)
    }

    /// Returns whether a request is being handled or its response is being sent.
    pub(crate) fn is_active(&self) -> bool {
        self.started() > self.0.ended.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose response was not passed on to its end.
    pub(crate) fn unanswered(&self) -> u64 {
        self.started().saturating_sub(self.0.answered.load(Ordering::Relaxed))
    }

    /// Returns the number of bytes received since the last request head was read or its response
    /// ended: the body of the request, or a part of the next one.
    pub(crate) fn received(&self) -> u64 {
        self.0.received.load(Ordering::Relaxed)
    }

    /// Returns whether the rest of the last request is to be left unread.
    pub(crate) fn leaves_unread(&self) -> bool {
        self.0.leave_unread.load(Ordering::Relaxed)
    }

    pub(crate) fn leave_unread(&self) {
        self.0.leave_unread.store(true, Ordering::Relaxed);
    }

    pub(crate) fn record_received(&self, bytes: u64) {
        self.0.received.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Records that a request head was read. The request is active until the value is dropped.
    pub(crate) fn start(&self) -> ActiveRequest {
        self.0.started.fetch_add(1, Ordering::Relaxed);
        self.0.received.store(0, Ordering::Relaxed);
        ActiveRequest { counts: self.clone(), answered: false }
    }
}

/// A request that is being handled, or whose response is being sent.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    counts: ExchangeCounts,
    answered: bool,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let counts = &self.counts.0;
        counts.ended.fetch_add(1, Ordering::Relaxed);
        counts.received.store(0, Ordering::Relaxed);
        if self.answered {
            counts.answered.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A response body that keeps its request active until the body is dropped.
pub(crate) struct CountedBody {
    body: ResponseBody,
    request: ActiveRequest,
}

impl CountedBody {
    pub(crate) fn new(body: ResponseBody, request: ActiveRequest) -> Self {
        let mut counted = Self { body, request };
        counted.request.answered = counted.body.is_end_stream();
        counted
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) || self.body.is_end_stream() {
            self.request.answered = true;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
