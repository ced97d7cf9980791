//! Records of calls that must not be repeated.

use berylwheel_types::Incarnation;
use berylwheel_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// How far a recorded call has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceState {
    /// The call may have been sent.
    Sent,
    /// The service has answered.
    Done { status: u16, content_type: String, body: Vec<u8> },
}

/// The record of a call, written before its first byte is sent.
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
    /// The router that sends the call and writes its result.
    pub owner: Incarnation,
    /// A hash of the request's body.
    pub digest: u64,
    /// How far the call has come.
    pub state: OnceState,
}

impl OnceRecord {
    /// Returns the record as bytes for the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("record encodes")
    }

    /// Reads a record back, `None` if the bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The recorded answer of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What to do with a call that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceDecision {
    /// No record exists: create it, and send the call if the creation wins.
    Create,
    /// The record is this attempt's own, whose answer was lost: send the call.
    Proceed,
    /// The call is done: answer with the recorded result.
    Replay(OnceAnswer),
    /// The call may have run and may still finish: answer "outcome unknown".
    Unknown,
    /// The owner is gone: ask the service by key for the outcome.
    AskService,
    /// The key belongs to a call with another body.
    KeyReused,
}

/// Decides on a call under an idempotency key.
///
/// `owner_gone` says that there is evidence that the process which owns the record has ended, and
/// `lookup` that the service can be asked for the outcome by key. `attempt` must be the id of this
/// attempt; an attempt that has sent its first byte must not ask again.
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
