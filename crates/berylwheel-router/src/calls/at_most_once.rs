//! Non-idempotent calls. A record is written to the store before the first byte of the call is
//! sent, and completed with the response.

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use berylwheel_budget::CallDecision;
use berylwheel_budget::CallState;
use berylwheel_budget::IdempotencyRecord;
use berylwheel_budget::ServiceResponse;
use berylwheel_budget::decide_call;
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

use crate::calls::idempotency::RecordError;
use crate::calls::idempotency::RecordStore;
use crate::calls::idempotency::completed;
use crate::calls::request_guard::RequestGuard;
use crate::calls::request_handler::Call;
use crate::calls::request_handler::RequestHandler;
use crate::calls::service::ServiceCall;
use crate::calls::service::failure_outcome;
use crate::calls::service::failure_refusal;
use crate::calls::service::http_response;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;
use crate::control::command::Usage;
use crate::control::effects::fetch_json;

/// Longest time that the response is held back until it is recorded. Recording continues in the
/// background after that.
const RECORD_TIMEOUT: Millis = Millis(500);
/// Interval between lookups of the outcome of a call at its services.
const LOOKUP_INTERVAL: Millis = Millis(1_000);
/// Maximum number of lookups of the outcome of a call.
const MAX_LOOKUPS: u32 = 60;
/// `Retry-After` of a call whose outcome is unknown.
const UNKNOWN_RETRY_AFTER: Millis = Millis(2_000);
/// `Retry-After` when the store is unavailable.
const STORE_RETRY_AFTER: Millis = Millis(5_000);
/// Timeout of a lookup at one server.
const LOOKUP_TIMEOUT: Millis = Millis(2_000);

impl RequestHandler {
    /// Sends a call at most once. Its record is in the store before its first byte is sent.
    pub(crate) async fn call_at_most_once(
        &self,
        call: Call,
        admit: AdmitRequest,
        service_call: ServiceCall,
        caller: Option<Caller>,
    ) -> Result<Response, Refusal> {
        let key = call.key.clone().unwrap_or_default();
        let records = RecordStore::new(self.store.clone(), &call.workspace, &key);
        let (price, digest) = (admit.amount, admit.digest);
        // Replaying the response of a finished call needs neither budget nor server capacity, so
        // the record is checked before admission.
        if let Some(response) =
            self.replay_existing(&records, &service_call, digest, admit.deadline).await?
        {
            return Ok(response);
        }
        let (mut guard, placement) = self.admit(admit, caller).await?;
        guard.set_usage(Usage::NotRun);
        let record = IdempotencyRecord {
            attempt: call.id.clone(),
            owner: self.incarnation.clone(),
            digest,
            state: CallState::Sent,
        };
        let wait = service_call.deadline.since(self.clock.now());
        let revision = match timeout(wait, records.create(&record)).await {
            Some(Ok(revision)) => revision,
            Some(Err(RecordError::Exists(found))) => {
                drop(guard);
                return self.follow_record(&records, &service_call, digest, Some(&found)).await;
            }
            Some(Err(RecordError::Unavailable)) | None => {
                let unsent = (records, record);
                self.executor
                    .spawn(async move { unsent.0.delete_unsent(&unsent.1).await })
                    .detach();
                let detail = "the store is unavailable; the call was not sent";
                return Err(Refusal::not_run(Code::RecordUnavailable, detail)
                    .retry_after(STORE_RETRY_AFTER));
            }
        };
        // A separate task, so that a late response is recorded even if the caller has disconnected.
        let remaining = service_call.deadline.since(self.clock.now());
        let recorded = Arc::new(RecordedCall { records, record, revision, call: service_call });
        let (sender, receiver) = async_channel::bounded(1);
        let (handler, task_call) = (self.clone(), recorded.clone());
        self.executor
            .spawn(async move {
                let result = handler.send_recorded(task_call, guard, placement, price).await;
                let _ = sender.send(result).await;
            })
            .detach();
        match timeout(remaining, receiver.recv()).await {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(outcome_unknown("the task that sent the call has ended")),
            None => {
                // The service may have executed the call and stalled before it responded.
                let handler = self.clone();
                self.executor.spawn(async move { handler.poll_outcome(recorded).await }).detach();
                Err(outcome_unknown("no response before the deadline"))
            }
        }
    }

    async fn send_recorded(
        &self,
        recorded: Arc<RecordedCall>,
        mut guard: RequestGuard,
        mut placement: Placement,
        price: Tokens,
    ) -> Result<Response, Refusal> {
        loop {
            let error = match self.send_call(&recorded.call, &placement, false).await {
                Ok(response) => {
                    guard.set_usage(Usage::Known(price));
                    guard.finish(Outcome::Ok, true);
                    self.record_response(&recorded, response.clone()).await;
                    return Ok(http_response(response));
                }
                Err(error) => error,
            };
            log::warn!(
                request = recorded.call.id.as_str(), server = placement.server.id.as_str(),
                sent = error.sent; "non-idempotent call failed: {error}"
            );
            if error.sent {
                // The service may have executed the call, so it is charged and its record is kept.
                guard.set_usage(Usage::Known(price));
                guard.finish(failure_outcome(&error), false);
                let handler = self.clone();
                self.executor.spawn(async move { handler.poll_outcome(recorded).await }).detach();
                return Err(outcome_unknown("the connection failed after the call was sent"));
            }
            let retried = match self.clock.now() < recorded.call.deadline {
                true => guard.retry(Outcome::Failed, true).await,
                false => Err(failure_refusal(&error, error.sent)),
            };
            match retried {
                Ok(next) => placement = next,
                Err(_) => {
                    recorded.records.delete_unsent(&recorded.record).await;
                    return Err(Refusal::not_run(Code::NoBackend, error.to_string()));
                }
            }
        }
    }

