//! Serves requests whose response is buffered as a whole.

use berylwheel_http::ResponseBody;
use berylwheel_http::full_body;
use berylwheel_http::local_timeout;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use bytes::Bytes;
use http::response::Parts;
use hyper::Response;

use super::attempt::RetryState;
use super::attempt::ServerResponse;
use super::attempt::response_outcome;
use super::call::Call;
use super::call::remove_connection_headers;
use super::classify::AttemptFailure;
use super::classify::ResponseClass;
use super::classify::is_repeatable;
use super::listen::Forwarder;
use super::response_body::buffer_body;
use super::silence::AttemptResult;
use super::silence::Awaited;
use super::silence::wait_time;
use super::stream::has_framing;
use crate::calls::request_guard::RequestGuard;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;
use crate::control::command::Usage;

impl Forwarder {
    /// Serves a request whose response is buffered as a whole.
    pub(crate) async fn serve_whole(
        &self,
        call: Call,
        admit: AdmitRequest,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (mut guard, mut placement) = RequestGuard::admit(&self.events, admit).await?;
        guard.set_usage(Usage::NoResult);
        let mut retry_state = RetryState::default();
        loop {
            let exchange = self.exchange(&call, &placement);
            let exchanged = self
                .await_attempt(
                    &call,
                    &guard,
                    &placement,
                    &mut retry_state,
                    Awaited::Response,
                    exchange,
                )
                .await;
            let failure = match exchanged {
                AttemptResult::Moved(next) => {
                    placement = next;
                    continue;
                }
                AttemptResult::Ended(Ok((head, body, class))) => {
                    let outcome = response_outcome(class, head.status.as_u16());
                    let should_retry = class == ResponseClass::Failure
                        && head.status.is_server_error()
                        && is_repeatable(&call.kind)
                        && retry_state.sent + 1 < call.kind.attempts;
                    if should_retry {
                        retry_state.sent += 1;
                        retry_state.maybe_ran = true;
                        if let Ok(next) = guard.retry(outcome, true).await {
                            log::info!(
                                request = call.id.as_str(), server = placement.server.id.as_str(),
                                status = head.status.as_u16(); "retrying after a server error"
                            );
                            placement = next;
                            continue;
                        }
                    }
                    if class == ResponseClass::Success {
                        // A whole body does not tell how many tokens it took.
                        guard.set_usage(Usage::Unknown);
                        if has_framing(&head.headers) {
                            guard.set_answered();
                        }
                    }
                    guard.finish(outcome, true);
                    return Ok(buffered_response(head, body));
                }
                AttemptResult::Ended(Err(failure)) => failure,
            };
            let outcome = failure.outcome();
            placement = match self
                .next_server(&call, &guard, &placement, &mut retry_state, failure)
                .await
            {
                Ok(next) => next,
                Err(refusal) => {
                    guard.finish(outcome, false);
                    return Err(refusal);
                }
            };
        }
    }

    async fn exchange(
        &self,
        call: &Call,
        placement: &Placement,
    ) -> Result<(Parts, Bytes, ResponseClass), AttemptFailure> {
        let started = self.clock.now();
        let timeout = wait_time(call.time_left(started));
        let mut response = self.send_attempt(call, placement, None, timeout).await?;
        let remaining = Millis(timeout.0.saturating_sub(self.clock.now().since(started).0));
        let buffered = buffer_body(&mut response.body, &self.response_memory);
        let body = match local_timeout(remaining, buffered).await {
            Some(Ok(body)) => body,
            Some(Err(error)) => {
                let detail = format!("{}: no complete body: {error}", placement.server.id);
                return Err(AttemptFailure::Unknown { timed_out: false, detail });
            }
            None => {
                let detail =
                    format!("{}: no complete response within {timeout}", placement.server.id);
                return Err(AttemptFailure::Unknown { timed_out: true, detail });
            }
        };
        let ServerResponse { head, class, .. } = &response;
        let (head, class) = (head.clone(), *class);
        response.release();
        Ok((head, body, class))
    }
}

/// Builds the caller's response from a server's response head and body.
pub(crate) fn buffered_response(mut head: Parts, body: Bytes) -> Response<ResponseBody> {
    remove_connection_headers(&mut head.headers);
    Response::from_parts(head, full_body(body))
}
