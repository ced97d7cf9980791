//! How many requests this router may send to cold servers. The routers decide alike from the
//! store's list of routers, without messages.

use std::cmp::Reverse;

use berylwheel_types::BackendId;
use berylwheel_types::Decimal;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::stable_hash;
use serde::Serialize;

/// The span in which the requests to a cold server are limited.
const SECOND: Millis = Millis(1_000);
/// How long a write or renewal of this router's entry proves that other routers find it in the
/// list. An entry expires 12 s after its renewal; the second less allows for clocks that drift.
const ENTRY_VALIDITY: Millis = Millis(11_000);
/// Maximum time from the write of a server's entry until this router receives it: watches pause for
/// 700 ms at most, and the store needs some time.
const ENTRY_DELAY: Millis = Millis(1_500);
/// Maximum time for which one report makes a server count as cold.
const COLD_LIMIT: Millis = Millis(600_000);
/// How long a server is remembered after it was cold. Outlasts slow start.
const RETENTION: Millis = Millis(60_000);

/// How servers of a pool are treated while they are cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdPool {
    /// Requests per second that a cold server can handle, from all routers; 0 for no limit.
    pub rate: Decimal,
    /// How long a server that does not state it is cold after its start.
    pub time: Millis,
}

/// Why a server counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ColdSource {
    /// Its entry in the server list.
    Entry,
    /// A response of the server.
    Answer,
    /// It is new in the list and does not state how long it is cold.
    New,
    /// Its failure domain is in use again after an evacuation.
    Restored,
}

/// A change of a server's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ColdChange {
    /// The server counts as cold until the given time.
    Began(BackendId, Timestamp, ColdSource),
    /// The server is no longer cold.
    Ended(BackendId),
}

/// A server that is or was cold.
#[derive(Debug)]
struct ColdServer {
    source: ColdSource,
    /// When the last report that extended the state arrived.
    reported_at: Timestamp,
    until: Timestamp,
    /// Requests per second from all routers; 0 for no limit.
    rate: f64,
    /// Time between two requests of this router; `None` if it may send none.
    interval: Option<Millis>,
    next_turn: Timestamp,
    /// The value of `next_turn` before the last turn, if that turn can still be given back.
    returnable: Option<Timestamp>,
    /// Whether the last change that [`ColdLimit::poll`] returned is that the server became cold.
    is_announced: bool,
}

/// Decides whether this router may send a request to a cold server.
///
/// Each second, `rate` rounded down requests are dealt to the listed routers in the order of a
/// rendezvous hash of router and server, one each until none is left. A router that is not in the
/// list, or does not know it, gets none.
///
/// ```
/// use berylwheel_route::{ColdLimit, ColdSource};
/// use berylwheel_types::{Millis, RouterId, Timestamp};
/// let at = Timestamp::from_millis;
/// let (router, server): (RouterId, _) = ("r1".parse().unwrap(), "s1".parse().unwrap());
/// let mut limit = ColdLimit::new(router.clone());
/// limit.entry_written(at(0));
/// limit.entry_confirmed(at(0));
/// limit.report(at(4_000), &server, Millis(3_000), ColdSource::Entry, 2.0);
/// assert!(!limit.may_send(at(6_000), &server), "the list is not known");
/// limit.set_routers(at(4_000), vec![router], Millis(3_000));
/// assert!(!limit.may_send(at(4_900), &server));
/// assert!(limit.may_send(at(5_000), &server));
/// limit.take_turn(at(5_000), &server, true);
/// assert!(!limit.may_send(at(5_499), &server));
/// assert!(limit.may_send(at(5_500), &server));
/// assert!(limit.may_send(at(7_000), &server), "no longer cold");
/// ```
#[derive(Debug)]
pub struct ColdLimit {
    router: RouterId,
    /// The store's list of routers, sorted; `None` until it was read.
    routers: Option<Vec<RouterId>>,
    /// When the list was read last.
    read_at: Timestamp,
    /// Maximum age of a list by which a router sends.
    list_age: Millis,
    /// When this router's entry was added to the list.
    registered_at: Timestamp,
    /// Until when this router's entry is certainly in the list.
    listed_until: Timestamp,
    servers: FastMap<BackendId, ColdServer>,
    turns: u64,
}

