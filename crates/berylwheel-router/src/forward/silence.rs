//! Decides how long a server may be silent before another one is asked.
//!
//! Silence is no failure: a sound server may pause. Its request is moved to another server if there
//! is one, and awaited further if there is none.

use std::future::Future;
use std::pin::pin;

use berylwheel_http::local_timeout;
use berylwheel_route::Outcome;
use berylwheel_settings::KindSettings;
use berylwheel_types::Millis;
use futures_lite::FutureExt;
use futures_lite::future;

use super::attempt::RetryState;
use super::call::Call;
use super::classify::AttemptFailure;
use super::classify::is_repeatable;
use super::listen::Forwarder;
use super::measure::awaited_work;
use crate::calls::request_guard::RequestGuard;
use crate::control::command::Placement;

/// Silence of a running stream that a sound server may cause. A caller gives a stream up after two
/// seconds at the earliest, which leaves time to resume it.
const SOUND_SILENCE: Millis = Millis(1_600);
/// A running stream is moved after this many times the gap that its kind allows between events.
const STALL_GAPS: u64 = 3;
/// A stream is moved if its first event has not arrived after this many times the kind's target.
const FIRST_EVENT_TARGETS: u64 = 2;
/// A whole response is moved after this many times the kind's target.
const RESPONSE_TARGETS: u64 = 3;
/// Minimum time that a server has for a whole response.
const MIN_RESPONSE_TIME: Millis = Millis(250);

/// A server is silent for too long after this many times the time that it is expected to take. On a
/// machine that is slow for a while, work takes 2.5 times as long.
const EXPECTED_TIMES: u64 = 3;
/// Part of the time left that is kept for another server.
const RESERVED_TIME: u64 = 2;

/// Part of a caller's time that is kept for a refusal to reach it before its deadline.
const ANSWER_SHARE: u64 = 10;
/// Maximum time kept for a refusal to reach the caller.
const MAX_ANSWER_TIME: Millis = Millis(60);

/// What is awaited from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// A response that is buffered as a whole.
    Response,
    /// The first event of a stream.
    FirstEvent,
    /// The next event of a running stream.
    NextEvent,
}

/// Returns the silence after which another server is asked.
///
/// ```
/// use berylwheel_router::{Awaited, silence_limit};
/// use berylwheel_settings::Settings;
/// use berylwheel_types::Millis;
/// let text = "[kind chat]\nservice = plain\nrepeat = once\ntarget = 500ms\ngap = 400ms\n";
/// let settings = Settings::parse("example", text).unwrap();
/// let kind = settings.kind(&"chat".parse().unwrap()).unwrap();
/// assert_eq!(silence_limit(kind, Awaited::FirstEvent), Millis(1_000));
/// assert_eq!(silence_limit(kind, Awaited::NextEvent), Millis(1_600));
/// ```
pub fn silence_limit(kind: &KindSettings, awaited: Awaited) -> Millis {
    match awaited {
        Awaited::Response => Millis(kind.target.0 * RESPONSE_TARGETS).max(MIN_RESPONSE_TIME),
        Awaited::FirstEvent => Millis(kind.target.0 * FIRST_EVENT_TARGETS),
        Awaited::NextEvent => Millis(kind.gap.0 * STALL_GAPS).max(SOUND_SILENCE),
    }
}

/// Returns the silence after which another server is asked, if the caller waits for `left` and the
/// server is expected to take `expected`.
///
/// A slow server with a long prompt is not a silent one. Moving its request means reading the prompt
/// again. Half of the time left is kept for another server.
///
/// ```
/// use berylwheel_router::extended_limit;
/// use berylwheel_types::Millis;
/// let (limit, left) = (Millis(1_000), Millis(20_000));
/// assert_eq!(extended_limit(limit, None, left), Millis(1_000));
/// assert_eq!(extended_limit(limit, Some(Millis(200)), left), Millis(1_000));
/// assert_eq!(extended_limit(limit, Some(Millis(900)), left), Millis(2_700));
/// assert_eq!(extended_limit(limit, Some(Millis(900)), Millis(3_000)), Millis(1_500));
/// assert_eq!(extended_limit(limit, Some(Millis(900)), Millis(500)), Millis(1_000));
/// ```
pub fn extended_limit(limit: Millis, expected: Option<Millis>, left: Millis) -> Millis {
    let Some(expected) = expected else { return limit };
    let patience = Millis(expected.0.saturating_mul(EXPECTED_TIMES));
    limit.max(patience.min(Millis(left.0 / RESERVED_TIME)))
}

