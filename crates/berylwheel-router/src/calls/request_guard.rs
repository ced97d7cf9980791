//! The guard of an admitted request.

use async_channel::Receiver;
use async_channel::Sender;
use berylwheel_route::Outcome;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Tokens;

use crate::control::command::AdmissionNumber;
use crate::control::command::AdmitRequest;
use crate::control::command::Command;
use crate::control::command::Finish;
use crate::control::command::Placement;
use crate::control::command::PlacementResult;
use crate::control::command::Usage;
use crate::control::event::Event;

/// An admitted request. Dropping the guard ends the request with its recorded outcome and usage.
/// The outcome is `Cancelled` unless it was set, so that a disconnected caller or a failed task
/// releases its server capacity. The usage is unknown unless it was set, so that a path that forgets
/// to do so bills the whole reservation and not nothing.
#[derive(Debug)]
pub struct RequestGuard {
    events: Sender<Event>,
    request: RequestId,
    admission: AdmissionNumber,
    reserved: Tokens,
    usage: Usage,
    outcome: Outcome,
    delivered: bool,
    answered: bool,
}

impl RequestGuard {
    /// Requests admission from the control thread and waits until the request is started.
    ///
    /// # Errors
    /// The refusal of the control thread.
    pub async fn admit(
        events: &Sender<Event>,
        admit: AdmitRequest,
    ) -> Result<(Self, Placement), Refusal> {
        let admission = AdmissionNumber::next();
        let mut guard = Self {
            events: events.clone(),
            request: admit.request.clone(),
            admission,
            reserved: admit.amount,
            usage: Usage::NotRun,
            outcome: Outcome::Cancelled,
            delivered: false,
            answered: false,
        };
        let placement = guard
            .request_placement(|reply| Command::Admit(Box::new(admit), admission, reply))
            .await?;
        guard.usage = Usage::Unknown;
        Ok((guard, placement))
    }

    /// Requests another server after the current one failed with `outcome`. `maybe_ran` tells whether
    /// it may have run the request.
    ///
    /// # Errors
    /// The refusal of the control thread.
    pub async fn retry(&self, outcome: Outcome, maybe_ran: bool) -> PlacementResult {
        let command = |reply| Command::Retry(self.request.clone(), outcome, maybe_ran, reply);
        self.request_placement(command).await
    }

    /// Requests another server while the current one, which is silent, goes on. On success the
    /// current one counts as ended with `outcome`.
    ///
    /// # Errors
    /// The refusal of the control thread. The request then stays at its current server.
    pub async fn relocate(&self, outcome: Outcome) -> PlacementResult {
        let command = |reply| Command::Relocate(self.request.clone(), outcome, reply);
        self.request_placement(command).await
    }

    /// Returns the time until a server may accept the request, if all of them have asked for a
    /// pause.
    pub async fn pause_delay(&self) -> Option<Millis> {
        let (reply, delay) = async_channel::bounded(1);
        let command = Command::PauseDelay(self.request.clone(), reply);
        self.events.send(Event::Command(command)).await.ok()?;
        delay.recv().await.ok().flatten()
    }

    /// Queues the request again after it was preempted, and waits until it is restarted.
    ///
    /// # Errors
    /// The refusal of the control thread.
    pub async fn requeue(&self) -> PlacementResult {
        self.request_placement(|reply| Command::Requeue(self.request.clone(), reply)).await
    }

    /// Notifies the control thread that the response has started.
    pub fn first_token(&self) {
        let _ = self.events.try_send(Event::Command(Command::FirstToken(self.request.clone())));
    }

    /// Sets what is billed if the request ends now.
    pub fn set_usage(&mut self, usage: Usage) {
        self.usage = usage;
    }

    /// Returns the tokens that are billed if the request ends now.
    pub fn billed(&self) -> Tokens {
        self.usage.billed(self.reserved)
    }

    /// Sets the outcome of a failed request, which is reported when the guard is dropped.
    pub fn fail(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Records that the server certainly answered the request to its end.
    pub fn set_answered(&mut self) {
        self.answered = true;
    }

    /// Ends the request.
    pub fn finish(mut self, outcome: Outcome, delivered: bool) {
        self.outcome = outcome;
        self.delivered = delivered;
    }

    async fn request_placement(
        &self,
        command: impl FnOnce(Sender<PlacementResult>) -> Command,
    ) -> PlacementResult {
        let (reply, placement): (_, Receiver<PlacementResult>) = async_channel::bounded(1);
        let stopped = || Refusal::not_run(Code::Draining, "the router has stopped");
        self.events.send(Event::Command(command(reply))).await.map_err(|_| stopped())?;
        placement.recv().await.unwrap_or_else(|_| Err(stopped()))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let finish = Finish {
            request: self.request.clone(),
            admission: self.admission,
            usage: self.usage,
            outcome: self.outcome,
            delivered: self.delivered,
            answered: self.answered,
        };
        // The channel is unbounded, so this fails only after the control thread has ended.
        let _ = self.events.try_send(Event::Command(Command::Finish(finish)));
    }
}
