//! Requests whose answer is a stream of events: from the first event to the last.

use std::io;

use berylwheel_http::local_timeout;
use berylwheel_route::Outcome;
use berylwheel_types::Millis;
use berylwheel_types::Tokens;
use bytes::Bytes;
use http_body::Frame;

use super::attempt::Tries;
use super::call::Call;
use super::listen::Forwarder;
use super::stream::Opened;
use super::stream::Read;
use super::verdict::Failure;
use super::verdict::is_repeatable;
use super::verdict::may_repeat;
use crate::calls::ticket::Ticket;
use crate::control::command::Placement;

/// A stream that could go on at another server is taken to be stuck after a pause of this many times
/// the longest that is in time.
const RESUME_GAPS: u64 = 3;
/// The least such pause.
const RESUME_LEAST: Millis = Millis(800);

/// The rest of a stream. Dropping it closes the connection to the server, which stops its work, and
/// bills what has been passed on.
pub(crate) struct Relay {
    forwarder: Forwarder,
    call: Call,
    ticket: Ticket,
    start: Placement,
    tries: Tries,
    /// The stream as it comes from the server; `None` while it goes on at another.
    opened: Option<Opened>,
    /// The last event passed on.
    last_event: Option<u64>,
    /// Events passed on.
    count: u64,
    ended: bool,
}

type NextFrame = Option<(io::Result<Frame<Bytes>>, Relay)>;

impl Relay {
    pub(crate) fn new(
        forwarder: Forwarder,
        call: Call,
        ticket: Ticket,
        start: Placement,
        tries: Tries,
        opened: Opened,
    ) -> Self {
        let last_event = call.last_event;
        let opened = Some(opened);
        Self { forwarder, call, ticket, start, tries, opened, last_event, count: 0, ended: false }
    }

    /// Returns the next bytes for the caller: whole events, each once and in order.
    pub(crate) async fn next_frame(mut self) -> NextFrame {
        if self.ended {
            return None;
        }
        loop {
            let bytes = match self.take_events() {
                Ok(bytes) => bytes,
                Err(detail) => {
                    match self.recover(Failure::Unknown { timed_out: false, detail }).await {
                        Ok(()) => continue,
                        Err(error) => return self.fail(error),
                    }
                }
            };
            if !bytes.is_empty() {
                self.forwarder.link.note(self.forwarder.clock.now(), bytes.len());
                return Some((Ok(Frame::data(bytes)), self));
            }
            let limit = self.pause_limit();
            let Some(opened) = &mut self.opened else { return None };
            let (timed_out, detail) = match local_timeout(limit, opened.read()).await {
                Some(Read::Events) => continue,
                Some(Read::End) => return self.finish(),
                Some(Read::Broken(detail)) => (false, detail),
                None => (true, format!("no event in {limit}")),
            };
            if let Err(error) = self.recover(Failure::Unknown { timed_out, detail }).await {
                return self.fail(error);
            }
        }
    }

    /// Takes the events that have arrived and follow the last one passed on.
    fn take_events(&mut self) -> Result<Bytes, String> {
        let mut bytes = Vec::new();
        let mut first = None;
        while let Some(event) = self.opened.as_mut().and_then(|opened| opened.events.pop_front()) {
            if let (Some(id), Some(last)) = (event.id, self.last_event) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    return Err(format!("event {id} follows event {last}"));
                }
            }
            self.last_event = event.id.or(self.last_event);
            self.count += 1;
            match (&first, bytes.is_empty()) {
                (None, true) => first = Some(event.bytes),
                (Some(head), true) => {
                    bytes.extend_from_slice(head);
                    bytes.extend_from_slice(&event.bytes);
                }
                _ => bytes.extend_from_slice(&event.bytes),
            }
        }
        let tokens = self.count * self.call.event_tokens;
        self.ticket.set_used(self.call.prompt + Tokens(tokens.max(1)));
        Ok(if bytes.is_empty() { first.unwrap_or_default() } else { Bytes::from(bytes) })
    }

    /// Returns how long the next event is waited for.
    fn pause_limit(&self) -> Millis {
        let left = self.call.left(self.forwarder.clock.now());
        let stuck = Millis(self.call.kind.gap.0 * RESUME_GAPS).max(RESUME_LEAST);
        let resumable = is_repeatable(&self.call.kind) && self.tries.sent < self.call.kind.attempts;
        if resumable { left.min(stuck) } else { left }
    }

    /// Goes on at another server, if the kind of work allows it.
    async fn recover(&mut self, failure: Failure) -> io::Result<()> {
        let mut failure = failure;
        loop {
            let call = &self.call;
            log::info!(
                request = call.id.as_str(), server = self.start.server.id.as_str(),
                events = self.count, sent = self.tries.sent; "stream broke off: {}", failure.detail()
            );
            // Closing the connection stops the server, so that it does not run beside the next one.
            self.opened = None;
            let now = self.forwarder.clock.now();
            if now >= call.end || !may_repeat(&call.kind, &failure, self.tries.sent) {
                return Err(io::Error::other(failure.detail().to_owned()));
            }
            let next = self.ticket.retry(failure.outcome()).await;
            self.start = next.map_err(|refusal| io::Error::other(refusal.detail))?;
            self.forwarder.metrics.count_retry(&call.kind.id);
            self.tries.sent += 1;
            match self.forwarder.resume(call, &self.start, self.last_event).await {
                Ok(opened) => {
                    self.opened = Some(opened);
                    return Ok(());
                }
                Err(next) => failure = next,
            }
        }
    }

    fn finish(self) -> NextFrame {
        let Self { call, ticket, opened, count, .. } = self;
        log::debug!(request = call.id.as_str(), events = count; "stream ended");
        if let Some(opened) = opened {
            opened.answered.keep();
        }
        ticket.finish(Outcome::Ok, true);
        None
    }

    fn fail(mut self, error: io::Error) -> NextFrame {
        self.ended = true;
        self.ticket.fail(Outcome::Failed);
        Some((Err(error), self))
    }
}
