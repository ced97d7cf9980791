//! The traffic side of an admitted request.

use async_channel::Receiver;
use async_channel::Sender;
use berylwheel_route::Outcome;
use berylwheel_types::Code;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Tokens;

use crate::control::command::AdmitRequest;
use crate::control::command::Command;
use crate::control::command::Finish;
use crate::control::command::Placement;
use crate::control::command::PlacementResult;
use crate::control::event::Event;

/// An admitted request. Dropping it ends the request as cancelled with what was used so far, so
/// that a caller that leaves, or a task that fails, keeps neither reservation nor capacity.
#[derive(Debug)]
pub struct Ticket {
    events: Sender<Event>,
    request: RequestId,
    limit: Tokens,
    used: Tokens,
    outcome: Outcome,
    delivered: bool,
}

impl Ticket {
    /// Asks the control thread for a start.
    ///
    /// # Errors
    /// The refusal of the control thread.
    pub async fn admit(
        events: &Sender<Event>,
        admit: AdmitRequest,
    ) -> Result<(Self, Placement), Refusal> {
        let ticket = Self {
            events: events.clone(),
            request: admit.request.clone(),
            limit: admit.amount,
            used: Tokens::ZERO,
            outcome: Outcome::Cancelled,
            delivered: false,
        };
        let start = ticket.ask(|reply| Command::Admit(Box::new(admit), reply)).await?;
        Ok((ticket, start))
    }

    /// Asks for another server after the one given failed with `outcome`.
    ///
    /// # Errors
    /// The refusal of the control thread.
    pub async fn retry(&self, outcome: Outcome) -> PlacementResult {
        self.ask(|reply| Command::Retry(self.request.clone(), outcome, reply)).await
    }

    /// Waits for another start after more urgent work has taken the place.
    ///
    /// # Errors
    /// The refusal of the control thread.
    pub async fn requeue(&self) -> PlacementResult {
        self.ask(|reply| Command::Requeue(self.request.clone(), reply)).await
    }

    /// Tells the control thread that the answer has begun.
    pub fn first_token(&self) {
        let _ = self.events.try_send(Event::Command(Command::FirstToken(self.request.clone())));
    }

    /// Sets what the request has used so far.
    pub fn set_used(&mut self, used: Tokens) {
        self.used = used.min(self.limit);
    }

    /// Returns what the request has used so far.
    pub fn used(&self) -> Tokens {
        self.used
    }

    /// Notes that the backend server failed; the request ends when the ticket is dropped.
    pub fn fail(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Ends the request.
    pub fn finish(mut self, outcome: Outcome, delivered: bool) {
        self.outcome = outcome;
        self.delivered = delivered;
    }

    async fn ask(
        &self,
        command: impl FnOnce(Sender<PlacementResult>) -> Command,
    ) -> PlacementResult {
        let (reply, answer): (_, Receiver<PlacementResult>) = async_channel::bounded(1);
        let stopped = || Refusal::not_run(Code::Draining, "the router has stopped");
        self.events.send(Event::Command(command(reply))).await.map_err(|_| stopped())?;
        answer.recv().await.unwrap_or_else(|_| Err(stopped()))
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let finish = Finish {
            request: self.request.clone(),
            used: self.used,
            outcome: self.outcome,
            delivered: self.delivered,
        };
        // The channel is unbounded: this fails only once the control thread has ended.
        let _ = self.events.try_send(Event::Command(Command::Finish(finish)));
    }
}