/// Returns how long to wait for a server if the caller waits for `left`. The rest is kept for a
/// refusal to reach the caller before its deadline.
///
/// ```
/// use berylwheel_router::wait_time;
/// use berylwheel_types::Millis;
/// assert_eq!(wait_time(Millis(300)), Millis(270));
/// assert_eq!(wait_time(Millis(4_000)), Millis(3_940));
/// ```
pub fn wait_time(left: Millis) -> Millis {
    Millis(left.0 - (left.0 / ANSWER_SHARE).min(MAX_ANSWER_TIME.0))
}

/// Returns whether a request of this kind may be moved to another server when it has been sent to
/// `sent` servers, including the present one.
pub(crate) fn may_move(kind: &KindSettings, sent: u32) -> bool {
    is_repeatable(kind) && sent < kind.attempts
}

/// How waiting for an attempt ended.
pub(crate) enum AttemptResult<T> {
    /// The attempt ended.
    Ended(Result<T, AttemptFailure>),
    /// The server was silent, and the request has a place at another one. The attempt is dropped,
    /// so that its server stops.
    Moved(Placement),
}

/// Waits until the control thread cancels the request: a part of its prompt was quarantined, or the
/// router is about to exit.
async fn cancelled<T>(placement: &Placement) -> Result<T, AttemptFailure> {
    match placement.preempt.recv().await {
        Ok(()) => {
            let detail = "cancelled by the router before the answer began".to_owned();
            Err(AttemptFailure::Cancelled { detail })
        }
        Err(_) => future::pending().await,
    }
}

impl Forwarder {
    /// Waits for an attempt, which ends by itself at the deadline, and moves the request to another
    /// server after a silence if its kind allows it.
    pub(crate) async fn await_attempt<T>(
        &self,
        call: &Call,
        guard: &RequestGuard,
        placement: &Placement,
        retry_state: &mut RetryState,
        awaited: Awaited,
        attempt: impl Future<Output = Result<T, AttemptFailure>>,
    ) -> AttemptResult<T> {
        let mut attempt = pin!(attempt.or(cancelled(placement)));
        let expected = awaited_work(call, awaited).and(placement.expected);
        let left = call.time_left(self.clock.now());
        let limit = silence_limit(&call.kind, awaited);
        let limit = extended_limit(limit, expected.map(|expected| expected.first), left);
        loop {
            if let Some(result) = local_timeout(limit, attempt.as_mut()).await {
                return AttemptResult::Ended(result);
            }
            self.report_overdue(call, placement, awaited);
            if !may_move(&call.kind, retry_state.sent + 1) {
                return AttemptResult::Ended(attempt.await);
            }
            if let Some(next) = self.move_request(call, guard, retry_state.sent + 1, limit).await {
                retry_state.sent += 1;
                retry_state.maybe_ran = true;
                return AttemptResult::Moved(next);
            }
        }
    }

    /// Asks for another server for a request whose server has been silent for `limit`. Returns
    /// `None` if there is none, and the request stays where it is.
    pub(crate) async fn move_request(
        &self,
        call: &Call,
        guard: &RequestGuard,
        sent: u32,
        limit: Millis,
    ) -> Option<Placement> {
        let request = call.id.as_str();
        if self.clock.now() >= call.deadline {
            return None;
        }
        match guard.relocate(Outcome::TimedOut).await {
            Ok(next) => {
                log::info!(
                    request, server = next.server.id.as_str(), sent;
                    "server silent for {limit}; moved to another one"
                );
                self.metrics.count_retry(&call.kind.id);
                Some(next)
            }
            Err(refusal) => {
                log::info!(
                    request, sent;
                    "server silent for {limit}; awaited further: {}", refusal.detail
                );
                None
            }
        }
    }
}
