//! Relays a response stream to the caller, starting with its first event.

use std::io;

use berylwheel_http::IdleLimit;
use berylwheel_http::ServerEvent;
use berylwheel_route::Outcome;
use berylwheel_types::Millis;
use berylwheel_types::Tokens;
use bytes::Bytes;
use futures_lite::future;
use http_body::Frame;

use super::attempt::RetryState;
use super::call::Call;
use super::classify::AttemptFailure;
use super::classify::is_repeatable;
use super::classify::may_retry;
use super::listen::Forwarder;
use super::resumed::RelayedStream;
use super::resumed::ResumedPart;
use super::resumed::StreamFormat;
use super::resumed::check_resumed;
use super::resumed::is_comment;
use super::stream::OpenStream;
use super::stream::ReadResult;
use crate::calls::request_guard::RequestGuard;
use crate::control::command::Placement;

/// A resumable stream counts as stalled after a pause of this many times the gap that the kind
/// allows between events.
const STALL_GAPS: u64 = 3;
/// Minimum pause after which a resumable stream counts as stalled.
const MIN_STALL_TIMEOUT: Millis = Millis(800);

/// A response stream that is being relayed. Dropping it closes the connection, so that the server
/// stops working on the request, and bills the events that were relayed.
pub(crate) struct Relay {
    forwarder: Forwarder,
    call: Call,
    guard: RequestGuard,
    placement: Placement,
    retry_state: RetryState,
    /// The server's stream; `None` while it is being resumed at another server.
    stream: Option<OpenStream>,
    relayed: RelayedStream,
    /// Whether the last relayed event has an id, so that another server can continue after it.
    numbered: bool,
    /// Number of events that were relayed.
    event_count: u64,
    /// Time limit for the next event.
    event_limit: IdleLimit,
    ended: bool,
}

/// How an event relates to the last event that was relayed.
enum EventOrder {
    Next,
    /// The event was already relayed.
    Repeated,
    /// The event does not continue the stream, for the given reason.
    Invalid(String),
}

type NextFrame = Option<(io::Result<Frame<Bytes>>, Relay)>;

impl Relay {
    pub(crate) fn new(
        forwarder: Forwarder,
        call: Call,
        guard: RequestGuard,
        placement: Placement,
        retry_state: RetryState,
        stream: OpenStream,
    ) -> Self {
        let format = StreamFormat::of(&stream.response.head);
        let relayed = RelayedStream { format, last_event: call.last_event };
        let stream = Some(stream);
        let event_limit = IdleLimit::new(forwarder.clock.clone());
        Self {
            forwarder,
            call,
            guard,
            placement,
            retry_state,
            stream,
            relayed,
            numbered: true,
            event_count: 0,
            event_limit,
            ended: false,
        }
    }

    /// Returns the next frame for the caller. It holds only complete events; each event is relayed
    /// once and in order.
    pub(crate) async fn next_frame(mut self) -> NextFrame {
        if self.ended {
            return None;
        }
        loop {
            let bytes = match self.drain_events() {
                Ok(bytes) => bytes,
                Err(detail) => {
                    let failure = AttemptFailure::Unknown { timed_out: false, detail };
                    match self.resume_stream(failure).await {
                        Ok(()) => continue,
                        Err(error) => return self.fail(error).await,
                    }
                }
            };
            if !bytes.is_empty() {
                return Some((Ok(Frame::data(bytes)), self));
            }
            let timeout = self.event_timeout();
            let Some(stream) = &mut self.stream else { return None };
            let (timed_out, detail) = match self.event_limit.run(timeout, stream.read()).await {
                Some(ReadResult::Events) => continue,
                Some(ReadResult::End) => return self.finish(),
                Some(ReadResult::Failed(detail)) => (false, detail),
                None => (true, format!("no event within {timeout}")),
            };
            let failure = AttemptFailure::Unknown { timed_out, detail };
            if let Err(error) = self.resume_stream(failure).await {
                return self.fail(error).await;
            }
        }
    }

