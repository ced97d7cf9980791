//! Idempotency records of calls that must be sent to a service at most once.

use berylwheel_types::Incarnation;
use berylwheel_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// The state of a recorded call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// The call may have been sent, and no response is recorded.
    Sent,
    /// The service has responded, and the response is recorded.
    Done { status: u16, content_type: String, body: Vec<u8> },
}

/// The record of a call. It is written before the first byte of the call is sent.
///
/// ```
/// use berylwheel_budget::{CallState, IdempotencyRecord};
/// let record = IdempotencyRecord {
///     attempt: "a1".parse().unwrap(),
///     owner: "r1@42".parse().unwrap(),
///     digest: 7,
///     state: CallState::Sent,
/// };
/// assert_eq!(IdempotencyRecord::decode(&record.encode()), Some(record));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// The attempt that created the record.
    pub attempt: RequestId,
    /// The router incarnation that sends the call and records its response.
    pub owner: Incarnation,
    /// A hash of the request body.
    pub digest: u64,
    /// The state of the call.
    pub state: CallState,
}

impl IdempotencyRecord {
    /// Encodes the record for the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("record encodes")
    }

    /// Decodes a record. Returns `None` if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The response of a service to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: String,
    /// The complete body.
    pub body: Vec<u8>,
}

/// How to proceed with a call that must be sent at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallDecision {
    /// No record exists: create it, and send the call if the creation succeeds.
    Create,
    /// This attempt created the record, but the store's response was lost: send the call.
    Proceed,
    /// The call is done: return the recorded response.
    Replay(ServiceResponse),
    /// The call may have been executed or may still be running: respond with "outcome unknown".
    Unknown,
    /// The owner has ended: look up the outcome at the service by key.
    LookUpOutcome,
    /// The key was used for a call with a different body.
    KeyReused,
}

/// Decides how to proceed with a call under an idempotency key.
///
/// `owner_ended` must be true only with evidence that the process that owns the record has ended.
/// `lookup` tells whether the service supports looking up outcomes by key. `attempt` is the id of
/// the current attempt, which must not call this function again once it has sent its first byte.
///
/// ```
/// use berylwheel_budget::{CallDecision, decide_call};
/// let attempt = "a1".parse().unwrap();
/// assert_eq!(decide_call(None, &attempt, 7, false, true), CallDecision::Create);
/// ```
pub fn decide_call(
    existing: Option<&IdempotencyRecord>,
    attempt: &RequestId,
    digest: u64,
    owner_ended: bool,
    lookup: bool,
) -> CallDecision {
    let Some(record) = existing else {
        return CallDecision::Create;
    };
    if record.digest != digest {
        return CallDecision::KeyReused;
    }
    match &record.state {
        CallState::Done { status, content_type, body } => CallDecision::Replay(ServiceResponse {
            status: *status,
            content_type: content_type.clone(),
            body: body.clone(),
        }),
        CallState::Sent if record.attempt == *attempt => CallDecision::Proceed,
        CallState::Sent if owner_ended && lookup => CallDecision::LookUpOutcome,
        CallState::Sent => CallDecision::Unknown,
    }
}
