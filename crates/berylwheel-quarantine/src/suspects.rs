//! Requests without a certain answer whose server may have ended.

use berylwheel_types::BackendId;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::PromptPartId;
use berylwheel_types::SuspectRequest;
use berylwheel_types::Timestamp;

/// Minimum interval between two checks of the same server.
const CHECK_INTERVAL: Millis = Millis(1_000);

/// What is known of the answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// It did not come, or not to its end.
    Broken,
    /// It ended with its connection, and is complete if its server did not end then.
    Unconfirmed,
}

#[derive(Debug)]
struct Pending {
    at: Timestamp,
    end: AnswerEnd,
    request: SuspectRequest,
}

#[derive(Debug, Default)]
struct ServerState {
    pending: Vec<Pending>,
    checked_at: Option<Timestamp>,
}

impl ServerState {
    /// Returns whether the server should be checked, which then counts as done.
    fn take_check(&mut self, now: Timestamp) -> bool {
        let is_due = self.checked_at.is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }

    /// Returns when the server is due for another check: an answer has ended since the last one, which
    /// thus does not tell whether the answer is complete.
    fn next_check(&self) -> Option<Timestamp> {
        let checked_at = self.checked_at?;
        let is_unchecked =
            |pending: &Pending| pending.end == AnswerEnd::Unconfirmed && pending.at > checked_at;
        self.pending.iter().any(is_unchecked).then_some(checked_at + CHECK_INTERVAL)
    }
}

/// Requests by server, until the server is known to have ended or to be running.
#[derive(Debug, Default)]
pub(crate) struct PendingSuspects {
    servers: FastMap<BackendId, ServerState>,
    /// Earliest time at which a server is due for another check.
    next_check: Option<Timestamp>,
}

impl PendingSuspects {
    /// Adds a request and returns whether the server should be checked.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        end: AnswerEnd,
        request: SuspectRequest,
        limit: usize,
    ) -> bool {
        let state = self.servers.entry(server.clone()).or_default();
        if state.pending.len() >= limit {
            // A certain break is worth more than an answer that is most likely complete.
            let unconfirmed = |pending: &Pending| pending.end == AnswerEnd::Unconfirmed;
            match state.pending.iter().position(unconfirmed) {
                Some(index) if end == AnswerEnd::Broken => {
                    state.pending.remove(index);
                }
                _ => return state.take_check(now),
            }
        }
        state.pending.push(Pending { at: now, end, request });
        let is_due = state.take_check(now);
        let next = state.next_check();
        self.next_check = self.next_check.into_iter().chain(next).min();
        is_due
    }

    /// Takes the requests of a server that has ended, with the time of the first break.
    pub(crate) fn take(&mut self, server: &BackendId) -> Option<(Timestamp, Vec<SuspectRequest>)> {
        let pending = std::mem::take(&mut self.servers.get_mut(server)?.pending);
        let first = pending.iter().map(|pending| pending.at).min()?;
        Some((first, pending.into_iter().map(|pending| pending.request).collect()))
    }

    /// Takes the unconfirmed answers of a server that was found running by a check begun at `since`,
    /// each with the time of its end and the parts of its prompt.
    pub(crate) fn take_confirmed(
        &mut self,
        server: &BackendId,
        since: Timestamp,
    ) -> Vec<(Timestamp, Vec<PromptPartId>)> {
        let Some(state) = self.servers.get_mut(server) else { return Vec::new() };
        let is_confirmed =
            |pending: &mut Pending| pending.end == AnswerEnd::Unconfirmed && pending.at <= since;
        let confirmed = state.pending.extract_if(.., is_confirmed);
        confirmed.map(|pending| (pending.at, pending.request.parts)).collect()
    }

    /// Returns the servers with answers that ended after their last check, and are due for another.
    pub(crate) fn due_checks(&mut self, now: Timestamp) -> Vec<BackendId> {
        if self.next_check.is_none_or(|time| now < time) {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (server, state) in &mut self.servers {
            if state.next_check().is_some() && state.take_check(now) {
                due.push(server.clone());
            }
        }
        self.next_check = self.servers.values().filter_map(ServerState::next_check).min();
        due.sort_unstable();
        due
    }

    /// Forgets requests that broke longer ago than `limit`.
    pub(crate) fn expire(&mut self, now: Timestamp, limit: Millis) {
        self.servers.retain(|_, state| {
            state.pending.retain(|pending| now.since(pending.at) < limit);
            // Without requests, the time of the last check still limits how often they are made.
            let is_checked = state.checked_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL);
            is_checked || !state.pending.is_empty()
        });
    }
}
