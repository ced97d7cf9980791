//! Whether servers accept requests, according to themselves, the VM list and other routers.

use std::net::SocketAddr;

use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use serde::Serialize;

use crate::ColdSource;
use crate::load_balancer::LoadBalancer;
use crate::state::ServerState;

/// Maximum number of servers whose standing is remembered, including servers that are not
/// configured. Bounds the memory that false notices can use.
const STANDING_LIMIT: usize = 4_096;
/// Number of pauses in a row, without a successful response in between, that are reported.
const REPEATED_PAUSES: u32 = 10;

/// Who reported that a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LeavingSource {
    /// The VM list or another router. An up-to-date server list overrides it.
    Notice,
    /// The server itself, in a load report. A later load report may end it.
    Report,
    /// The server itself, in a response. It holds until a new process replaces the server's.
    Server,
}

/// How long a server that rejects a request wants no further ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PauseRequest {
    /// The server does not ask for a pause.
    #[default]
    None,
    /// The server asks for this pause.
    Wait(Millis),
    /// The server gives several values, of which this is the longest valid one.
    Ambiguous(Millis),
    /// The server gives no valid value.
    Invalid,
}

/// What a server says about itself in a response, apart from its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerSignal {
    /// The address that the request was sent to.
    pub address: SocketAddr,
    /// When the request was sent.
    pub sent_at: Timestamp,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// The pause that the server asks for.
    pub pause: PauseRequest,
    /// How long the server stays cold, if it states it.
    pub cold: Option<Millis>,
}

/// An unusual pause request and how it was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseNote {
    /// The value was invalid and is ignored.
    Ignored,
    /// The longest of several values is used.
    Longest(Millis),
    /// The pause was shortened to the limit.
    Shortened(Millis),
    /// The server asked for many pauses in a row. Each of them is honoured.
    Repeated(u32),
}

/// The effect of a [`ServerSignal`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SignalEffect {
    /// Whether the server is known to be leaving since this signal.
    pub left: bool,
    /// An unusual pause request, the first of its kind from this server process.
    pub note: Option<PauseNote>,
}

/// A span of time in which a server wants no requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pause {
    pub since: Timestamp,
    pub until: Timestamp,
}

/// What the process of a server at one address has said about itself.
#[derive(Debug)]
struct ProcessSignals {
    address: SocketAddr,
    /// When the process first said that it is leaving.
    left_at: Option<Timestamp>,
    /// The current or last pause.
    pause: Option<Pause>,
    /// Number of pauses since the last successful response.
    pauses: u32,
    notes: Vec<PauseNote>,
}

/// Whether a server accepts requests.
#[derive(Debug, Default)]
pub(crate) struct Standing {
    /// When the VM list or another router last reported the server as leaving.
    notice: Option<Timestamp>,
    process: Option<ProcessSignals>,
    /// When the server list showed that a new process had replaced an earlier one.
    renewed_at: Option<Timestamp>,
    changed_at: Timestamp,
}

impl Standing {
    fn is_paused(&self, now: Timestamp) -> bool {
        self.process.as_ref().is_some_and(|process| process.is_paused(now))
    }

    /// Returns whether the standing still has an effect if its server is not configured.
    fn matters(&self, now: Timestamp) -> bool {
        let has_left = self.process.as_ref().is_some_and(|process| process.left_at.is_some());
        self.notice.is_some() || has_left || self.is_paused(now)
    }
}

impl ProcessSignals {
    fn new(address: SocketAddr) -> Self {
        Self { address, left_at: None, pause: None, pauses: 0, notes: Vec::new() }
    }

    /// Returns whether the signals are those of the process that is listed for a server.
    fn is_of(&self, state: &ServerState) -> bool {
        self.address == state.server.address
    }

    fn is_paused(&self, now: Timestamp) -> bool {
        self.pause.is_some_and(|pause| now < pause.until)
    }

    fn apply(&mut self, now: Timestamp, signal: &ServerSignal, limit: Millis) -> SignalEffect {
        let left = signal.leaving && self.left_at.is_none();
        if left {
            self.left_at = Some(now);
        }
        let note = match signal.pause {
            PauseRequest::None => None,
            PauseRequest::Invalid => Some(PauseNote::Ignored),
            PauseRequest::Wait(wait) => self.pause(now, wait, limit),
            PauseRequest::Ambiguous(wait) => {
                Some(self.pause(now, wait, limit).unwrap_or(PauseNote::Longest(wait)))
            }
        };
        SignalEffect { left, note: note.filter(|note| self.is_new(*note)) }
    }

