//! An admitted request on its way from one server to the next until one of them answers it.

use std::sync::Arc;

use berylwheel_types::Refusal;
use http::StatusCode;

use super::attempt::RetryState;
use super::attempt::response_outcome;
use super::call::Call;
use super::classify::AttemptFailure;
use super::classify::ResponseClass;
use super::classify::is_repeatable;
use super::listen::Forwarder;
use super::silence::AttemptResult;
use super::silence::Awaited;
use crate::calls::request_guard::RequestGuard;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;
use crate::control::command::Usage;

/// An admitted request and its attempts. If it is dropped, the request ends without a result.
pub(crate) struct Pipeline<'a> {
    forwarder: &'a Forwarder,
    call: &'a Call,
    pub guard: RequestGuard,
    /// Server of the current attempt. Shared, since an attempt borrows it while the request is moved.
    pub placement: Arc<Placement>,
    pub retry_state: RetryState,
}

impl<'a> Pipeline<'a> {
    /// Waits until the control thread admits the request and chooses its first server.
    ///
    /// # Errors
    /// The refusal of the control thread.
    pub async fn admit(
        forwarder: &'a Forwarder,
        call: &'a Call,
        admit: AdmitRequest,
    ) -> Result<Self, Refusal> {
        let (mut guard, placement) = RequestGuard::admit(&forwarder.events, admit).await?;
        // Until something of an answer is delivered.
        guard.set_usage(Usage::NoResult);
        let placement = Arc::new(placement);
        Ok(Self { forwarder, call, guard, placement, retry_state: RetryState::default() })
    }

    /// Waits for an attempt at the current server. Returns its result, or `None` if the request has
    /// another server now, at which the next attempt is due.
    ///
    /// # Errors
    /// The refusal that ends the request, if its attempt failed and it has no other server.
    pub async fn await_attempt<T>(
        &mut self,
        awaited: Awaited,
        attempt: impl Future<Output = Result<T, AttemptFailure>>,
    ) -> Result<Option<T>, Refusal> {
        let (forwarder, call) = (self.forwarder, self.call);
        let retry_state = &mut self.retry_state;
        let (guard, placement) = (&self.guard, &self.placement);
        let ended =
            forwarder.await_attempt(call, guard, placement, retry_state, awaited, attempt).await;
        let failure = match ended {
            AttemptResult::Ended(Ok(result)) => return Ok(Some(result)),
            AttemptResult::Moved(next) => {
                self.placement = Arc::new(next);
                return Ok(None);
            }
            AttemptResult::Ended(Err(failure)) => failure,
        };
        let outcome = failure.outcome();
        match forwarder.next_server(call, guard, placement, retry_state, failure).await {
            Ok(next) => {
                self.placement = Arc::new(next);
                Ok(None)
            }
            Err(refusal) => {
                self.guard.fail(outcome);
                Err(refusal)
            }
        }
    }

    /// Moves the request to another server after the current one has answered with an error of its
    /// own, if the request may be repeated. Returns whether it has another server now.
    pub async fn retry_server_error(&mut self, class: ResponseClass, status: StatusCode) -> bool {
        let may_retry = class == ResponseClass::Failure
            && status.is_server_error()
            && is_repeatable(&self.call.kind)
            && self.retry_state.sent + 1 < self.call.kind.attempts;
        if !may_retry {
            return false;
        }
        self.retry_state.sent += 1;
        self.retry_state.maybe_ran = true;
        let outcome = response_outcome(class, status.as_u16());
        let Ok(next) = self.guard.retry(outcome, true).await else { return false };
        log::info!(
            request = self.call.id.as_str(), server = self.placement.server.id.as_str(),
            status = status.as_u16(); "retrying after a server error"
        );
        self.placement = Arc::new(next);
        true
    }
}
