//! When a pool accepts requests again, and whether a request waits until then.

use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use crate::RouteQuery;
use crate::load_balancer::LoadBalancer;
use crate::subset::Pool;

/// Retry delay while all servers are evacuated. A router learns of the end of an evacuation within
/// about a second.
const EVACUATED_DELAY: Millis = Millis(1_000);

/// Whether the servers for a request accept any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// A server accepts requests, or is full and may accept one at any time.
    Open,
    /// All servers have asked for a pause or are ejected. The first is in use again at this time.
    Paused(Timestamp),
    /// Some servers are cold and this router may not send to them yet, and the others pause or are
    /// ejected. The first is in use again at this time, or earlier.
    Cold(Timestamp),
    /// There is no server, or all of them are leaving.
    Empty,
    /// All servers that do not leave are in evacuated failure domains.
    Evacuated,
}

/// What to do with a request that no server can take at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// The request waits in the queue.
    Queue,
    /// The request is refused; trying again makes sense after this time.
    Refuse(Millis),
}

impl LoadBalancer {
    /// Returns whether the servers for a request accept any.
    ///
    /// ```
    /// use berylwheel_route::{Availability, LoadBalancer, RoutePolicy, RouteQuery};
    /// use berylwheel_types::{Timestamp, Tokens};
    /// let balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let query = RouteQuery {
    ///     kind: "chat".parse().unwrap(),
    ///     model: None,
    ///     prefix: 0,
    ///     exclude: vec![],
    ///     prompt_tokens: Tokens::ZERO,
    /// };
    /// assert_eq!(balancer.availability(Timestamp::from_millis(0), &query), Availability::Empty);
    /// ```
    pub fn availability(&self, now: Timestamp, query: &RouteQuery) -> Availability {
        let members = self.subsets.get(&Pool::for_query(query)).map(|subset| &subset.members);
        let (mut first_end, mut is_paused, mut is_cold) = (None, false, false);
        for state in members.into_iter().flatten().filter_map(|id| self.states.get(id)) {
            let id = &state.server.id;
            if !state.supports(query) || query.exclude.contains(id) || self.is_leaving(id) {
                continue;
            }
            let pause_end = self.pause_end(id).filter(|end| now < *end);
            let ejection_end = state.health.ejection_end().filter(|end| now < *end);
            let cold_end = self.cold.ready_at(now, id);
            let end = pause_end.max(ejection_end).max(cold_end);
            let Some(end) = end else { return Availability::Open };
            is_paused |= pause_end.is_some();
            is_cold |= cold_end.is_some();
            first_end = Some(first_end.map_or(end, |first: Timestamp| first.min(end)));
        }
        match first_end {
            None if self.is_served_by_evacuated(query) => Availability::Evacuated,
            None => Availability::Empty,
            Some(end) if is_cold => Availability::Cold(end),
            Some(end) if is_paused => Availability::Paused(end),
            Some(_) => Availability::Open,
        }
    }
}

/// Decides whether a request waits for its servers. It is refused if it cannot be served in
/// `service_time` between the end of their pause and its deadline.
///
/// While a pool has no servers a request waits, since the time of the next server is unknown. While
/// all of them are evacuated it is refused, since an operator ends that and no time is known either.
///
/// ```
/// use berylwheel_route::{Availability, WaitDecision, decide_wait};
/// use berylwheel_types::{Millis, Timestamp};
/// let at = Timestamp::from_millis;
/// let decide = |deadline| decide_wait(at(0), at(deadline), Millis(50), Availability::Paused(at(900)));
/// assert_eq!(decide(1_000), WaitDecision::Queue);
/// assert_eq!(decide(940), WaitDecision::Refuse(Millis(900)));
/// ```
pub fn decide_wait(
    now: Timestamp,
    deadline: Timestamp,
    service_time: Millis,
    availability: Availability,
) -> WaitDecision {
    match availability {
        Availability::Open | Availability::Empty => WaitDecision::Queue,
        Availability::Paused(end) | Availability::Cold(end) if end + service_time < deadline => {
            WaitDecision::Queue
        }
        Availability::Paused(end) | Availability::Cold(end) => WaitDecision::Refuse(end.since(now)),
        Availability::Evacuated => WaitDecision::Refuse(EVACUATED_DELAY.min(deadline.since(now))),
    }
}