    /// Drains the received events into one buffer, skipping those that were already relayed. Stops
    /// before an event that does not follow the one before it, and fails if that is the first one.
    fn drain_events(&mut self) -> Result<Bytes, String> {
        let mut bytes = Vec::new();
        let mut first = None;
        while let Some(event) = self.stream.as_mut().and_then(|stream| stream.events.pop_front()) {
            match self.check_order(&event) {
                EventOrder::Next => {}
                EventOrder::Repeated => continue,
                EventOrder::Invalid(detail) if first.is_none() => return Err(detail),
                EventOrder::Invalid(_) => {
                    // The next call fails, after the events before this one have been relayed.
                    if let Some(stream) = &mut self.stream {
                        stream.events.push_front(event);
                    }
                    break;
                }
            }
            self.relayed.last_event = event.id.or(self.relayed.last_event);
            self.numbered = event.id.is_some() || (self.numbered && is_comment(&event));
            self.event_count += 1;
            match (&first, bytes.is_empty()) {
                (None, true) => first = Some(event.bytes),
                (Some(earlier), true) => {
                    bytes.extend_from_slice(earlier);
                    bytes.extend_from_slice(&event.bytes);
                }
                _ => bytes.extend_from_slice(&event.bytes),
            }
        }
        let tokens = self.event_count * self.call.event_tokens;
        self.guard.set_used(self.call.prompt_tokens + Tokens(tokens.max(1)));
        Ok(if bytes.is_empty() { first.unwrap_or_default() } else { Bytes::from(bytes) })
    }

    /// Compares the id of an event with that of the last event that was relayed. A resumed stream
    /// has no other events than those that follow it.
    fn check_order(&self, event: &ServerEvent) -> EventOrder {
        if self.stream.as_ref().is_some_and(|stream| stream.resumed) {
            let checked = check_resumed(&self.relayed, ResumedPart::Event(event));
            return checked.map_or_else(EventOrder::Invalid, |()| EventOrder::Next);
        }
        let last_event = self.relayed.last_event;
        let (Some(id), Some(last)) = (event.id, last_event) else { return EventOrder::Next };
        if id <= last {
            return EventOrder::Repeated;
        }
        if id > last + 1 {
            let detail = format!("event {id} follows event {last}; events are missing");
            return EventOrder::Invalid(detail);
        }
        EventOrder::Next
    }

    /// Returns the timeout for the next event.
    fn event_timeout(&self) -> Millis {
        let time_left = self.call.time_left(self.forwarder.clock.now());
        let stall_timeout = Millis(self.call.kind.gap.0 * STALL_GAPS).max(MIN_STALL_TIMEOUT);
        let resumable = self.numbered
            && is_repeatable(&self.call.kind)
            && self.retry_state.sent < self.call.kind.attempts;
        if resumable { time_left.min(stall_timeout) } else { time_left }
    }

    /// Resumes the stream at another server if the kind of work allows it.
    async fn resume_stream(&mut self, failure: AttemptFailure) -> io::Result<()> {
        let mut failure = failure;
        loop {
            let call = &self.call;
            log::info!(
                request = call.id.as_str(), server = self.placement.server.id.as_str(),
                events = self.event_count, sent = self.retry_state.sent;
                "stream broke off: {}", failure.detail()
            );
            // Closes the connection so that this server stops before the next one starts.
            self.stream = None;
            if !self.numbered {
                return Err(io::Error::other(failure.detail().to_owned()));
            }
            let now = self.forwarder.clock.now();
            if now >= call.deadline || !may_retry(&call.kind, &failure, self.retry_state.sent) {
                return Err(io::Error::other(failure.detail().to_owned()));
            }
            let next = self.guard.retry(failure.outcome()).await;
            self.placement = next.map_err(|refusal| io::Error::other(refusal.detail))?;
            self.forwarder.metrics.count_retry(&call.kind.id);
            self.retry_state.sent += 1;
            match self.forwarder.resume(call, &self.placement, &self.relayed).await {
                Ok(stream) => {
                    self.stream = Some(stream);
                    return Ok(());
                }
                Err(next) => failure = next,
            }
        }
    }

    fn finish(self) -> NextFrame {
        let Self { call, guard, stream, event_count, .. } = self;
        log::debug!(request = call.id.as_str(), events = event_count; "stream ended");
        if let Some(stream) = stream {
            stream.response.release();
        }
        guard.finish(Outcome::Ok, true);
        None
    }

    async fn fail(mut self, error: io::Error) -> NextFrame {
        self.ended = true;
        // `hyper` discards relayed events that it has not written when the body fails. It writes
        // them when the body is pending.
        future::yield_now().await;
        self.guard.fail(Outcome::Failed);
        Some((Err(error), self))
    }
}
