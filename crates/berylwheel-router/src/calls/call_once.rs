//! Calls that must not be repeated: a record in the store before the first byte, and its result
//! after the answer.

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
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;
use crate::control::effects::fetch_json;

/// Time to write the result of a call before the caller is answered; it is retried afterwards.
const RESULT_TIME: Millis = Millis(500);
/// Interval at which a service is asked for the outcome of an unknown call.
const LOOKUP_INTERVAL: Millis = Millis(1_000);
/// Times that a service is asked for the outcome of an unknown call.
const LOOKUP_LIMIT: u32 = 60;
/// Time after which a caller asks again about an unknown call.
const UNKNOWN_RETRY: Millis = Millis(2_000);
/// Time after which a caller tries again when the store is not reachable.
const STORE_RETRY: Millis = Millis(5_000);
/// Time that one lookup may take.
const LOOKUP_TIME: Millis = Millis(2_000);

impl Traffic {
    /// Runs a call at most once: its record is in the store before its first byte is sent.
    pub(crate) async fn call_once(
        &self,
        call: Call,
        admit: AdmitRequest,
        outgoing: ServiceCall,
        caller: Option<Caller>,
    ) -> Result<Response, Refusal> {
        let key = call.key.clone().unwrap_or_default();
        let records = OnceStore::new(self.store.clone(), &call.workspace, &key);
        let (price, digest) = (admit.amount, admit.digest);
        // A caller that asks again for a finished call needs neither budget nor server.
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
                let detail = "the store does not answer; nothing was sent";
                return Err(
                    Refusal::not_run(Code::RecordUnavailable, detail).retry_after(STORE_RETRY)
                );
            }
        };
        // The task goes on when the caller leaves: an answer that comes late is still recorded.
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
            Some(Err(_)) => Err(unknown("the call's task ended")),
            None => {
                // The service may have run the call and hang before its answer.
                let traffic = self.clone();
                self.executor.spawn(async move { traffic.look_up(run).await }).detach();
                Err(unknown("no answer within the deadline"))
            }
        }
    }

    async fn run_once(
        &self,
        run: Arc<OnceRun>,
        mut ticket: Ticket,
        mut start: Placement,
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
                // It may have run: the price is charged, and the record stays without a result.
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

    /// Writes the result of a call. If the store does not take it in time the writing goes on
    /// behind the answer.
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

    /// Asks the services for the outcome of a call whose answer was lost or is late.
    async fn look_up(&self, run: Arc<OnceRun>) {
        if !run.call.kind.lookup {
            return;
        }
        for _ in 0..LOOKUP_LIMIT {
            Timer::after(LOOKUP_INTERVAL.duration()).await;
            if let Some(answer) = self.ask_services(&run.call).await {
                log::info!(request = run.call.id.as_str(); "outcome of unknown call found");
                self.record_result(&run, answer).await;
                return;
            }
        }
    }

    /// Asks every server of the kind for the result of a call, and returns it if the call ran.
    ///
    /// That a service does not know the call proves nothing: the call may still be on its way.
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

    /// Answers from the record that is there before the call, if any.
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
                let detail = "the store does not answer; nothing was sent";
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
            OnceDecision::KeyReused => {
                Err(Refusal::not_run(Code::KeyReused, "the body differs from the first call's"))
            }
            OnceDecision::AskService => self.resolve(records, call).await,
            OnceDecision::Create | OnceDecision::Proceed | OnceDecision::Unknown => {
                Err(unknown("an earlier attempt was recorded and has no result yet"))
            }
        }
    }

    /// Asks every server of the kind about a call whose router is gone, and records what it finds.
    async fn resolve(&self, records: &OnceStore, call: &ServiceCall) -> Result<Response, Refusal> {
        if let Some(answer) = self.ask_services(call).await {
            records.resolve(answer.clone()).await;
            return Ok(respond(answer));
        }
        Err(unknown("the router that sent the call is gone and no service knows the call"))
    }

    fn is_gone(&self, owner: &Incarnation) -> bool {
        self.snapshot.load().ended_runs.contains(owner)
    }
}

/// What a service says about a call, in answer to `GET /calls/KEY`.
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

/// A recorded call in progress.
struct OnceRun {
    records: OnceStore,
    record: OnceRecord,
    revision: u64,
    call: ServiceCall,
}

fn unknown(detail: &str) -> Refusal {
    Refusal::unknown(Code::OutcomeUnknown, detail).retry_after(UNKNOWN_RETRY)
}
