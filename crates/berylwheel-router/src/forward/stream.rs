//! Requests whose answer is a stream of events: until the first event has arrived.

use std::collections::VecDeque;

use berylwheel_http::EventSplitter;
use berylwheel_http::ResponseBody;
use berylwheel_http::ServerEvent;
use berylwheel_http::local_timeout;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;

use super::attempt::Answered;
use super::attempt::Tries;
use super::attempt::outcome_of;
use super::call::Call;
use super::call::remove_connection_headers;
use super::listen::Forwarder;
use super::relay::Relay;
use super::verdict::Failure;
use super::verdict::Verdict;
use super::verdict::is_repeatable;
use super::whole::whole_response;
use crate::calls::ticket::Ticket;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;

/// A first event that could come from another server is waited for this many times the kind's
/// target.
const PATIENCE_TARGETS: u64 = 2;

/// A stream whose first event has arrived.
pub(crate) struct Opened {
    /// The answer, whose body holds the events that follow.
    pub answered: Answered,
    /// The bytes that have arrived.
    pub splitter: EventSplitter,
    /// Events that have arrived.
    pub events: VecDeque<ServerEvent>,
}

/// What came instead of a stream's first event.
enum Opening {
    Stream(Box<Opened>),
    /// A whole answer, such as a failure that the server states.
    Whole(Box<Answered>, Bytes),
}

impl Forwarder {
    /// Serves a request whose answer is a stream.
    pub(crate) async fn stream(
        &self,
        call: Call,
        admit: AdmitRequest,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (ticket, mut start) = Ticket::admit(&self.events, admit).await?;
        let mut tries = Tries::default();
        let opened = loop {
            // Nothing is billed before the first event is passed on: a caller that got nothing sends
            // the request again, and it would be billed twice.
            let failure = match self.open(&call, &start, &tries).await {
                Ok(Opening::Stream(opened)) => break opened,
                Ok(Opening::Whole(answered, body)) => {
                    let head = answered.head.clone();
                    let outcome = outcome_of(answered.verdict, head.status.as_u16());
                    answered.keep();
                    ticket.finish(outcome, true);
                    return Ok(whole_response(head, body));
                }
                Err(failure) => failure,
            };
            let outcome = failure.outcome();
            start = match self.next_server(&call, &ticket, &start, &mut tries, failure).await {
                Ok(next) => next,
                Err(refusal) => {
                    ticket.finish(outcome, false);
                    return Err(refusal);
                }
            };
        };
        ticket.first_token();
        tries.sent += 1;
        self.metrics.record_first_token(&call.kind.id, self.clock.now().since(call.arrived));
        let mut head = opened.answered.head.clone();
        remove_connection_headers(&mut head.headers);
        let relay = Relay::new(self.clone(), call, ticket, start, tries, *opened);
        let body = StreamBody::new(futures_lite::stream::unfold(relay, Relay::next_frame));
        Ok(Response::from_parts(head, body.boxed_unsync()))
    }

    async fn open(
        &self,
        call: &Call,
        start: &Placement,
        tries: &Tries,
    ) -> Result<Opening, Failure> {
        let left = call.left(self.clock.now());
        let repeatable = is_repeatable(&call.kind) && tries.sent + 1 < call.kind.attempts;
        let patience = Millis(call.kind.target.0 * PATIENCE_TARGETS);
        let limit = if repeatable { left.min(patience) } else { left };
        self.open_within(call, start, call.last_event, limit).await
    }

    /// Sends the request and waits for the first event that follows `last_event`.
    async fn open_within(
        &self,
        call: &Call,
        start: &Placement,
        last_event: Option<u64>,
        limit: Millis,
    ) -> Result<Opening, Failure> {
        let started = self.clock.now();
        let answered = self.attempt(call, start, last_event, limit).await?;
        let rest = Millis(limit.0.saturating_sub(self.clock.now().since(started).0));
        let server = &start.server.id;
        let late = || {
            let detail = format!("{server}: no first event in {limit}");
            Failure::Unknown { timed_out: true, detail }
        };
        if answered.verdict != Verdict::Success {
            let (answered, body) =
                local_timeout(rest, collect(answered)).await.ok_or_else(late)??;
            return Ok(Opening::Whole(Box::new(answered), body));
        }
        let mut opened =
            Opened { answered, splitter: EventSplitter::default(), events: VecDeque::new() };
        let first = async {
            match opened.read().await {
                Read::Events => Ok(()),
                Read::End => Err("the stream ended before its first event".to_owned()),
                Read::Broken(detail) => Err(detail),
            }
        };
        match local_timeout(rest, first).await {
            None => Err(late()),
            Some(Ok(())) => Ok(Opening::Stream(Box::new(opened))),
            Some(Err(detail)) => {
                Err(Failure::Unknown { timed_out: false, detail: format!("{server}: {detail}") })
            }
        }
    }

    /// Resumes a stream behind `last_event` at the server of `start`.
    pub(crate) async fn resume(
        &self,
        call: &Call,
        start: &Placement,
        last_event: Option<u64>,
    ) -> Result<Opened, Failure> {
        let left = call.left(self.clock.now());
        match self.open_within(call, start, last_event, left).await? {
            Opening::Stream(opened) => Ok(*opened),
            Opening::Whole(answered, _) => {
                let detail = format!("{} answered {}", start.server.id, answered.head.status);
                Err(Failure::Unknown { timed_out: false, detail })
            }
        }
    }
}

/// What reading more of a stream brought.
#[derive(Debug)]
pub(crate) enum Read {
    /// At least one whole event.
    Events,
    /// The end of the stream, after a whole event.
    End,
    /// The stream broke off.
    Broken(String),
}

impl Opened {
    /// Reads until a whole event or the end has arrived.
    pub(crate) async fn read(&mut self) -> Read {
        loop {
            match self.answered.body.frame().await {
                None if self.splitter.has_partial_event() => {
                    return Read::Broken("the stream ended within an event".to_owned());
                }
                None => return Read::End,
                Some(Err(error)) => return Read::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.splitter.push(&bytes);
                }
            }
            while let Some(event) = self.splitter.next_event() {
                self.events.push_back(event);
            }
            if self.splitter.is_over_limit() {
                return Read::Broken("an event is too large".to_owned());
            }
            if !self.events.is_empty() {
                return Read::Events;
            }
        }
    }
}

async fn collect(mut answered: Answered) -> Result<(Answered, Bytes), Failure> {
    match (&mut answered.body).collect().await {
        Ok(body) => Ok((answered, body.to_bytes())),
        Err(error) => Err(Failure::Unknown { timed_out: false, detail: error.to_string() }),
    }
}
