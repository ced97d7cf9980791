//! Requests whose answer is one body.

use berylwheel_http::ResponseBody;
use berylwheel_http::full_body;
use berylwheel_http::local_timeout;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use bytes::Bytes;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Response;

use super::attempt::Answered;
use super::attempt::Tries;
use super::attempt::outcome_of;
use super::call::Call;
use super::call::remove_connection_headers;
use super::listen::Forwarder;
use super::verdict::Failure;
use super::verdict::Verdict;
use super::verdict::is_repeatable;
use crate::calls::ticket::Ticket;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;

/// The largest answer that is collected, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;
/// An attempt that could be repeated is given up after this many times the kind's target.
const PATIENCE_TARGETS: u64 = 3;
/// The least time for such an attempt.
const PATIENCE_LEAST: Millis = Millis(250);

impl Forwarder {
    /// Serves a request whose answer is one body.
    pub(crate) async fn whole(
        &self,
        call: Call,
        admit: AdmitRequest,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (ticket, mut start) = Ticket::admit(&self.events, admit).await?;
        let mut tries = Tries::default();
        loop {
            let failure = match self.exchange(&call, &start, &tries).await {
                Ok((head, body, verdict)) => {
                    let outcome = outcome_of(verdict, head.status.as_u16());
                    let again = verdict == Verdict::Failure
                        && head.status.is_server_error()
                        && is_repeatable(&call.kind)
                        && tries.sent + 1 < call.kind.attempts;
                    if again {
                        tries.sent += 1;
                        if let Ok(next) = ticket.retry(outcome).await {
                            log::info!(
                                request = call.id.as_str(), server = start.server.id.as_str(),
                                status = head.status.as_u16(); "repeated after a failure"
                            );
                            start = next;
                            continue;
                        }
                    }
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
        }
    }

    async fn exchange(
        &self,
        call: &Call,
        start: &Placement,
        tries: &Tries,
    ) -> Result<(Parts, Bytes, Verdict), Failure> {
        let started = self.clock.now();
        let left = call.left(started);
        let repeatable = is_repeatable(&call.kind) && tries.sent + 1 < call.kind.attempts;
        let patience = Millis(call.kind.target.0 * PATIENCE_TARGETS).max(PATIENCE_LEAST);
        let limit = if repeatable { left.min(patience) } else { left };
        let mut answered = self.attempt(call, start, None, limit).await?;
        let rest = Millis(limit.0.saturating_sub(self.clock.now().since(started).0));
        let collected = Limited::new(&mut answered.body, ANSWER_LIMIT).collect();
        let body = match local_timeout(rest, collected).await {
            Some(Ok(body)) => {
                let body = body.to_bytes();
                self.link.note(self.clock.now(), body.len());
                body
            }
            Some(Err(error)) => {
                let detail = format!("{}: answer broke off: {error}", start.server.id);
                return Err(Failure::Unknown { timed_out: false, detail });
            }
            None => {
                let detail = format!("{}: no whole answer in {limit}", start.server.id);
                return Err(Failure::Unknown { timed_out: true, detail });
            }
        };
        let Answered { head, verdict, .. } = &answered;
        let (head, verdict) = (head.clone(), *verdict);
        answered.keep();
        Ok((head, body, verdict))
    }
}

/// Returns a server's answer for the caller.
pub(crate) fn whole_response(mut head: Parts, body: Bytes) -> Response<ResponseBody> {
    remove_connection_headers(&mut head.headers);
    Response::from_parts(head, full_body(body))
}