impl ColdLimit {
    /// Returns the state of a router that has just started.
    pub fn new(router: RouterId) -> Self {
        Self {
            router,
            routers: None,
            read_at: Timestamp::default(),
            list_age: Millis(0),
            registered_at: Timestamp::default(),
            listed_until: Timestamp::default(),
            servers: FastMap::default(),
            turns: 0,
        }
    }

    /// Replaces the store's list of routers, which each of them reads again within `list_age`. This
    /// router sends nothing by an older list, nor for so long after its registration: until then
    /// others may send by a list without it.
    pub fn set_routers(&mut self, now: Timestamp, mut routers: Vec<RouterId>, list_age: Millis) {
        (self.read_at, self.list_age) = (now, list_age);
        routers.sort_unstable();
        routers.dedup();
        if self.routers.as_ref() == Some(&routers) {
            return;
        }
        self.routers = Some(routers);
        self.update_intervals(now, |_, server| server.rate);
    }

    /// Replaces the rates of the servers.
    pub fn set_rates(&mut self, now: Timestamp, rate: impl Fn(&BackendId) -> f64) {
        self.update_intervals(now, |id, _| rate(id));
    }

    fn update_intervals(&mut self, now: Timestamp, rate: impl Fn(&BackendId, &ColdServer) -> f64) {
        let mut servers = std::mem::take(&mut self.servers);
        for (id, server) in &mut servers {
            server.rate = rate(id, server);
            let interval = self.interval(id, server.rate);
            // The router that had the turn may have sent a request within the last second.
            let is_shorter = match (server.interval, interval) {
                (_, None) => false,
                (None, Some(_)) => true,
                (Some(old), Some(new)) => new < old,
            };
            server.interval = interval;
            if is_shorter {
                server.wait(now);
            }
        }
        self.servers = servers;
    }

    /// Records that this router's entry was added to the list.
    pub fn entry_written(&mut self, now: Timestamp) {
        self.registered_at = now;
    }

    /// Records that a write or renewal of this router's entry, sent at `sent_at`, succeeded.
    pub fn entry_confirmed(&mut self, sent_at: Timestamp) {
        self.listed_until = self.listed_until.max(sent_at + ENTRY_VALIDITY);
    }

    /// Applies a report that a server stays cold for `remaining`, which is counted from now.
    ///
    /// An entry does not shorten what the server said in an answer or what a restored domain
    /// implies, unless it was certainly written later.
    pub fn report(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        remaining: Millis,
        source: ColdSource,
        rate: f64,
    ) {
        let until = now + remaining.min(COLD_LIMIT);
        let known = self.servers.get(id).filter(|server| now < server.until);
        let may_shorten = |server: &ColdServer| match (source, server.source) {
            (ColdSource::Answer, _) => true,
            (ColdSource::New | ColdSource::Restored, _)
            | (ColdSource::Entry, ColdSource::Answer) => false,
            (ColdSource::Entry, ColdSource::Restored) => {
                now.since(server.reported_at) >= ENTRY_DELAY
            }
            (ColdSource::Entry, ColdSource::Entry | ColdSource::New) => true,
        };
        match known {
            None if remaining == Millis(0) => return,
            Some(server) if until <= server.until && !may_shorten(server) => return,
            _ => {}
        }
        let was_cold = known.is_some();
        let interval = self.interval(id, rate);
        let server = self.servers.entry(id.clone()).or_insert_with(|| ColdServer {
            source,
            reported_at: now,
            until,
            rate,
            interval,
            next_turn: now,
            returnable: None,
            is_announced: false,
        });
        (server.source, server.reported_at, server.until) = (source, now, until);
        (server.rate, server.interval) = (rate, interval);
        if !was_cold {
            // The requests of the last second were not limited.
            server.wait(now);
        }
    }

    /// Returns the time between two requests of this router to a server, `None` if it may send
    /// none.
    fn interval(&self, server: &BackendId, rate: f64) -> Option<Millis> {
        let routers = self.routers.as_ref()?;
        routers.binary_search(&self.router).ok()?;
        // Routers with different lists may send twice as much in total, which must stay within
        // 1.5 x rate + 5.
        let rate = rate.min(0.75 * rate + 2.5);
        let score =
            |router| (stable_hash(&[RouterId::as_str(router), server.as_str()]), Reverse(router));
        let own = score(&self.router);
        let rank = routers.iter().filter(|router| score(router) > own).count();
        if rate < 1.0 {
            return (rank == 0 && rate > 0.0).then(|| interval_for(rate));
        }
        let left = (rate as usize).checked_sub(rank).filter(|left| *left > 0)?;
        Some(interval_for(left.div_ceil(routers.len()) as f64))
    }

