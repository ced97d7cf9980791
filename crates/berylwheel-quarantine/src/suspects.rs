//! Requests without a certain answer whose server may have ended.

use berylwheel_types::BackendId;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::PromptPartId;
use berylwheel_types::SuspectRequest;
use berylwheel_types::Timestamp;

use crate::QuarantinePolicy;
use crate::bounds::reservoir_place;
use crate::bounds::seed;

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
    /// Number of broken requests since the server was known to run, some of which may be left out.
    broken: usize,
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
    /// Number of parts in all requests.
    part_count: usize,
}

impl PendingSuspects {
    /// Adds a request and returns whether the server should be checked.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        end: AnswerEnd,
        request: SuspectRequest,
        policy: &QuarantinePolicy,
    ) -> bool {
        let state = self.servers.entry(server.clone()).or_default();
        let broken = state.broken;
        state.broken += usize::from(end == AnswerEnd::Broken);
        if state.pending.len() >= policy.max_suspects {
            // A certain break is worth more than an answer that is most likely complete.
            let unconfirmed = |pending: &Pending| pending.end == AnswerEnd::Unconfirmed;
            let place = match state.pending.iter().position(unconfirmed) {
                _ if end == AnswerEnd::Unconfirmed => None,
                Some(place) => Some(place),
                None => reservoir_place(broken, policy.max_suspects, seed(server, now)),
            };
            let Some(place) = place else { return state.take_check(now) };
            let removed = state.pending.swap_remove(place);
            self.part_count -= removed.request.parts.len();
        }
        self.part_count += request.parts.len();
        state.pending.push(Pending { at: now, end, request });
        let is_due = state.take_check(now);
        let next = state.next_check();
        self.next_check = self.next_check.into_iter().chain(next).min();
        self.shrink(policy);
        is_due
    }

    /// Keeps within the limit of all parts: forgets the older half of the answers that are most likely
    /// complete, and then of all requests.
    fn shrink(&mut self, policy: &QuarantinePolicy) {
        for only_unconfirmed in [true, false] {
            if self.part_count <= policy.max_pending {
                return;
            }
            let may_go =
                |pending: &Pending| !only_unconfirmed || pending.end == AnswerEnd::Unconfirmed;
            let all = self.servers.values().flat_map(|state| &state.pending);
            let mut times: Vec<Timestamp> =
                all.filter(|pending| may_go(pending)).map(|pending| pending.at).collect();
            if times.is_empty() {
                continue;
            }
            let middle = times.len() / 2;
            let median = *times.select_nth_unstable(middle).1;
            self.retain(|pending| !may_go(pending) || pending.at > median);
        }
    }

    /// Returns the number of parts in all requests.
    pub(crate) fn part_count(&self) -> usize {
        self.part_count
    }

    fn retain(&mut self, mut keeps: impl FnMut(&Pending) -> bool) {
        let mut count = 0;
        for state in self.servers.values_mut() {
            state.pending.retain(|pending| keeps(pending));
            count += state.pending.iter().map(|p| p.request.parts.len()).sum::<usize>();
        }
        self.part_count = count;
    }

    /// Takes the requests of a server that has ended, with the time of the first break.
    pub(crate) fn take(&mut self, server: &BackendId) -> Option<(Timestamp, Vec<SuspectRequest>)> {
        let state = self.servers.get_mut(server)?;
        state.broken = 0;
        let pending = std::mem::take(&mut state.pending);
        self.part_count -= pending.iter().map(|p| p.request.parts.len()).sum::<usize>();
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
        let confirmed: Vec<Pending> = state.pending.extract_if(.., is_confirmed).collect();
        self.part_count -= confirmed.iter().map(|p| p.request.parts.len()).sum::<usize>();
        confirmed.into_iter().map(|pending| (pending.at, pending.request.parts)).collect()
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
        self.retain(|pending| now.since(pending.at) < limit);
        self.servers.retain(|_, state| {
            // Without requests, the time of the last check still limits how often they are made.
            let is_checked = state.checked_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL);
            is_checked || !state.pending.is_empty()
        });
    }
}
