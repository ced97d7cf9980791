//! Non-idempotent calls. A record is written to the store before the first byte of the call is
//! sent, and completed with the response.

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use berylwheel_budget::OnceAnswer;
use berylwheel_budget::OnceDecision;
use berylwheel_budget::OnceRecord;
use berylwheel_budget::OnceState;
use berylwheel_budget::decide_once;
use berylwheel_http::Caller;
use berylwheel_http::timeout;
use berylwheel_route::Outcome;
use berylwheel_types::Code;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use http_types::Response;
use serde::Deserialize;
use serde_json::Value;

use crate::calls::once::OnceStore;
use crate::calls::once::RecordError;
use crate::calls::once::done;
use crate::calls::service::ServiceCall;
use crate::calls::service::failure;
use crate::calls::service::outcome_of;
use crate::calls::service::respond;
use crate::calls::ticket::Ticket;
use crate::calls::traffic::Call;
use crate::calls::traffic::Traffic;
use crate::control::command::Admit;
use crate::control::command::Start;
use crate::control::effects::fetch_json;

/// Longest time that the response is held back until it is recorded. Recording continues in the
/// background after that.
const RESULT_TIME: Millis = Millis(500);
/// Interval between lookups of the outcome of a call at its services.
const LOOKUP_INTERVAL: Millis = Millis(1_000);
/// Maximum number of lookups of the outcome of a call.
const LOOKUP_LIMIT: u32 = 60;
/// `Retry-After` of a call whose outcome is unknown.
const UNKNOWN_RETRY: Millis = Millis(2_000);
/// `Retry-After` when the store is unavailable.
const STORE_RETRY: Millis = Millis(5_000);
/// Timeout of a lookup at one server.
const LOOKUP_TIME: Millis = Millis(2_000);

impl Traffic {
    /// Sends a call at most once. Its record is in the store before its first byte is sent.
    pub(crate) async fn call_once(
        &self,
        call: Call,
        admit: Admit,
        outgoing: ServiceCall,
        caller: Option<Caller>,
    ) -> Result<Response, Refusal> {
        let key = call.key.clone().unwrap_or_default();
        let records = OnceStore::new(self.store.clone(), &call.workspace, &key);
        let (price, digest) = (admit.amount, admit.digest);
        // Replaying the response of a finished call needs neither budget nor server capacity, so
        // the record is checked before admission.
        if let Some(answer) = self.existing(&records, &outgoing, digest, admit.deadline).await? {
            return Ok(answer);
        }
        let (ticket, start) = self.admit(admit, caller).await?;
        let record = OnceRecord {
            attempt: call.id.clone(),
            owner: self.me.clone(),
            digest,
            state: OnceState::Sent,
        };
        let wait = outgoing.deadline.since(self.clock.now());
        let revision = match timeout(wait, records.create(&record)).await {
            Some(Ok(revision)) => revision,
            Some(Err(RecordError::Exists(found))) => {
                drop(ticket);
                return self.decide(&records, &outgoing, digest, Some(&found)).await;
            }
            Some(Err(RecordError::Unavailable)) | None => {
                let cleanup = (records, record);
                self.executor.spawn(async move { cleanup.0.withdraw(&cleanup.1).await }).detach();
                let detail = "the store is unavailable; the call was not sent";
                return Err(
                    Refusal::not_run(Code::RecordUnavailable, detail).retry_after(STORE_RETRY)
                );
            }
        };
        // A separate task, so that a late response is recorded even if the caller has disconnected.
        let limit = outgoing.deadline.since(self.clock.now());
        let run = Arc::new(OnceRun { records, record, revision, call: outgoing });
        let (sender, receiver) = async_channel::bounded(1);
        let (traffic, task_run) = (self.clone(), run.clone());
        self.executor
            .spawn(async move {
                let result = traffic.run_once(task_run, ticket, start, price).await;
                let _ = sender.send(result).await;
            })
            .detach();
        match timeout(limit, receiver.recv()).await {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(unknown("the task that sent the call has ended")),
            None => {
                // The service may have executed the call and stalled before it responded.
                let traffic = self.clone();
                self.executor.spawn(async move { traffic.look_up(run).await }).detach();
                Err(unknown("no response before the deadline"))
            }
        }
    }

    async fn run_once(
        &self,
        run: Arc<OnceRun>,
        mut ticket: Ticket,
        mut start: Start,
        price: Tokens,
    ) -> Result<Response, Refusal> {
        loop {
            let error = match self.exchange(&run.call, &start, false).await {
                Ok(answer) => {
                    ticket.set_used(price);
                    ticket.finish(Outcome::Ok, true);
                    self.record_result(&run, answer.clone()).await;
                    return Ok(respond(answer));
                }
                Err(error) => error,
            };
            log::warn!(
                request = run.call.id.as_str(), server = start.server.id.as_str(),
                sent = error.sent; "non-idempotent call failed: {error}"
            );
            if error.sent {
                // The service may have executed the call, so it is charged and its record is kept.
                ticket.set_used(price);
                ticket.finish(outcome_of(&error), false);
                let traffic = self.clone();
                self.executor.spawn(async move { traffic.look_up(run).await }).detach();
                return Err(unknown("the connection failed after the call was sent"));
            }
            let retried = match self.clock.now() < run.call.deadline {
                true => ticket.retry(Outcome::Failed).await,
                false => Err(failure(&error)),
            };
            match retried {
                Ok(next) => start = next,
                Err(_) => {
                    run.records.withdraw(&run.record).await;
                    return Err(Refusal::not_run(Code::NoBackend, error.to_string()));
                }
            }
        }
    }