    /// Begins or extends a pause.
    fn pause(&mut self, now: Timestamp, wait: Millis, limit: Millis) -> Option<PauseNote> {
        let until = now + wait.min(limit);
        match &mut self.pause {
            Some(pause) if now < pause.until => pause.until = pause.until.max(until),
            _ => {
                self.pause = Some(Pause { since: now, until });
                self.pauses += 1;
            }
        }
        if wait > limit {
            return Some(PauseNote::Shortened(limit));
        }
        (self.pauses >= REPEATED_PAUSES).then_some(PauseNote::Repeated(self.pauses))
    }

    fn is_new(&mut self, note: PauseNote) -> bool {
        let is_same =
            |known: &PauseNote| std::mem::discriminant(known) == std::mem::discriminant(&note);
        if self.notes.iter().any(is_same) {
            return false;
        }
        self.notes.push(note);
        true
    }
}

impl LoadBalancer {
    /// Returns what the current process of a server has said. Signals of a process at another
    /// address do not count.
    fn signals(&self, server: &BackendId) -> Option<&ProcessSignals> {
        let process = self.standings.get(server)?.process.as_ref()?;
        let state = self.states.get(server);
        state.is_none_or(|state| process.is_of(state)).then_some(process)
    }

    /// Returns whether a server neither leaves nor pauses.
    pub(crate) fn accepts_requests(&self, now: Timestamp, state: &ServerState) -> bool {
        let Some(standing) = self.standings.get(&state.server.id) else {
            return state.draining_at.is_none();
        };
        let process = standing.process.as_ref().filter(|process| process.is_of(state));
        let declines = |p: &ProcessSignals| p.left_at.is_some() || p.is_paused(now);
        state.draining_at.is_none() && standing.notice.is_none() && !process.is_some_and(declines)
    }

    /// Returns the standing of a server, adding it if there is none. Forgets another one if there
    /// are too many.
    fn standing_mut(&mut self, now: Timestamp, server: &BackendId) -> &mut Standing {
        if self.standings.len() >= STANDING_LIMIT && !self.standings.contains_key(server) {
            let others = self.standings.iter().filter(|(id, _)| !self.states.contains_key(*id));
            let least = others.min_by_key(|(_, s)| (s.process.is_some(), s.changed_at));
            if let Some(id) = least.map(|(id, _)| id.clone()) {
                self.standings.remove(&id);
            }
        }
        let standing = self.standings.entry(server.clone()).or_default();
        standing.changed_at = now;
        standing
    }

    /// Marks a server as leaving after a notice from the VM list or a peer. It gets no new
    /// requests.
    ///
    /// The notice may arrive before the server is configured.
    pub fn set_leaving(&mut self, now: Timestamp, server: &BackendId) {
        self.last_time = now;
        self.standing_mut(now, server).notice = Some(now);
        self.limit_ejections(now);
    }

    /// Applies what a server said about itself in a response to a request of this router.
    ///
    /// It holds for the process at that address, whatever lists and notices say. A response to a
    /// request that was sent before the server's process was replaced changes nothing.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, PauseRequest, RoutePolicy, ServerSignal};
    /// use berylwheel_types::Timestamp;
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let (now, server) = (Timestamp::from_millis(0), "e1".parse().unwrap());
    /// let address = "127.0.0.1:9000".parse().unwrap();
    /// let pause = PauseRequest::None;
    /// let signal = ServerSignal { address, sent_at: now, leaving: true, pause, cold: None };
    /// assert!(balancer.apply_signal(now, &server, signal).left);
    /// balancer.clear_notices();
    /// assert!(balancer.is_leaving(&server));
    /// balancer.server_restarted(now, &server);
    /// assert!(!balancer.is_leaving(&server));
    /// ```
    pub fn apply_signal(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        signal: ServerSignal,
    ) -> SignalEffect {
        self.last_time = now;
        let renewed_at = self.standings.get(server).and_then(|standing| standing.renewed_at);
        let current = self.signals(server).map(|process| process.address);
        if renewed_at.is_some_and(|at| signal.sent_at < at)
            || current.is_some_and(|address| address != signal.address)
        {
            return SignalEffect::default();
        }
        if let Some(remaining) = signal.cold {
            self.apply_cold_report(now, server, remaining, ColdSource::Answer);
        }
        let limit = self.policy.pause_limit;
        let known = &mut self.standing_mut(now, server).process;
        let process = match known.take() {
            Some(process) if process.address == signal.address => process,
            _ => ProcessSignals::new(signal.address),
        };
        let process = known.insert(process);
        let effect = process.apply(now, &signal, limit);
        let pause_end = process.pause.map_or(self.last_pause_end, |pause| pause.until);
        self.last_pause_end = self.last_pause_end.max(pause_end);
        if effect.left {
            self.limit_ejections(now);
        }
        effect
    }