    /// Records the response of a call. Returns after [`RECORD_TIMEOUT`] at the latest; the write is
    /// then retried in the background.
    async fn record_response(&self, recorded: &RecordedCall, response: ServiceResponse) {
        let completed = completed(recorded.record.clone(), response);
        let (records, revision) = (recorded.records.clone(), recorded.revision);
        let (sender, receiver) = async_channel::bounded::<()>(1);
        self.executor
            .spawn(async move {
                records.complete(&completed, revision).await;
                drop(sender);
            })
            .detach();
        let _ = timeout(RECORD_TIMEOUT, receiver.recv()).await;
    }

    /// Polls the services for the outcome of a call whose response was lost or is late.
    async fn poll_outcome(&self, recorded: Arc<RecordedCall>) {
        if !recorded.call.kind.lookup {
            return;
        }
        for _ in 0..MAX_LOOKUPS {
            Timer::after(LOOKUP_INTERVAL.duration()).await;
            if let Some(response) = self.find_response(&recorded.call).await {
                log::info!(
                    request = recorded.call.id.as_str();
                    "outcome of a call found by lookup"
                );
                self.record_response(&recorded, response).await;
                return;
            }
        }
    }

    /// Looks up a call at every server of its kind, and returns its response if it was executed.
    ///
    /// A negative result proves nothing, because the call may not have reached the service yet.
    async fn find_response(&self, call: &ServiceCall) -> Option<ServiceResponse> {
        let snapshot = self.snapshot.load_full();
        let servers = snapshot.settings.as_ref()?.servers().iter();
        for server in servers.filter(|server| server.kinds.contains(&call.kind.id)) {
            let response = self.fetch_response(call, server.address).await;
            if response.is_some() {
                return response;
            }
        }
        None
    }

    async fn fetch_response(
        &self,
        call: &ServiceCall,
        address: SocketAddr,
    ) -> Option<ServiceResponse> {
        let key = call.key.as_deref()?;
        let value =
            fetch_json(&self.client, address, &format!("/calls/{key}"), LOOKUP_TIMEOUT).await?;
        let lookup: LookupResponse = serde_json::from_value(value).ok()?;
        lookup.ran.then(|| ServiceResponse {
            status: lookup.status,
            content_type: "application/json".to_owned(),
            body: lookup.result.to_string().into_bytes(),
        })
    }

    /// Responds from an existing record, if there is one.
    async fn replay_existing(
        &self,
        records: &RecordStore,
        call: &ServiceCall,
        digest: u64,
        deadline: Timestamp,
    ) -> Result<Option<Response>, Refusal> {
        let wait = deadline.since(self.clock.now());
        match timeout(wait, records.read()).await {
            Some(Ok(None)) => Ok(None),
            Some(Ok(Some(found))) => {
                self.follow_record(records, call, digest, Some(&found)).await.map(Some)
            }
            Some(Err(_)) | None => {
                let detail = "the store is unavailable; the call was not sent";
                Err(Refusal::not_run(Code::RecordUnavailable, detail)
                    .retry_after(STORE_RETRY_AFTER))
            }
        }
    }

    async fn follow_record(
        &self,
        records: &RecordStore,
        call: &ServiceCall,
        digest: u64,
        found: Option<&IdempotencyRecord>,
    ) -> Result<Response, Refusal> {
        let owner_ended = found.is_some_and(|record| self.has_ended(&record.owner));
        match decide_call(found, &call.id, digest, owner_ended, call.kind.lookup) {
            CallDecision::Replay(response) => Ok(http_response(response)),
            CallDecision::KeyReused => Err(Refusal::not_run(
                Code::KeyReused,
                "the request body differs from that of the first call",
            )),
            CallDecision::LookUpOutcome => self.resolve_outcome(records, call).await,
            CallDecision::Create | CallDecision::Proceed | CallDecision::Unknown => {
                Err(outcome_unknown("an earlier attempt is recorded without a response"))
            }
        }
    }

    /// Looks up a call whose router has ended, and records its response if it was executed.
    async fn resolve_outcome(
        &self,
        records: &RecordStore,
        call: &ServiceCall,
    ) -> Result<Response, Refusal> {
        if let Some(response) = self.find_response(call).await {
            records.complete_existing(response.clone()).await;
            return Ok(http_response(response));
        }
        Err(outcome_unknown(
            "the router that sent the call has ended and no service reports the call as executed",
        ))
    }

    fn has_ended(&self, owner: &Incarnation) -> bool {
        self.snapshot.load().ended_runs.contains(owner)
    }
}

/// The response of a service to `GET /calls/KEY`.
#[derive(Debug, Deserialize)]
struct LookupResponse {
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
struct RecordedCall {
    records: RecordStore,
    record: IdempotencyRecord,
    revision: u64,
    call: ServiceCall,
}

fn outcome_unknown(detail: &str) -> Refusal {
    Refusal::unknown(Code::OutcomeUnknown, detail).retry_after(UNKNOWN_RETRY_AFTER)
}
