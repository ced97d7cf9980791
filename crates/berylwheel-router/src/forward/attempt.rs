//! One attempt at a backend server.

use async_channel::TrySendError;
use berylwheel_http::PooledConnection;
use berylwheel_http::SendOptions;
use berylwheel_route::LoadReport;
use berylwheel_route::Outcome;
use berylwheel_settings::Repeat;
use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use http::Request;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;

use super::call::Call;
use super::listen::Forwarder;
use super::platform::AnswerHead;
use super::platform::AnswerLoad;
use super::platform::Hop;
use super::verdict::Failure;
use super::verdict::Verdict;
use super::verdict::is_repeatable;
use super::verdict::judge;
use super::verdict::may_repeat;
use crate::calls::ticket::Ticket;
use crate::control::command::Placement;
use crate::control::event::Event;

/// Time for a connection to a server to be made. Servers are at most a few milliseconds away.
const CONNECT_TIME: Millis = Millis(250);
/// How long a reused connection may have been idle for a request that may run once only. The server
/// may close a connection just as the request is sent, and then nothing tells whether it ran.
const ONCE_IDLE: Millis = Millis(1_000);
/// The same for a request that may be repeated.
const IDLE_MOST: Millis = Millis(30_000);
/// Time after which a caller tries again whose request no server took.
const RETRY_AFTER: Millis = Millis(100);

/// A server's answer whose head has arrived.
pub(crate) struct Answered {
    pub head: Parts,
    pub said: AnswerHead,
    pub verdict: Verdict,
    pub body: Incoming,
    pub sent: PooledConnection,
}

impl Answered {
    /// Keeps the connection once the body has been read to its end.
    pub(crate) fn keep(self) {
        if !self.said.closes {
            self.sent.release(self.said.keep);
        }
    }
}

/// How a request has fared so far.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Servers that it was sent to.
    pub sent: u32,
    /// Whether it may have run at one of them.
    pub ran: bool,
}

impl Forwarder {
    /// Sends a request to the server of `start` and returns the answer once its head has arrived.
    pub(crate) async fn attempt(
        &self,
        call: &Call,
        start: &Placement,
        last_event: Option<u64>,
        limit: Millis,
    ) -> Result<Answered, Failure> {
        let server = &start.server;
        let mut headers = call.headers.clone();
        let hop = Hop {
            server: &server.id,
            workspace: call.workspace.as_ref(),
            left: call.left(self.clock.now()),
            rank: (call.prompt.0 > 0).then_some(call.rank),
            last_event,
        };
        self.platform.forward(&mut headers, &hop);
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.target.clone();
        *request.headers_mut() = headers;
        let options = SendOptions {
            max_idle: if is_repeatable(&call.kind) { IDLE_MOST } else { idle_once(call) },
            connect_timeout: CONNECT_TIME,
            head_timeout: limit,
        };
        log::debug!(
            request = call.id.as_str(), server = server.id.as_str(), kind = call.kind.id.as_str(),
            left = hop.left.0; "sent to a server"
        );
        self.link.send(self.clock.now(), call.body.len());
        let (response, sent) = self.upstream.send(server.address, request, options).await?;
        let (head, body) = response.into_parts();
        let said = self.platform.answer(&head.headers);
        if let Some(load) = said.load {
            self.report(&server.id, load);
        }
        let verdict = judge(call.id.as_str(), head.status.as_u16(), &said);
        let answered = Answered { head, said, verdict, body, sent };
        match verdict {
            Verdict::Success | Verdict::Failure => Ok(answered),
            Verdict::NotRun => {
                let status = answered.head.status;
                Err(Failure::NotRun { detail: format!("{} answered {status}, not run", server.id) })
            }
            Verdict::Foreign => {
                let detail = format!("{} sent an answer to another request", server.id);
                Err(Failure::Unknown { timed_out: false, detail })
            }
        }
    }

    /// Decides what follows a failed attempt: another server, or the refusal that ends the request.
    pub(crate) async fn next_server(
        &self,
        call: &Call,
        ticket: &Ticket,
        start: &Placement,
        tries: &mut Tries,
        failure: Failure,
    ) -> Result<Placement, Refusal> {
        let outcome = failure.outcome();
        tries.sent += u32::from(!matches!(failure, Failure::NotSent { .. }));
        tries.ran |= failure.may_have_run();
        log::info!(
            request = call.id.as_str(), server = start.server.id.as_str(), outcome:? = outcome,
            sent = tries.sent, ran = tries.ran; "attempt failed: {}", failure.detail()
        );
        let refusal = failure.refusal(tries.ran, RETRY_AFTER);
        if self.clock.now() >= call.end || !may_repeat(&call.kind, &failure, tries.sent) {
            return Err(refusal);
        }
        self.metrics.count_retry(&call.kind.id);
        ticket.retry(outcome).await.map_err(|_| refusal)
    }

    fn report(&self, server: &BackendId, load: AnswerLoad) {
        let report = LoadReport {
            at: self.clock.now(),
            in_flight: load.running,
            queued: load.waiting,
            draining: false,
            loaded: None,
        };
        self.tell(Event::LoadReported(server.clone(), report));
    }

    fn tell(&self, event: Event) {
        // The channel is unbounded: this fails only once the control thread has ended.
        if let Err(TrySendError::Closed(_)) = self.events.try_send(event) {
            log::debug!("the control thread has ended");
        }
    }
}

fn idle_once(call: &Call) -> Millis {
    match call.kind.repeat {
        Repeat::Once | Repeat::Never if call.prompt.0 == 0 => Millis(0),
        _ => ONCE_IDLE,
    }
}

/// Returns what an ended request tells of its server.
pub(crate) fn outcome_of(verdict: Verdict, status: u16) -> Outcome {
    match verdict {
        Verdict::Success => Outcome::Ok,
        Verdict::Failure if status >= 500 => Outcome::Failed,
        _ => Outcome::Ok,
    }
}
