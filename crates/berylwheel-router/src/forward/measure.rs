//! Measures how long servers take for their work.

use async_channel::TrySendError;
use berylwheel_route::Work;
use berylwheel_route::WorkSample;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::call::Call;
use super::listen::Forwarder;
use super::silence::Awaited;
use crate::control::command::Placement;
use crate::control::event::Event;

/// Share of the time of a stream, in percent, that must have been spent waiting for the server. With
/// less, the caller read slowly, and the time tells nothing about the server.
const MIN_WAITING: u64 = 80;

/// Measures the generation of an answer after its first event.
///
/// ```
/// use berylwheel_route::Work;
/// use berylwheel_router::GenerationTimer;
/// use berylwheel_types::{Millis, Timestamp, Tokens};
/// let at = Timestamp::from_millis;
/// let mut timer = GenerationTimer::new(at(0), 1);
/// timer.record_wait(at(0), at(100));
/// assert_eq!(timer.result(21), Some((Tokens(20), Millis(100))));
/// ```
#[derive(Debug)]
pub struct GenerationTimer {
    started: Timestamp,
    first_events: u64,
    last_event: Timestamp,
    waited: Millis,
    moved: bool,
}

impl GenerationTimer {
    /// Starts at the time when the first events of an answer have arrived.
    pub fn new(now: Timestamp, first_events: u64) -> Self {
        Self { started: now, first_events, last_event: now, waited: Millis(0), moved: false }
    }

    /// Records that further events arrived at `now` after a wait since `since`.
    ///
    /// ```
    /// # use berylwheel_router::GenerationTimer;
    /// # use berylwheel_types::Timestamp;
    /// # let at = Timestamp::from_millis;
    /// let mut timer = GenerationTimer::new(at(0), 1);
    /// // The caller took 900 ms to read, so the time tells nothing about the server.
    /// timer.record_wait(at(900), at(1_000));
    /// assert_eq!(timer.result(50), None);
    /// ```
    pub fn record_wait(&mut self, since: Timestamp, now: Timestamp) {
        self.waited = Millis(self.waited.0 + now.since(since).0);
        self.last_event = now;
    }

    /// Records that another server continues the answer, so that the time is that of no server.
    ///
    /// ```
    /// # use berylwheel_router::GenerationTimer;
    /// # use berylwheel_types::Timestamp;
    /// # let at = Timestamp::from_millis;
    /// let mut timer = GenerationTimer::new(at(0), 1);
    /// timer.record_wait(at(0), at(100));
    /// timer.record_move();
    /// assert_eq!(timer.result(21), None);
    /// ```
    pub fn record_move(&mut self) {
        self.moved = true;
    }

    /// Returns the number of events after the first ones and the time that they took, unless the
    /// answer was moved or its caller read slowly.
    pub fn result(&self, events: u64) -> Option<(Tokens, Millis)> {
        let took = self.last_event.since(self.started);
        let is_valid = !self.moved && self.waited.0 * 100 >= took.0 * MIN_WAITING;
        let generated = events.saturating_sub(self.first_events);
        (is_valid && generated > 0).then_some((Tokens(generated), took))
    }
}

/// Returns the work whose end is awaited, or `None` if its time is not measured: that of a whole
/// response to a prompt depends on the length of the answer, which is unknown.
pub(crate) fn awaited_work(call: &Call, awaited: Awaited) -> Option<Work> {
    match (awaited, call.prompt_tokens) {
        (Awaited::Response | Awaited::FirstEvent, Tokens::ZERO) => Some(Work::Plain),
        (Awaited::FirstEvent, prompt) => Some(Work::Prompt(prompt)),
        (Awaited::Response | Awaited::NextEvent, _) => None,
    }
}

impl Forwarder {
    /// Reports that the awaited part of a response has arrived. A resumed stream does not count: its
    /// server may have had a part of the work done.
    pub(crate) fn report_arrival(&self, call: &Call, placement: &Placement, awaited: Awaited) {
        if call.last_event.is_some() {
            return;
        }
        let Some(work) = awaited_work(call, awaited) else { return };
        self.report_work(call, placement, work, call.trace.age(self.clock.now()), false);
    }

    /// Reports that the awaited part of a response is overdue, so that a server that never answers
    /// does not look as fast as one without requests.
    pub(crate) fn report_overdue(&self, call: &Call, placement: &Placement, awaited: Awaited) {
        let Some(work) = awaited_work(call, awaited) else { return };
        self.report_work(call, placement, work, call.trace.age(self.clock.now()), true);
    }

    /// Reports the time that a complete answer took after its first event. A resumed stream does not
    /// count.
    pub(crate) fn report_generation(
        &self,
        call: &Call,
        placement: &Placement,
        timer: &GenerationTimer,
        events: u64,
    ) {
        if call.last_event.is_some() {
            return;
        }
        let Some((generated, took)) = timer.result(events) else { return };
        let tokens = Tokens(generated.0.saturating_mul(call.event_tokens));
        self.report_work(call, placement, Work::Generation(tokens), took, false);
    }

    fn report_work(
        &self,
        call: &Call,
        placement: &Placement,
        work: Work,
        took: Millis,
        unfinished: bool,
    ) {
        let sample = WorkSample { work, took, unfinished, stated: call.trace.stated_time() };
        let server = placement.server.id.clone();
        // The channel is unbounded, so sending fails only after the control thread has stopped.
        let event = Event::WorkMeasured(server, call.pool.clone(), sample);
        if let Err(TrySendError::Closed(_)) = self.events.try_send(event) {
            log::debug!("sample dropped: the control thread has stopped");
        }
    }
}
