//! Relays a response stream to the caller, starting with its first event.

use std::io;
use std::sync::Arc;

use berylwheel_http::IdleLimit;
use berylwheel_http::ServerEvent;
use berylwheel_route::Outcome;
use berylwheel_types::Millis;
use berylwheel_types::Tokens;
use bytes::Bytes;
use futures_lite::future;
use http_body::Frame;

use super::attempt::ANSWER_START;
use super::attempt::RetryState;
use super::call::Call;
use super::classify::AttemptFailure;
use super::classify::may_retry;
use super::listen::Forwarder;
use super::measure::GenerationTimer;
use super::resumed::RelayedStream;
use super::resumed::ResumedPart;
use super::resumed::StreamFormat;
use super::resumed::check_resumed;
use super::resumed::is_comment;
use super::silence::Awaited;
use super::silence::may_move;
use super::silence::silence_limit;
use super::stream::OpenStream;
use super::stream::ReadResult;
use super::trace::AnswerProgress;
use super::trace::PartList;
use crate::calls::request_guard::RequestGuard;
use crate::control::command::Placement;
use crate::control::command::Usage;

/// A response stream that is being relayed. Dropping it closes the connection, so that the server
/// stops working on the request, and bills the events that were relayed.
pub(crate) struct Relay {
    forwarder: Forwarder,
    call: Call,
    guard: RequestGuard,
    placement: Arc<Placement>,
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
    timer: GenerationTimer,
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
        placement: Arc<Placement>,
        retry_state: RetryState,
        stream: OpenStream,
    ) -> Self {
        let format = StreamFormat::of(&stream.response.head);
        let relayed = RelayedStream { format, last_event: call.last_event };
        let timer = GenerationTimer::new(forwarder.clock.now(), stream.events.len() as u64);
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
            timer,
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
            let since = self.forwarder.clock.now();
            let result = match self.event_limit.run(timeout, stream.read()).await {
                Some(ReadResult::Events) => {
                    self.timer.record_wait(since, self.forwarder.clock.now());
                    continue;
                }
                Some(ReadResult::End) => return self.finish(),
                Some(ReadResult::Failed(detail)) => {
                    let failure = AttemptFailure::Unknown { timed_out: false, detail };
                    self.resume_stream(failure).await
                }
                None => self.move_silent_stream(timeout).await,
            };
            if let Err(error) = result {
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
        let used = self.call.prompt_tokens.saturating_add(Tokens(tokens.max(1)));
        self.guard.set_usage(Usage::Known(used));
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
        match self.may_move() {
            true => time_left.min(silence_limit(&self.call.kind, Awaited::NextEvent)),
            false => time_left,
        }
    }

    fn may_move(&self) -> bool {
        self.numbered && may_move(&self.call.kind, self.retry_state.sent)
    }

    /// Moves a stream whose server has been silent for `timeout` to another server. Without another
    /// server the stream stays, and ends only at its deadline.
    async fn move_silent_stream(&mut self, timeout: Millis) -> io::Result<()> {
        if self.may_move() {
            let sent = self.retry_state.sent;
            let moving = self.forwarder.move_request(&self.call, &self.guard, sent, timeout);
            if let Some(next) = moving.await {
                return self.continue_at(next).await;
            }
        }
        if self.forwarder.clock.now() < self.call.deadline {
            return Ok(());
        }
        let detail = format!("no event within {timeout}, deadline reached");
        self.resume_stream(AttemptFailure::Unknown { timed_out: true, detail }).await
    }

    /// Resumes the stream at another server if the kind of work allows it.
    async fn resume_stream(&mut self, failure: AttemptFailure) -> io::Result<()> {
        let call = &self.call;
        let now = self.forwarder.clock.now();
        let progress = call.trace.progress(now);
        log::info!(
            request = call.id.as_str(), server = self.placement.server.id.as_str(),
            events = self.event_count, sent = self.retry_state.sent, answer = progress.name(),
            ms = call.trace.age(now).0, parts:% = PartList(&call.parts);
            "stream broke off: {}", failure.detail()
        );
        self.forwarder.metrics.count_broken_attempt(progress.name());
        self.forwarder.report_break(call, &self.placement, &failure);
        // Closes the connection so that this server stops before the next one starts.
        self.stream = None;
        if !self.numbered {
            return Err(io::Error::other(failure.detail().to_owned()));
        }
        if now >= call.deadline || !may_retry(&call.kind, &failure, self.retry_state.sent) {
            return Err(io::Error::other(failure.detail().to_owned()));
        }
        let next = self.guard.retry(failure.outcome(), true).await.map_err(|refusal| {
            log::info!(request = call.id.as_str(); "stream not resumed: {}", refusal.detail);
            io::Error::other(refusal.detail)
        })?;
        self.forwarder.metrics.count_retry(&call.kind.id);
        self.continue_at(next).await
    }

    /// Resumes the stream at the server of `placement`, or at another one if that fails.
    async fn continue_at(&mut self, placement: Placement) -> io::Result<()> {
        self.stream = None;
        self.timer.record_move();
        self.placement = Arc::new(placement);
        self.retry_state.sent += 1;
        match self.forwarder.resume(&self.call, &self.placement, &self.relayed).await {
            Ok(stream) => {
                self.stream = Some(stream);
                Ok(())
            }
            Err(failure) => Box::pin(self.resume_stream(failure)).await,
        }
    }

    fn finish(self) -> NextFrame {
        let Self { forwarder, call, mut guard, placement, stream, event_count, timer, .. } = self;
        // A server that ends may leave a stream that looks complete if nothing states its length.
        let is_framed = stream.as_ref().is_some_and(OpenStream::is_framed);
        let progress = call.trace.progress(forwarder.clock.now());
        if is_framed || matches!(progress, AnswerProgress::Events(age) if age >= ANSWER_START) {
            guard.set_answered();
        } else {
            forwarder.report_suspected_break(&call, &placement);
        }
        if is_framed {
            forwarder.report_generation(&call, &placement, &timer, event_count);
        }
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
