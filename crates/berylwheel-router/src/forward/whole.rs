//! Serves requests whose response is buffered as a whole.

use berylwheel_http::ResponseBody;
use berylwheel_http::full_body;
use berylwheel_http::local_timeout;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use bytes::Bytes;
use http::response::Parts;
use hyper::Response;

use super::attempt::ServerResponse;
use super::attempt::response_outcome;
use super::call::Call;
use super::call::remove_connection_headers;
use super::classify::AttemptFailure;
use super::classify::ResponseClass;
use super::listen::Forwarder;
use super::pipeline::Pipeline;
use super::response_body::buffer_body;
use super::silence::Awaited;
use super::silence::wait_time;
use super::stream::has_framing;
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
        let mut pipeline = Pipeline::admit(self, &call, admit).await?;
        let (head, body, class) = loop {
            let placement = pipeline.placement.clone();
            let exchange = self.exchange(&call, &placement);
            let Some(response) = pipeline.await_attempt(Awaited::Response, exchange).await? else {
                continue;
            };
            if !pipeline.retry_server_error(response.2, response.0.status).await {
                break response;
            }
        };
        let mut guard = pipeline.guard;
        if class == ResponseClass::Success {
            // A whole body does not tell how many tokens it took.
            guard.set_usage(Usage::Unknown);
            if has_framing(&head.headers) {
                guard.set_answered();
            } else {
                self.report_suspected_break(&call, &pipeline.placement);
            }
        }
        guard.finish(response_outcome(class, head.status.as_u16()), true);
        Ok(buffered_response(head, body))
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
        if class == ResponseClass::Success {
            self.report_arrival(call, placement, Awaited::Response);
        }
        response.release();
        Ok((head, body, class))
    }
}

/// Builds the caller's response from a server's response head and body.
pub(crate) fn buffered_response(mut head: Parts, body: Bytes) -> Response<ResponseBody> {
    remove_connection_headers(&mut head.headers);
    Response::from_parts(head, full_body(body))
}