    /// Records the response of a call. Returns after [`RESULT_TIME`] at the latest; the write is
    /// then retried in the background.
    async fn record_result(&self, run: &OnceRun, answer: OnceAnswer) {
        let done = done(run.record.clone(), answer);
        let (records, revision) = (run.records.clone(), run.revision);
        let (sender, receiver) = async_channel::bounded::<()>(1);
        self.executor
            .spawn(async move {
                records.complete(&done, revision).await;
                drop(sender);
            })
            .detach();
        let _ = timeout(RESULT_TIME, receiver.recv()).await;
    }

    /// Polls the services for the outcome of a call whose response was lost or is late.
    async fn look_up(&self, run: Arc<OnceRun>) {
        if !run.call.kind.lookup {
            return;
        }
        for _ in 0..LOOKUP_LIMIT {
            Timer::after(LOOKUP_INTERVAL.duration()).await;
            if let Some(answer) = self.ask_services(&run.call).await {
                log::info!(request = run.call.id.as_str(); "outcome of a call found by lookup");
                self.record_result(&run, answer).await;
                return;
            }
        }
    }

    /// Looks up a call at every server of its kind, and returns its response if it was executed.
    ///
    /// A negative result proves nothing, because the call may not have reached the service yet.
    async fn ask_services(&self, call: &ServiceCall) -> Option<OnceAnswer> {
        let snapshot = self.snapshot.load_full();
        let servers = snapshot.settings.as_ref()?.servers().iter();
        for server in servers.filter(|server| server.kinds.contains(&call.kind.id)) {
            let answer = self.ask_service(call, server.address).await;
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    async fn ask_service(&self, call: &ServiceCall, address: SocketAddr) -> Option<OnceAnswer> {
        let key = call.key.as_deref()?;
        let value =
            fetch_json(&self.client, address, &format!("/calls/{key}"), LOOKUP_TIME).await?;
        let known: KnownCall = serde_json::from_value(value).ok()?;
        known.ran.then(|| OnceAnswer {
            status: known.status,
            content_type: "application/json".to_owned(),
            body: known.result.to_string().into_bytes(),
        })
    }

    /// Responds from an existing record, if there is one.
    async fn existing(
        &self,
        records: &OnceStore,
        call: &ServiceCall,
        digest: u64,
        deadline: Timestamp,
    ) -> Result<Option<Response>, Refusal> {
        let wait = deadline.since(self.clock.now());
        match timeout(wait, records.read()).await {
            Some(Ok(None)) => Ok(None),
            Some(Ok(Some(found))) => {
                self.decide(records, call, digest, Some(&found)).await.map(Some)
            }
            Some(Err(_)) | None => {
                let detail = "the store is unavailable; the call was not sent";
                Err(Refusal::not_run(Code::RecordUnavailable, detail).retry_after(STORE_RETRY))
            }
        }
    }

    async fn decide(
        &self,
        records: &OnceStore,
        call: &ServiceCall,
        digest: u64,
        found: Option<&OnceRecord>,
    ) -> Result<Response, Refusal> {
        let owner_gone = found.is_some_and(|record| self.is_gone(&record.owner));
        match decide_once(found, &call.id, digest, owner_gone, call.kind.lookup) {
            OnceDecision::Replay(answer) => Ok(respond(answer)),
            OnceDecision::KeyReused => Err(Refusal::not_run(
                Code::KeyReused,
                "the request body differs from that of the first call",
            )),
            OnceDecision::AskService => self.resolve(records, call).await,
            OnceDecision::Create | OnceDecision::Proceed | OnceDecision::Unknown => {
                Err(unknown("an earlier attempt is recorded without a response"))
            }
        }
    }

    /// Looks up a call whose router has ended, and records its response if it was executed.
    async fn resolve(&self, records: &OnceStore, call: &ServiceCall) -> Result<Response, Refusal> {
        if let Some(answer) = self.ask_services(call).await {
            records.resolve(answer.clone()).await;
            return Ok(respond(answer));
        }
        Err(unknown(
            "the router that sent the call has ended and no service reports the call as executed",
        ))
    }

    fn is_gone(&self, owner: &Incarnation) -> bool {
        self.snapshot.load().ended.contains(owner)
    }
}

/// The response of a service to `GET /calls/KEY`.
#[derive(Debug, Deserialize)]
struct KnownCall {
    ran: bool,
    #[serde(default = "ok_status")]
    status: u16,
    #[serde(default)]
    result: Value,
}

const fn ok_status() -> u16 {
    200
}

/// A call in progress and its record.
struct OnceRun {
    records: OnceStore,
    record: OnceRecord,
    revision: u64,
    call: ServiceCall,
}

fn unknown(detail: &str) -> Refusal {
    Refusal::unknown(Code::OutcomeUnknown, detail).retry_after(UNKNOWN_RETRY)
}
