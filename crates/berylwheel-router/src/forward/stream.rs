//! Opens response streams: waits for the first event and retries until it arrives.

use std::collections::VecDeque;

use berylwheel_http::EventSplitter;
use berylwheel_http::ResponseBody;
use berylwheel_http::ServerEvent;
use berylwheel_http::local_timeout;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use bytes::Bytes;
use http::HeaderMap;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;

use super::attempt::ServerResponse;
use super::attempt::response_outcome;
use super::call::Call;
use super::call::remove_connection_headers;
use super::classify::AttemptFailure;
use super::classify::ResponseClass;
use super::listen::Forwarder;
use super::pipeline::Pipeline;
use super::relay::Relay;
use super::response_body::buffer_body;
use super::resumed::RelayedStream;
use super::resumed::ResumedPart;
use super::resumed::StreamFormat;
use super::resumed::check_resumed;
use super::resumed::is_comment;
use super::silence::Awaited;
use super::silence::wait_time;
use super::whole::buffered_response;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;

/// A response stream whose first event has arrived, or its end if it has no further events.
pub(crate) struct OpenStream {
    /// The response, whose body holds the remaining events.
    pub response: ServerResponse,
    /// Buffers the received bytes and splits them into events.
    pub splitter: EventSplitter,
    /// Received events that were not yet relayed.
    pub events: VecDeque<ServerEvent>,
    /// Whether the stream continues that of another server.
    pub resumed: bool,
    /// Whether any event was received; comments are none.
    has_event: bool,
    ended: bool,
}

/// The result of opening a stream.
enum OpenResult {
    Stream(Box<OpenStream>),
    /// A buffered response that is not a stream, such as an error response of the server.
    Whole(Box<ServerResponse>, Bytes),
}

impl Forwarder {
    /// Serves a request whose response is a stream.
    pub(crate) async fn serve_stream(
        &self,
        call: Call,
        admit: AdmitRequest,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut pipeline = Pipeline::admit(self, &call, admit).await?;
        let opened = loop {
            let timeout = wait_time(call.time_left(self.clock.now()));
            let placement = pipeline.placement.clone();
            let opening = self.open_with_timeout(&call, &placement, None, timeout);
            if let Some(opened) = pipeline.await_attempt(Awaited::FirstEvent, opening).await? {
                break opened;
            }
        };
        let Pipeline { guard, placement, mut retry_state, .. } = pipeline;
        let stream = match opened {
            OpenResult::Stream(stream) => stream,
            OpenResult::Whole(response, body) => {
                let head = response.head.clone();
                let outcome = response_outcome(response.class, head.status.as_u16());
                response.release();
                guard.finish(outcome, true);
                return Ok(buffered_response(head, body));
            }
        };
        guard.first_token();
        retry_state.sent += 1;
        self.metrics.record_first_token(&call.kind.id, self.clock.now().since(call.arrived_at));
        let mut head = stream.response.head.clone();
        remove_connection_headers(&mut head.headers);
        let relay = Relay::new(self.clone(), call, guard, placement, retry_state, *stream);
        let body = StreamBody::new(futures_lite::stream::unfold(relay, Relay::next_frame));
        Ok(Response::from_parts(head, body.boxed_unsync()))
    }