    /// Returns whether a server is cold and the number of requests to it is limited.
    pub fn is_limited(&self, now: Timestamp, server: &BackendId) -> bool {
        self.limited(now, server).is_some()
    }

    fn limited(&self, now: Timestamp, server: &BackendId) -> Option<&ColdServer> {
        // A map without entries needs no hash of the server's name.
        if self.servers.is_empty() {
            return None;
        }
        self.servers.get(server).filter(|server| now < server.until && server.rate > 0.0)
    }

    /// Returns whether this router may send a request to a server now.
    pub fn may_send(&self, now: Timestamp, server: &BackendId) -> bool {
        self.ready_at(now, server).is_none()
    }

    /// Returns when this router may send a request to a server, at the latest if the list of
    /// routers stays as it is; `None` if it may do so now.
    pub fn ready_at(&self, now: Timestamp, server: &BackendId) -> Option<Timestamp> {
        let server = self.limited(now, server)?;
        let valid_until = self.listed_until.min(self.read_at + self.list_age);
        if server.interval.is_none() || now >= valid_until {
            return Some(server.until);
        }
        let joined_at = self.registered_at + self.list_age;
        let ready = server.next_turn.max(joined_at).min(server.until);
        (now < ready).then_some(ready)
    }

    /// Takes a turn for a request that is being sent. `is_only` tells whether no other request of
    /// this router is at the server.
    pub fn take_turn(&mut self, now: Timestamp, server: &BackendId, is_only: bool) {
        if !self.is_limited(now, server) {
            return;
        }
        let Some(server) = self.servers.get_mut(server) else { return };
        server.returnable = is_only.then_some(server.next_turn);
        server.next_turn = now + server.interval.unwrap_or(SECOND);
        self.turns += 1;
    }

    /// Records that a request at a server has ended. The turn of one that did not reach the server
    /// is given back, if it is certain which turn that was.
    pub fn request_ended(&mut self, server: &BackendId, reached: bool) {
        let Some(server) = self.servers.get_mut(server) else { return };
        if let Some(turn) = server.returnable.take()
            && !reached
        {
            server.next_turn = turn;
        }
    }

    /// Returns the end of a server's cold state, at which its slow start begins.
    pub fn slow_start(&self, server: &BackendId) -> Option<Timestamp> {
        if self.servers.is_empty() {
            return None;
        }
        let server = self.servers.get(server).filter(|server| server.rate > 0.0)?;
        Some(server.until)
    }

    /// Returns until when a server is cold, and why, if it is.
    pub fn cold_until(
        &self,
        now: Timestamp,
        server: &BackendId,
    ) -> Option<(Timestamp, ColdSource)> {
        let server = self.servers.get(server).filter(|server| now < server.until)?;
        Some((server.until, server.source))
    }

    /// Returns whether any server is cold and limited.
    pub fn has_limited(&self, now: Timestamp) -> bool {
        self.servers.values().any(|server| now < server.until && server.rate > 0.0)
    }

    /// Returns the number of listed routers, if the list was read.
    pub fn listed_routers(&self) -> Option<usize> {
        self.routers.as_ref().map(Vec::len)
    }

    /// Returns the number of requests that took a turn.
    pub fn turns(&self) -> u64 {
        self.turns
    }

    /// Returns the changes since the last call, and forgets servers that were cold long ago.
    pub fn poll(&mut self, now: Timestamp) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        self.servers.retain(|id, server| {
            let is_cold = now < server.until;
            match (std::mem::replace(&mut server.is_announced, is_cold), is_cold) {
                (false, true) => {
                    changes.push(ColdChange::Began(id.clone(), server.until, server.source));
                }
                (true, false) => changes.push(ColdChange::Ended(id.clone())),
                _ => {}
            }
            now.since(server.until) < RETENTION
        });
        changes
    }
}

impl ColdServer {
    fn wait(&mut self, now: Timestamp) {
        let wait = self.interval.map_or(SECOND, |interval| interval.max(SECOND));
        self.next_turn = self.next_turn.max(now + wait);
        self.returnable = None;
    }
}

/// Returns the shortest whole number of milliseconds between requests of which at most `rate` fall
/// into a second.
fn interval_for(rate: f64) -> Millis {
    Millis((SECOND.0 as f64 / rate).ceil() as u64)
}