    /// Marks a server as draining after the server itself said so, as in a 503 response. A later
    /// load report that does not say so reverses this.
    pub fn set_draining(&mut self, now: Timestamp, server: &BackendId) {
        self.last_time = now;
        if let Some(state) = self.states.get_mut(server) {
            state.draining_at = Some(now);
        }
        self.limit_ejections(now);
    }

    /// Marks a server as live because the VM list, as just read, shows it so.
    ///
    /// The server gets requests again, with a slow start, if the last notice of its shutdown is at
    /// least [`RoutePolicy::leaving_hold`](crate::RoutePolicy::leaving_hold) old. What the server
    /// itself said holds on.
    pub fn set_live(&mut self, now: Timestamp, server: &BackendId) {
        let Some(standing) = self.standings.get_mut(server) else { return };
        if standing.notice.is_none_or(|at| now.since(at) < self.policy.leaving_hold) {
            return;
        }
        standing.notice = None;
        self.last_time = now;
        if let Some(state) = self.states.get_mut(server) {
            state.start_time = Some(now);
        }
    }

    /// Discards the notices of leaving servers, for use when an up-to-date server list replaces
    /// them. What the servers themselves said holds on.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// use berylwheel_types::Timestamp;
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let server = "e1".parse().unwrap();
    /// balancer.set_leaving(Timestamp::from_millis(0), &server);
    /// balancer.clear_notices();
    /// assert!(!balancer.is_leaving(&server));
    /// ```
    pub fn clear_notices(&mut self) {
        for standing in self.standings.values_mut() {
            standing.notice = None;
        }
    }

    /// Returns whether a server gets no new requests because it is leaving or draining.
    pub fn is_leaving(&self, server: &BackendId) -> bool {
        self.leaving_since(server).is_some()
    }

    /// Returns who reported a server as leaving or draining, and when.
    pub(crate) fn leaving_since(&self, server: &BackendId) -> Option<(LeavingSource, Timestamp)> {
        let left_at = self.signals(server).and_then(|process| process.left_at);
        let notice = || self.standings.get(server)?.notice;
        let draining_at = || self.states.get(server)?.draining_at;
        left_at
            .map(|at| (LeavingSource::Server, at))
            .or_else(|| Some((LeavingSource::Notice, notice()?)))
            .or_else(|| Some((LeavingSource::Report, draining_at()?)))
    }

    /// Returns the current or last pause of a server.
    pub(crate) fn last_pause(&self, server: &BackendId) -> Option<Pause> {
        self.signals(server)?.pause
    }

    /// Returns whether a server asked for a pause that has not ended.
    pub(crate) fn is_paused(&self, now: Timestamp, server: &BackendId) -> bool {
        self.signals(server).is_some_and(|process| process.is_paused(now))
    }

    /// Returns the end of the current or last pause of a server.
    pub(crate) fn pause_end(&self, server: &BackendId) -> Option<Timestamp> {
        self.last_pause(server).map(|pause| pause.until)
    }

    /// Forgets the standing of a server, since another process has replaced it.
    pub(crate) fn renew_standing(&mut self, now: Timestamp, server: &BackendId) {
        *self.standing_mut(now, server) =
            Standing { renewed_at: Some(now), changed_at: now, ..Standing::default() };
    }

    /// Forgets the standings of removed servers that have no effect any more.
    pub(crate) fn prune_standings(&mut self, now: Timestamp) {
        let states = &self.states;
        self.standings.retain(|id, s| states.contains_key(id) || s.matters(now));
    }

    /// Forgets the notices of a server, since it was moved to another address.
    pub(crate) fn clear_notice(&mut self, server: &BackendId) {
        if let Some(standing) = self.standings.get_mut(server) {
            standing.notice = None;
        }
    }

    /// Returns whether any server has asked for a pause that has not ended.
    pub fn has_pauses(&self, now: Timestamp) -> bool {
        now < self.last_pause_end && self.standings.values().any(|standing| standing.is_paused(now))
    }

    /// Ends a series of pauses after a successful response.
    pub(crate) fn end_pauses(&mut self, server: &BackendId) {
        let standing = self.standings.get_mut(server);
        if let Some(process) = standing.and_then(|standing| standing.process.as_mut()) {
            process.pauses = 0;
        }
    }
}
