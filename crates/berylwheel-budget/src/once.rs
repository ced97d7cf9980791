//! Records of calls to services that must be sent at most once.

use berylwheel_types::Incarnation;
use berylwheel_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// The state of a recorded call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceState {
    /// The call may have been sent, and no answer is recorded.
    Sent,
    /// The service has answered the call.
    Done { status: u16, content_type: String, body: Vec<u8> },
}

/// The record of a call. It is written before the first byte of the call is sent.
///
/// ```
/// use berylwheel_budget::{OnceRecord, OnceState};
/// let record = OnceRecord {
///     attempt: "a1".parse().unwrap(),
///     owner: "r1@42".parse().unwrap(),
///     digest: 7,
///     state: OnceState::Sent,
/// };
/// assert_eq!(OnceRecord::decode(&record.encode()), Some(record));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceRecord {
    /// The attempt that created the record.
    pub attempt: RequestId,
    /// The router incarnation that sends the call and records its answer.
    pub owner: Incarnation,
    /// A hash of the request body.
    pub digest: u64,
    /// The state of the call.
    pub state: OnceState,
}

impl OnceRecord {
    /// Encodes the record for the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("record encodes")
    }

    /// Decodes a record. Returns `None` if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The recorded answer of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: String,
    /// The complete body.
    pub body: Vec<u8>,
}

/// How to proceed with a call that must be sent at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceDecision {
    /// No record exists: create it, and send the call if the creation succeeds.
    Create,
    /// This attempt created the record, but the store's answer was lost: send the call.
    Proceed,
    /// The call is done: return the recorded answer.
    Replay(OnceAnswer),
    /// The call may have run or may still be running: answer "outcome unknown".
    Unknown,
    /// The owner has ended: look up the outcome at the service by key.
    AskService,
    /// The key was used for a call with a different body.
    KeyReused,
}

/// Decides how to proceed with a call under an idempotency key.
///
/// `owner_gone` must be true only with evidence that the process that owns the record has ended.
/// `lookup` tells whether the service supports looking up outcomes by key. `attempt` is the id of
/// the current attempt, which must not call this function again once it has sent its first byte.
///
/// ```
/// use berylwheel_budget::{OnceDecision, decide_once};
/// let attempt = "a1".parse().unwrap();
/// assert_eq!(decide_once(None, &attempt, 7, false, true), OnceDecision::Create);
/// ```
pub fn decide_once(
    existing: Option<&OnceRecord>,
    attempt: &RequestId,
    digest: u64,
    owner_gone: bool,
    lookup: bool,
) -> OnceDecision {
    let Some(record) = existing else {
        return OnceDecision::Create;
    };
    if record.digest != digest {
        return OnceDecision::KeyReused;
    }
    match &record.state {
        OnceState::Done { status, content_type, body } => OnceDecision::Replay(OnceAnswer {
            status: *status,
            content_type: content_type.clone(),
            body: body.clone(),
        }),
        OnceState::Sent if record.attempt == *attempt => OnceDecision::Proceed,
        OnceState::Sent if owner_gone && lookup => OnceDecision::AskService,
        OnceState::Sent => OnceDecision::Unknown,
    }
}