    /// Sends the request and waits for the first event, which follows those of `relayed` if a stream
    /// is resumed.
    async fn open_with_timeout(
        &self,
        call: &Call,
        placement: &Placement,
        relayed: Option<&RelayedStream>,
        timeout: Millis,
    ) -> Result<OpenResult, AttemptFailure> {
        let started = self.clock.now();
        let last_event = relayed.map_or(call.last_event, |relayed| relayed.last_event);
        let response = self.send_attempt(call, placement, last_event, timeout).await?;
        let remaining = Millis(timeout.0.saturating_sub(self.clock.now().since(started).0));
        let server = &placement.server.id;
        let timeout_failure = || {
            let detail = format!("{server}: no first event within {timeout}");
            AttemptFailure::Unknown { timed_out: true, detail }
        };
        if let Some(relayed) = relayed {
            let format = StreamFormat::of(&response.head);
            check_resumed(relayed, ResumedPart::Head(&format)).map_err(|error| {
                AttemptFailure::Unknown { timed_out: false, detail: format!("{server}: {error}") }
            })?;
        }
        if response.class != ResponseClass::Success {
            let mut response = response;
            let buffered = buffer_body(&mut response.body, &self.response_memory);
            let body = local_timeout(remaining, buffered).await.ok_or_else(timeout_failure)?;
            let body = body.map_err(|error| AttemptFailure::Unknown {
                timed_out: false,
                detail: format!("{server}: no complete body: {error}"),
            })?;
            return Ok(OpenResult::Whole(Box::new(response), body));
        }
        let mut stream = OpenStream {
            response,
            splitter: EventSplitter::default(),
            events: VecDeque::new(),
            resumed: relayed.is_some(),
            has_event: false,
            ended: false,
        };
        let first = async {
            match stream.read().await {
                ReadResult::Events => Ok(()),
                // No event follows the last one.
                ReadResult::End if last_event.is_some() => Ok(()),
                ReadResult::End => Err("the stream ended before its first event".to_owned()),
                ReadResult::Failed(detail) => Err(detail),
            }
        };
        match local_timeout(remaining, first).await {
            None => Err(timeout_failure()),
            Some(Ok(())) => {
                call.trace.record_event(self.clock.now());
                if relayed.is_none() && stream.has_event {
                    self.report_arrival(call, placement, Awaited::FirstEvent);
                }
                Ok(OpenResult::Stream(Box::new(stream)))
            }
            Some(Err(detail)) => Err(AttemptFailure::Unknown {
                timed_out: false,
                detail: format!("{server}: {detail}"),
            }),
        }
    }

    /// Resumes a stream after the events of `relayed` at the server of `placement`.
    pub(crate) async fn resume(
        &self,
        call: &Call,
        placement: &Placement,
        relayed: &RelayedStream,
    ) -> Result<OpenStream, AttemptFailure> {
        let time_left = call.time_left(self.clock.now());
        match self.open_with_timeout(call, placement, Some(relayed), time_left).await? {
            OpenResult::Stream(stream) => Ok(*stream),
            OpenResult::Whole(response, _) => {
                let detail = format!("{} responded {}", placement.server.id, response.head.status);
                Err(AttemptFailure::Unknown { timed_out: false, detail })
            }
        }
    }
}

/// The result of reading from a stream.
#[derive(Debug)]
pub(crate) enum ReadResult {
    /// At least one complete event was received.
    Events,
    /// The stream ended after a complete event.
    End,
    /// The stream failed or ended within an event.
    Failed(String),
}

impl OpenStream {
    /// Returns whether the end of the stream shows that it is complete.
    pub(crate) fn is_framed(&self) -> bool {
        has_framing(&self.response.head.headers)
    }

    /// Reads until a complete event or the end of the stream is received.
    pub(crate) async fn read(&mut self) -> ReadResult {
        while !self.ended {
            match self.response.body.frame().await {
                None if self.splitter.has_partial_event() => {
                    return ReadResult::Failed("the stream ended within an event".to_owned());
                }
                // The server may have failed before its first event.
                None if !self.has_event && !has_framing(&self.response.head.headers) => {
                    return ReadResult::Failed("the connection ended before an event".to_owned());
                }
                None => {
                    self.ended = true;
                    break;
                }
                Some(Err(error)) => return ReadResult::Failed(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.splitter.push(&bytes);
                }
            }
            while let Some(event) = self.splitter.next_event() {
                self.has_event |= !is_comment(&event);
                self.events.push_back(event);
            }
            if self.splitter.is_over_limit() {
                return ReadResult::Failed("an event exceeds the size limit".to_owned());
            }
            if !self.events.is_empty() {
                return ReadResult::Events;
            }
        }
        ReadResult::End
    }
}

/// Returns whether the end of the body shows that it is complete. Other bodies end with their
/// connection.
pub(crate) fn has_framing(headers: &HeaderMap) -> bool {
    let encoding = headers.get(header::TRANSFER_ENCODING).and_then(|value| value.to_str().ok());
    let encoding = encoding.and_then(|value| value.rsplit(',').next());
    headers.contains_key(header::CONTENT_LENGTH)
        || encoding.is_some_and(|value| value.trim().eq_ignore_ascii_case("chunked"))
}
