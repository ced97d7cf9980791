//! Classifies responses and failures of backend servers and decides whether a request may be
//! retried. Performs no I/O.

use berylwheel_http::SendError;
use berylwheel_route::Outcome;
use berylwheel_settings::Answer;
use berylwheel_settings::KindSettings;
use berylwheel_settings::Repeat;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;

use super::platform::ResponseHeaders;

/// Status of a response of a server that the request was not meant for.
pub(crate) const MISDIRECTED: u16 = 421;
/// Statuses that tell a caller that its request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, MISDIRECTED, 429, 503];

/// Classification of a response by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// A verified successful response to the request.
    Success,
    /// The server ran the request and failed, or rejected it permanently.
    Failure,
    /// The server did not run the request.
    NotRun,
    /// The response cannot be verified to be the server's answer to this request.
    Unverified,
}

/// Classifies the head of a response to the request `id`. `reused` states whether the connection
/// carried another request before. A response without an id may then belong to that request.
///
/// ```
/// use berylwheel_router::{ResponseHeaders, ResponseClass, classify_response};
/// let unsealed = ResponseHeaders { id: Some("a".into()), ..ResponseHeaders::default() };
/// let headers = ResponseHeaders { sealed: true, ..unsealed };
/// assert_eq!(classify_response("a", 200, &headers, true), ResponseClass::Success);
/// assert_eq!(classify_response("b", 200, &headers, false), ResponseClass::Unverified);
/// let unnamed = ResponseHeaders::default();
/// assert_eq!(classify_response("a", 421, &unnamed, false), ResponseClass::NotRun);
/// assert_eq!(classify_response("a", 421, &unnamed, true), ResponseClass::Unverified);
/// ```
pub fn classify_response(
    id: &str,
    status: u16,
    headers: &ResponseHeaders,
    reused: bool,
) -> ResponseClass {
    let verified = headers.id.as_deref().map_or(!reused, |named| named == id);
    if !verified || status < 200 {
        return ResponseClass::Unverified;
    }
    if headers.not_run || status == MISDIRECTED {
        return ResponseClass::NotRun;
    }
    match status {
        200..300 if headers.sealed && headers.id.is_some() && !headers.encoded => {
            ResponseClass::Success
        }
        200..300 => ResponseClass::Unverified,
        _ => ResponseClass::Failure,
    }
}

/// How an attempt to send a request to a server failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No part of the request was sent.
    NotSent { timed_out: bool, detail: String },
    /// No connection was established in time while the network link of this VM was full, which tells
    /// nothing about the server.
    LinkFull { detail: String },
    /// The server states that it did not run the request. `misdirected` is set if it isn't the
    /// server that the request was meant for.
    NotRun { misdirected: bool, detail: String },
    /// It is unknown whether the request ran.
    Unknown { timed_out: bool, detail: String },
    /// The router cancelled the request at its server before the answer began.
    Cancelled { detail: String },
}

impl From<SendError> for AttemptFailure {
    fn from(error: SendError) -> Self {
        let SendError { sent, timed_out, detail, .. } = error;
        match sent {
            true => Self::Unknown { timed_out, detail },
            false => Self::NotSent { timed_out, detail },
        }
    }
}

impl AttemptFailure {
    /// Returns the outcome that the failure counts as for the server.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotSent { timed_out: true, .. } | Self::Unknown { timed_out: true, .. } => {
                Outcome::TimedOut
            }
            Self::NotSent { .. } | Self::Unknown { .. } => Outcome::Failed,
            Self::NotRun { misdirected: true, .. } => Outcome::Misdirected,
            // A server that rejects requests because it is full is not faulty.
            Self::NotRun { .. } | Self::LinkFull { .. } | Self::Cancelled { .. } => {
                Outcome::Cancelled
            }
        }
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown { .. } | Self::Cancelled { .. })
    }

    /// Returns whether any of the request was sent to the server.
    pub fn was_sent(&self) -> bool {
        !matches!(self, Self::NotSent { .. } | Self::LinkFull { .. })
    }

    /// Returns the description of the failure.
    pub fn detail(&self) -> &str {
        match self {
            Self::NotSent { detail, .. }
            | Self::LinkFull { detail }
            | Self::NotRun { detail, .. }
            | Self::Unknown { detail, .. }
            | Self::Cancelled { detail } => detail,
        }
    }

    /// Returns the refusal for a request that is not retried. `maybe_ran` states whether an earlier
    /// attempt may have run.
    pub fn refusal(&self, maybe_ran: bool, retry_after: Millis) -> Refusal {
        let detail = self.detail().to_owned();
        let timed_out = self.outcome() == Outcome::TimedOut;
        match maybe_ran || self.may_have_run() {
            true if timed_out => Refusal::unknown(Code::BackendTimeout, detail),
            true => Refusal::unknown(Code::BackendFailed, detail),
            false if matches!(self, Self::LinkFull { .. }) => {
                Refusal::not_run(Code::LinkFull, detail).retry_after(retry_after)
            }
            false => Refusal::not_run(Code::NoBackend, detail).retry_after(retry_after),
        }
    }
}

/// Returns whether requests of this kind may run more than once.
pub fn is_repeatable(kind: &KindSettings) -> bool {
    match kind.answer {
        Answer::Whole => kind.repeat == Repeat::Idempotent,
        Answer::Stream => kind.resume,
    }
}

/// Returns whether a server's failure with this status, which does not state that the request did
/// not run, may be passed on to the caller of a request of this kind. A caller that may send the
/// request only once takes some statuses as that statement.
///
/// ```
/// use berylwheel_router::may_pass_on;
/// use berylwheel_settings::Settings;
/// let text = "[pool p]\n[kind k]\nservice = plain\nhost = h\npath = /\npools = p\nrepeat = once\n";
/// let settings = Settings::parse("example", text).unwrap();
/// assert!(may_pass_on(&settings.kinds()[0], 500));
/// assert!(!may_pass_on(&settings.kinds()[0], 503));
/// ```
pub fn may_pass_on(kind: &KindSettings, status: u16) -> bool {
    is_repeatable(kind) || !NOT_RUN_STATUSES.contains(&status)
}

/// Returns whether a request of this kind may be sent to another server after `failure`, when it
/// has been sent to `sent` servers so far.
pub fn may_retry(kind: &KindSettings, failure: &AttemptFailure, sent: u32) -> bool {
    match failure {
        AttemptFailure::NotSent { .. } => sent < kind.attempts,
        // Connections to other servers pass the same link.
        AttemptFailure::LinkFull { .. } => false,
        // Its prompt has a quarantined part, or this router exits.
        AttemptFailure::Cancelled { .. } => false,
        AttemptFailure::NotRun { .. } => sent < kind.attempts,
        AttemptFailure::Unknown { .. } => sent < kind.attempts && is_repeatable(kind),
    }
}
